"""The counter: the command line, where operators and the machine's start scripts deal with the market."""
