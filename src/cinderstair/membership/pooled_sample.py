"""Samples of primaries' positions, which proxies share with one another through a controller."""

from dataclasses import dataclass

from ..runtime.packer import Packer
from ..runtime.position import Position
from ..runtime.unpacker import Unpacker

# monotonic clocks drift apart by less than 500 in a million, and one machine's clock measures another's span
DRIFT_PART = 1_000
# the proxy that is to ask may wait for a far primary, and the others for one more question, before reads miss it
ASK_AFTER_US = 500_000


def drift_us(*, span_us: int) -> int:
    """By how much a span that one monotonic clock has measured may differ on another, at the most."""
    return abs(span_us) // DRIFT_PART + 1


@dataclass(frozen=True, kw_only=True)
class ReportedSample:
    """A sample that a proxy reports.

    `moment_us` is by the controller's clock, and never after the request to the primary.
    """

    service: str
    term: int
    moment_us: int
    position: Position

    def write(self, *, packer: Packer) -> None:
        """Appends the record's fields in their order on the wire."""
        packer.text(value=self.service).u64(value=self.term).u64(value=self.moment_us)
        packer.u64(value=self.position.term).u64(value=self.position.number)


def read_reported_sample(unpacker: Unpacker) -> ReportedSample:
    """Raises ValueError where the fields are none of a sample."""
    return ReportedSample(
        service=unpacker.text(),
        term=unpacker.u64(),
        moment_us=unpacker.u64(),
        position=Position(unpacker.u64(), unpacker.u64()),
    )


@dataclass(frozen=True, kw_only=True)
class WantedSample:
    """A service that the asker reads from, and the revision of the sample that it last got of the controller."""

    service: str
    revision: int = 0

    def write(self, *, packer: Packer) -> None:
        """Appends the record's fields in their order on the wire."""
        packer.text(value=self.service).u64(value=self.revision)


def read_wanted_sample(unpacker: Unpacker) -> WantedSample:
    """Raises ValueError where the fields are none of a sample."""
    return WantedSample(service=unpacker.text(), revision=unpacker.u64())


@dataclass(frozen=True, kw_only=True)
class PooledSample:
    """A sample that a proxy gets; `age_us` is at least the time from the request to the primary until the answer.

    `term` is the primary's term at that request; the sample counts under no other.
    """

    service: str
    term: int
    age_us: int
    position: Position
    revision: int

    def write(self, *, packer: Packer) -> None:
        """Appends the record's fields in their order on the wire."""
        packer.text(value=self.service).u64(value=self.term).u64(value=self.age_us)
        packer.u64(value=self.position.term).u64(value=self.position.number).u64(value=self.revision)


def read_pooled_sample(unpacker: Unpacker) -> PooledSample:
    """Raises ValueError where the fields are none of a sample."""
    return PooledSample(
        service=unpacker.text(),
        term=unpacker.u64(),
        age_us=unpacker.u64(),
        position=Position(unpacker.u64(), unpacker.u64()),
        revision=unpacker.u64(),
    )
