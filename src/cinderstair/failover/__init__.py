"""The steward: duties that one daemon does, under a lease."""
