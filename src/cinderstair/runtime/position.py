"""Positions in the commit log of a backend."""

from typing import NamedTuple


class Position(NamedTuple):
    """A position in a backend's commit log, ordered by term and then by commit.

    :ivar term: the term of the primary that made the commit.
    :ivar number: the number of the commit.
    """

    term: int
    number: int

    def __str__(self) -> str:
        """The position as in log lines, for example ``3.1207``."""
        return f"{self.term}.{self.number}"


START = Position(0, 0)
"""The position before the first commit."""
