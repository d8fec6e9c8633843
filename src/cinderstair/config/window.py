"""A move window as booked."""

from dataclasses import dataclass
from datetime import datetime

from expression import Error, Ok, Result

from ..config.selector import Selector


@dataclass(frozen=True, kw_only=True)
class Window:
    """Between the two moments everything the selector picks is to stand empty."""

    name: str
    starts_us: int
    ends_us: int
    empties: Selector

    def open_at(self, *, wall_us: int) -> bool:
        return self.starts_us <= wall_us < self.ends_us


def moment_us(*, text: str) -> Result[int, str]:
    """A calendar time with its offset, as microseconds since 1970."""
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        return Error("not a time such as 2026-12-04T22:00:00+07:00")
    # why: a time without an offset means another moment on every machine
    if moment.tzinfo is None:
        return Error("a time needs its offset from UTC, such as +07:00 or Z")
    return Ok(int(moment.timestamp()) * 1_000_000 + moment.microsecond)
