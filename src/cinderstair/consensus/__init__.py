"""The register on a quorum of disks: ballots, rosters, leases, snapshots, failure detection of voters."""
