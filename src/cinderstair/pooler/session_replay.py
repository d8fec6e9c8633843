"""Brings a link that nobody else uses to what a statement rests on."""

from .link import Link


def replay_values(*, link: Link, values: dict[bytes, bytes]) -> None:
    """Sends the session's values ahead, where the link has others."""
    if link.values != values:
        if any(name not in values for name in link.values):
            link.clear()
        for name, value in values.items():
            if link.values.get(name) != value:
                link.set_value(name=name, value=value)
