"""Samples of primaries' log positions, which proxies share through a controller."""

from dataclasses import dataclass

from ..runtime.packer import Packer
from ..runtime.position import Position
from ..runtime.unpacker import Unpacker

# a span measured by one clock is compared with one of another clock, each of which drifts by less than 500 ppm
DRIFT_DIVISOR = 1_000
# allows for a distant primary, and for one more request of the other proxies, before reads lack a sample
ASK_AFTER_US = 500_000


def drift_us(*, span_us: int) -> int:
    """The greatest difference, in microseconds, between a span on one monotonic clock and on another."""
    return abs(span_us) // DRIFT_DIVISOR + 1


@dataclass(frozen=True, kw_only=True)
class ReportedSample:
    """A sample reported by a proxy.

    `moment_us` is on the controller's clock, and not later than the request to the primary.
    """

    service: str
    term: int
    moment_us: int
    position: Position

    def write(self, *, packer: Packer) -> None:
        """Appends the encoded record."""
        packer.text(value=self.service).u64(value=self.term).u64(value=self.moment_us)
        packer.u64(value=self.position.term).u64(value=self.position.number)


def read_reported_sample(unpacker: Unpacker) -> ReportedSample:
    """Reads the record. Raises ValueError if it is malformed."""
    return ReportedSample(
        service=unpacker.text(),
        term=unpacker.u64(),
        moment_us=unpacker.u64(),
        position=Position(unpacker.u64(), unpacker.u64()),
    )


@dataclass(frozen=True, kw_only=True)
class WantedSample:
    """A service that the proxy reads from, and the revision of the sample that it last got from the controller."""

    service: str
    revision: int = 0

    def write(self, *, packer: Packer) -> None:
        """Appends the encoded record."""
        packer.text(value=self.service).u64(value=self.revision)


def read_wanted_sample(unpacker: Unpacker) -> WantedSample:
    """Reads the record. Raises ValueError if it is malformed."""
    return WantedSample(service=unpacker.text(), revision=unpacker.u64())


@dataclass(frozen=True, kw_only=True)
class PooledSample:
    """A sample sent to a proxy; `age_us` is at least the time since the request to the primary.

    `term` is the primary's term at that request; the sample is valid only in this term.
    """

    service: str
    term: int
    age_us: int
    position: Position
    revision: int

    def write(self, *, packer: Packer) -> None:
        """Appends the encoded record."""
        packer.text(value=self.service).u64(value=self.term).u64(value=self.age_us)
        packer.u64(value=self.position.term).u64(value=self.position.number).u64(value=self.revision)


def read_pooled_sample(unpacker: Unpacker) -> PooledSample:
    """Reads the record. Raises ValueError if it is malformed."""
    return PooledSample(
        service=unpacker.text(),
        term=unpacker.u64(),
        age_us=unpacker.u64(),
        position=Position(unpacker.u64(), unpacker.u64()),
        revision=unpacker.u64(),
    )
