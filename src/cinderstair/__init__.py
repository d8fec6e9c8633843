"""cinderstair: a database pooler with failover, the near half of a move between two data centres."""

VERSION = "0.1.0"
