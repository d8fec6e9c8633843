"""Capacity: hollow proxies and databases before real controllers, and the slopes of what each role costs."""
