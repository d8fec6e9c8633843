"""Configuration documents: language, compiler, checks, service plan and shard map."""
