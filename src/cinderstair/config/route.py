"""Routes and policies as compiled."""

from dataclasses import dataclass

from .selector import EVERYTHING, Selector

# Each kind of statement is a promise to clients: operators route the kinds, and can't add any.
KINDS = ("primary", "live", "fresh", "write")


@dataclass(frozen=True, kw_only=True)
class Route:
    """Where statements of some kinds go; the first route that names a kind and a database counts.

    :ivar databases: None for all
    :ivar target: `primary`, `replica`, `any` or `deny`
    :ivar where: which backends may serve
    :ivar line: its line in the text, from 1; 0 for a default route
    """

    kinds: tuple[str, ...]
    databases: tuple[str, ...] | None
    target: str
    where: Selector = EVERYTHING
    line: int = 0

    def covers(self, *, kind: str, database: str) -> bool:
        """Whether the route is for a kind of statement on a database."""
        return kind in self.kinds and (self.databases is None or database in self.databases)


@dataclass(frozen=True, kw_only=True)
class Policy:
    """A named setting for some databases; the last policy that names one counts.

    :ivar databases: None for all
    :ivar amount: microseconds for a duration
    :ivar line: its line in the text, from 1
    """

    name: str
    databases: tuple[str, ...] | None
    amount: int | str
    line: int = 0
