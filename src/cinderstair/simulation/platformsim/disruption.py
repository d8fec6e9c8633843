"""Something that befell a machine, or the core of all."""

from dataclasses import dataclass


@dataclass(kw_only=True)
class Disruption:
    """`scope` is a machine's name, or `core`. Planned ones excuse less than others."""

    scope: str
    from_us: int
    until_us: int | None
    planned: bool = False

    def touches(self, *, from_us: int, until_us: int) -> bool:
        return self.from_us <= until_us and (self.until_us is None or self.until_us >= from_us)
