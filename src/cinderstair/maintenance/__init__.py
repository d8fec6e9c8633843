"""The almanac: move windows, which labelled things empty, and when."""
