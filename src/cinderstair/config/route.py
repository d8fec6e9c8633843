"""Compiled routes and policies."""

from dataclasses import dataclass

from .selector import EVERYTHING, Selector

# each kind is a guarantee to clients, so operators can route the kinds but not add new ones
KINDS = ("primary", "live", "fresh", "write")


@dataclass(frozen=True, kw_only=True)
class Route:
    """A rule for statements of some kinds; the first route that covers a kind and a database applies.

    :ivar databases: None for all
    :ivar target: `primary`, `replica`, `any` or `deny`
    :ivar where: selects the backends that may serve
    :ivar line: line in the source text, from 1; 0 for a default route
    """

    kinds: tuple[str, ...]
    databases: tuple[str, ...] | None
    target: str
    where: Selector = EVERYTHING
    line: int = 0

    def covers(self, *, kind: str, database: str) -> bool:
        """Whether the route applies to a kind of statement on a database."""
        return kind in self.kinds and (self.databases is None or database in self.databases)


@dataclass(frozen=True, kw_only=True)
class Policy:
    """A named setting for some databases; the last policy that covers a database applies.

    :ivar databases: None for all
    :ivar amount: microseconds for a duration
    :ivar line: line in the source text, from 1
    """

    name: str
    databases: tuple[str, ...] | None
    amount: int | str
    line: int = 0
