"""Maintenance windows, and forecasts of their effects."""
