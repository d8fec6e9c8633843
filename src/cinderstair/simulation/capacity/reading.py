"""What one process has spent and carried up to one moment."""

from dataclasses import asdict, dataclass, fields
from typing import Any


@dataclass(frozen=True, kw_only=True)
class Reading:
    """All but the memory only ever go up. Bytes are of records with their heads, and of HTTP; not of TCP."""

    at_us: int
    cpu_us: int
    rss_bytes: int
    records_in: int = 0
    records_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    http_in: int = 0
    http_out: int = 0
    syncs: int = 0

    def since(self, *, before: "Reading") -> "Reading":
        """What was added since an earlier reading; the memory stays as it is now."""
        values = {field.name: getattr(self, field.name) - getattr(before, field.name) for field in fields(self)}
        if values["at_us"] < 0 or values["cpu_us"] < 0:
            raise ValueError("the earlier reading is the later one")
        return Reading(**{**values, "rss_bytes": self.rss_bytes})

    def value(self) -> dict[str, int]:
        return asdict(self)


def read_reading(*, value: dict[str, Any]) -> Reading:
    """Raises ValueError where a field is missing or is no whole number."""
    names = {field.name for field in fields(Reading)}
    if not names <= set(value) or not all(isinstance(value[name], int) for name in names):
        raise ValueError("no reading")
    return Reading(**{name: value[name] for name in names})
