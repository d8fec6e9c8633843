"""Vaults: the register on a majority of disks, its roster and its leases."""
