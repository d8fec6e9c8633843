"""Capacity: hollow booths and databases before real guildhalls, and the slopes of what each role costs."""
