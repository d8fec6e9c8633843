"""A fault or planned stop of a machine, which excuses failures at that time."""

from dataclasses import dataclass


@dataclass(kw_only=True)
class Disruption:
    """`scope` is a machine's name; `until_us` is None while it lasts. Planned stops excuse fewer failures."""

    scope: str
    from_us: int
    until_us: int | None
    planned: bool = False

    def touches(self, *, from_us: int, until_us: int) -> bool:
        """Whether it overlaps the interval."""
        return self.from_us <= until_us and (self.until_us is None or self.until_us >= from_us)
