"""Explicit-state model checker: runs the product's classes through all schedules of small models."""
