"""The stall: the front daemon that carries sessions and their jobs."""
