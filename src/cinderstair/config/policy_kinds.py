"""The policies of the configuration language, with the type and bounds of each one's value."""

from dataclasses import dataclass
from enum import Enum

#: Microseconds per unit of a duration, by the unit's spelling in the language.
DURATION_UNITS_US = {"us": 1, "ms": 1_000, "s": 1_000_000}
SITES = ("near", "any")


class ValueKind(Enum):
    """The type of a policy's value; the enum value is its name in error messages."""

    DURATION = "duration"
    INTEGER = "whole"
    WORD = "word"


@dataclass(frozen=True, kw_only=True)
class PolicyKind:
    """The type and range of one policy's value.

    :ivar minimum: smallest value, in microseconds for a duration; unused for a word
    :ivar maximum: largest value, in the same unit
    """

    value_kind: ValueKind
    minimum: int = 0
    maximum: int = 0


def _duration(*, minimum_us: int, maximum_us: int) -> PolicyKind:
    return PolicyKind(value_kind=ValueKind.DURATION, minimum=minimum_us, maximum=maximum_us)


def _integer(*, minimum: int, maximum: int) -> PolicyKind:
    return PolicyKind(value_kind=ValueKind.INTEGER, minimum=minimum, maximum=maximum)


# the bounds keep policies within the contract: a larger margin would break a guarantee given to clients
POLICY_KINDS = {
    "liveAge": _duration(minimum_us=50_000, maximum_us=1_300_000),
    "freshAge": _duration(minimum_us=50_000, maximum_us=2_300_000),
    "commitWait": _duration(minimum_us=10_000, maximum_us=5_000_000),
    "subsetSize": _integer(minimum=0, maximum=10_000),
    "active": _integer(minimum=1, maximum=100_000),
    "closeWait": _duration(minimum_us=0, maximum_us=3_000_000),
    "inSync": _integer(minimum=1, maximum=16),
    "site": PolicyKind(value_kind=ValueKind.WORD),
}
