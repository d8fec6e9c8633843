"""Runs the platform's programs as real processes on loopback, with stand-ins for all else, under random faults."""
