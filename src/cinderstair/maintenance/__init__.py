"""Move windows and dry runs of them."""
