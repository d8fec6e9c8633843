"""Maintenance windows as declared in a configuration."""

from dataclasses import dataclass
from datetime import datetime

from expression import Error, Ok, Result

from .selector import Selector


@dataclass(frozen=True, kw_only=True)
class Window:
    """A time span during which all backends and HTTP proxies that match a selector must be drained.

    :ivar starts_us: start, inclusive, in microseconds since the Unix epoch
    :ivar ends_us: end, exclusive, likewise
    :ivar drained: selects the backends and HTTP proxies to drain
    """

    name: str
    starts_us: int
    ends_us: int
    drained: Selector

    def open_at(self, *, wall_us: int) -> bool:
        """Whether a wall-clock time, in microseconds since the Unix epoch, lies within the window."""
        return self.starts_us <= wall_us < self.ends_us


def parse_time_us(*, text: str) -> Result[int, str]:
    """Parses a date and time with its offset from UTC.

    :param text: ISO 8601, such as 2026-12-04T22:00:00+07:00
    :returns: microseconds since the Unix epoch, or an error message
    """
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        return Error("not an ISO 8601 time such as 2026-12-04T22:00:00+07:00")
    # a time without an offset would depend on the time zone of the machine that reads it
    if moment.tzinfo is None:
        return Error("the time has no offset from UTC; add one such as +07:00 or Z")
    return Ok(int(moment.timestamp()) * 1_000_000 + moment.microsecond)
