"""Failover of databases and services, allocation of proxy ids, and changes of the shard map."""
