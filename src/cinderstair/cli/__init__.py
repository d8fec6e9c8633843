"""The commands of the program, and the process setup of its daemons."""
