"""The answer to a record that only has to be taken in."""

ACKNOWLEDGEMENT = b"\0"
