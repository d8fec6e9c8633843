"""Sets a session's values on a link before a statement is sent on it."""

from .link import Link


def replay_values(*, link: Link, values: dict[bytes, bytes]) -> None:
    """Sends the session's values that differ on the link; clears the link first if it has values of other names.

    The link must be borrowed exclusively.
    """
    if link.values != values:
        if any(name not in values for name in link.values):
            link.clear()
        for name, value in values.items():
            if link.values.get(name) != value:
                link.set_value(name=name, value=value)
