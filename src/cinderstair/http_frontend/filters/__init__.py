"""The chain that every job passes; each filter may answer."""
