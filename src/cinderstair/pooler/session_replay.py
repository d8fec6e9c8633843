"""Brings a link's session values up to date before a statement is sent on it."""

from .link import Link


def replay_values(*, link: Link, values: dict[bytes, bytes]) -> None:
    """Sends the session's values ahead on a link that nobody else uses, as far as it has others."""
    if link.values != values:
        if any(name not in values for name in link.values):
            link.clear()
        for name, value in values.items():
            if link.values.get(name) != value:
                link.set_value(name=name, value=value)
