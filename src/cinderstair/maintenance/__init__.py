"""Maintenance windows, and what-if answers about them."""
