"""Samples of primaries' positions on their way from one proxy to another, by way of a controller."""

from dataclasses import dataclass

from ..runtime.packer import Packer
from ..runtime.position import Position
from ..runtime.unpacker import Unpacker

# why: steady clocks run apart by less than 500 in a million, and one machine's clock measures another's span
DRIFT_PART = 1_000
# why: the one asked to ask waits for a far primary, and everybody for one question more, before reads miss it
ASK_AFTER_US = 500_000


def drift_us(*, span_us: int) -> int:
    """By how much a span that one steady clock has measured may differ on another, at the most."""
    return abs(span_us) // DRIFT_PART + 1


@dataclass(frozen=True, kw_only=True)
class ReportedSample:
    """What a proxy tells. `moment_us` is by the controller's clock, and never later than the asking was."""

    service: str
    term: int
    moment_us: int
    position: Position

    def write(self, *, packer: Packer) -> None:
        packer.text(value=self.service).u64(value=self.term).u64(value=self.moment_us)
        packer.u64(value=self.position.term).u64(value=self.position.number)


def read_reported_sample(unpacker: Unpacker) -> ReportedSample:
    return ReportedSample(
        service=unpacker.text(),
        term=unpacker.u64(),
        moment_us=unpacker.u64(),
        position=Position(unpacker.u64(), unpacker.u64()),
    )


@dataclass(frozen=True, kw_only=True)
class WantedSample:
    """A service of which the asker reads, and the controller's edition of the sample that it was given last."""

    service: str
    edition: int = 0

    def write(self, *, packer: Packer) -> None:
        packer.text(value=self.service).u64(value=self.edition)


def read_wanted_sample(unpacker: Unpacker) -> WantedSample:
    return WantedSample(service=unpacker.text(), edition=unpacker.u64())


@dataclass(frozen=True, kw_only=True)
class PooledSample:
    """What a proxy is told. `age_us` is how long before the answer it was asked for, or longer.

    `term` is the term of the lead under which it was asked for; it counts under no other.
    """

    service: str
    term: int
    age_us: int
    position: Position
    edition: int

    def write(self, *, packer: Packer) -> None:
        packer.text(value=self.service).u64(value=self.term).u64(value=self.age_us)
        packer.u64(value=self.position.term).u64(value=self.position.number).u64(value=self.edition)


def read_pooled_sample(unpacker: Unpacker) -> PooledSample:
    return PooledSample(
        service=unpacker.text(),
        term=unpacker.u64(),
        age_us=unpacker.u64(),
        position=Position(unpacker.u64(), unpacker.u64()),
        edition=unpacker.u64(),
    )
