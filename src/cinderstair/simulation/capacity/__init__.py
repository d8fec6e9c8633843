"""Capacity tool: measures what each role costs, fits slopes to it and extrapolates them to a target size."""
