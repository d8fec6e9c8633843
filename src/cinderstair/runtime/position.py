"""A place in a backend's log."""

from typing import NamedTuple


class Position(NamedTuple):
    """Ordered by term, then by the number of the commit."""

    term: int
    number: int


START = Position(0, 0)
