"""Routes and policies as compiled."""

from dataclasses import dataclass

from .selector import EVERYTHING, Selector

# why: the four kinds of statement are a promise each; an operator routes them, and can't invent more
KINDS = ("primary", "live", "fresh", "write")


@dataclass(frozen=True, kw_only=True)
class Route:
    """Where jobs of some kinds go; the first route that names a kind and a database counts."""

    kinds: tuple[str, ...]
    databases: tuple[str, ...] | None
    target: str
    where: Selector = EVERYTHING
    line: int = 0

    def covers(self, *, kind: str, database: str) -> bool:
        return kind in self.kinds and (self.databases is None or database in self.databases)


@dataclass(frozen=True, kw_only=True)
class Policy:
    """A named setting for some databases; the last policy that names one counts."""

    name: str
    databases: tuple[str, ...] | None
    amount: int | str
    line: int = 0
