"""Resource counters of one process at one moment."""

from dataclasses import asdict, dataclass, fields
from typing import Any


@dataclass(frozen=True, kw_only=True)
class Reading:
    """Cumulative counters, except for `rss_bytes`, the resident memory.

    Bytes are those of records with their frame headers and of HTTP, without the overhead of TCP.
    """

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
        """Returns the difference to an earlier reading, with the current memory; ValueError if it is not earlier."""
        values = {field.name: getattr(self, field.name) - getattr(before, field.name) for field in fields(self)}
        if values["at_us"] < 0 or values["cpu_us"] < 0:
            raise ValueError("the reading to subtract is later than this one")
        return Reading(**{**values, "rss_bytes": self.rss_bytes})

    def value(self) -> dict[str, int]:
        """Returns the JSON object that `read_reading` reads."""
        return asdict(self)


def read_reading(*, value: dict[str, Any]) -> Reading:
    """Reads a reading; ValueError where a field is missing or not an integer."""
    names = {field.name for field in fields(Reading)}
    if not names <= set(value) or not all(isinstance(value[name], int) for name in names):
        raise ValueError("a reading lacks a field, or has one that is not an integer")
    return Reading(**{name: value[name] for name in names})
