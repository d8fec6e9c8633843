"""The empty response to a record that asks for nothing but its receipt."""

ACKNOWLEDGEMENT = b"\0"
