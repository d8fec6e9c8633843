"""Validation that the settings of all daemons share."""

import re

# Host names are rejected: processes are identified by their addresses, and a name server would be one more point of
# failure.
_ADDRESS = re.compile(r"^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$")

MAX_OCTET = 255
MAX_PORT = 65535


def address_error(*, value: str) -> str:
    """Return the reason why a text is not an IPv4 address with a port, or an empty text if it is one."""
    match = _ADDRESS.match(value)
    if match is None or any(int(part) > MAX_OCTET for part in match.groups()[:4]):
        return f"'{value}' is not an address such as 127.0.0.1:7101"
    if not 0 < int(match.group(5)) <= MAX_PORT:
        return f"'{value}' has no port between 1 and 65535"
    return ""


def line_of(*, text: str, key: str) -> int:
    """Return the number of the line that sets a key, from 1, or 0 if none does."""
    for number, line in enumerate(text.splitlines(), start=1):
        if re.match(rf"\s*\"?{re.escape(key)}\"?\s*=", line):
            return number
    return 0
