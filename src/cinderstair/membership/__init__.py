"""Group membership (SWIM), heartbeats of backends, and the records exchanged by proxies and controllers."""
