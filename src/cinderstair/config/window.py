"""A maintenance window as a configuration declares it."""

from dataclasses import dataclass
from datetime import datetime

from expression import Error, Ok, Result

from .selector import Selector


@dataclass(frozen=True, kw_only=True)
class Window:
    """Everything that the selector matches must be drained between two moments.

    :ivar starts_us: the first moment, in microseconds since 1970
    :ivar ends_us: the first moment after the window, likewise
    :ivar drained: selects what must be drained
    """

    name: str
    starts_us: int
    ends_us: int
    drained: Selector

    def open_at(self, *, wall_us: int) -> bool:
        """Whether a calendar time, in microseconds since 1970, lies within the window."""
        return self.starts_us <= wall_us < self.ends_us


def parse_time_us(*, text: str) -> Result[int, str]:
    """A calendar time with its offset from UTC.

    :param text: as in ISO 8601, such as 2026-12-04T22:00:00+07:00
    :returns: microseconds since 1970, or what is wrong with the text
    """
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        return Error("not a time such as 2026-12-04T22:00:00+07:00")
    # A time without an offset means another moment on every machine
    if moment.tzinfo is None:
        return Error("a time needs its offset from UTC, such as +07:00 or Z")
    return Ok(int(moment.timestamp()) * 1_000_000 + moment.microsecond)
