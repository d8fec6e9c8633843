"""The configuration: its language, checks, compiler, the plan of services and the shard map."""
