"""The foundation of every daemon: process context, message transport, settings, errors, counters and traces."""
