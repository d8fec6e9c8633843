"""The replicated register: ballots, rosters, leases, snapshots, and failure detection of voters."""
