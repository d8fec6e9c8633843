"""cinderstair: a database connection pooler with failover, for planned maintenance and moves between data centres."""

VERSION = "0.1.0"
