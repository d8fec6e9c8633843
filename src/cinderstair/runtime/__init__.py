"""What every daemon stands on: context, records and their transport, settings, errors, counters, traces."""
