"""What settings files have in common: addresses, and the line on which a key stands."""

import re

# why: nodes are told apart by IP numbers, and a name that must be looked up is one more thing that fails
ADDRESS = re.compile(r"^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$")


def address_error(*, value: str) -> str:
    """Why a text is no address; empty where it is one."""
    match = ADDRESS.match(value)
    if match is None or any(int(part) > 255 for part in match.groups()[:4]):
        return f"'{value}' is not an address such as 127.0.0.1:7101"
    if not 0 < int(match.group(5)) < 65536:
        return f"'{value}' has no port between 1 and 65535"
    return ""


def line_of(*, text: str, key: str) -> int:
    """The line on which a key stands; 0 where it doesn't."""
    for number, line in enumerate(text.splitlines(), start=1):
        if re.match(rf"\s*\"?{re.escape(key)}\"?\s*=", line):
            return number
    return 0
