"""Leads of databases and services, promotions and their fencing, ids of daemons, changes of the shard map."""
