"""The booth: the lean front daemon whose sessions are connections."""
