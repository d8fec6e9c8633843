"""A proxy's side of sharing position samples between proxies through their controller."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..failover.service_primary import PrimaryState, ServicePrimary
from ..membership.pooled_sample import PooledSample, ReportedSample, WantedSample, drift_us
from ..runtime.context import Context
from ..runtime.position import Position

# Own samples older than this are no longer reported.
KEEP_US = 5_000_000
# Earlier than any reading of a proxy's clock.
LONG_AGO_US = -(1 << 62)


@dataclass(frozen=True, kw_only=True)
class OwnSample:
    """A sample that this proxy requested from the primary of `term`; `requested_us` is by this proxy's clock."""

    term: int
    requested_us: int
    position: Position


@dataclass(frozen=True, kw_only=True)
class Reference:
    """Pairs clock readings of one answer: the controller's at sending, and this proxy's at receiving.

    `source` is the number of the controller's run; its clock is meaningless for any other run.
    """

    source: int
    answered_us: int
    received_us: int


class SamplePool:
    """Reports own samples to the controller, and accepts those of other proxies.

    Times are converted between two machines' clocks by durations only, and rounded so that a sample never seems newer
    than it is. `wanted`: returns the services whose samples reads need. `note`: receives each accepted sample: the
    service, the time of its request by this proxy's clock, and the position. `known_us`: by service, the request time
    of the newest sample that the controller has; `unconfirmed_us`: those of the samples in the report under way.
    """

    def __init__(self, *, ctx: Context, assignment: Callable[[str], ServicePrimary | None]) -> None:
        self.ctx = ctx
        self.assignment = assignment
        self.wanted: Callable[[], Iterable[str]] = tuple
        self.note: Callable[[str, int, Position], None] = lambda service, requested_us, position: None
        self.own: dict[str, OwnSample] = {}
        self.unconfirmed_us: dict[str, int] = {}
        self.known_us: dict[str, int] = {}
        self.revisions: dict[str, int] = {}
        self.reference: Reference | None = None

    def add_own(self, *, service: str, term: int, requested_us: int, position: Position) -> None:
        """Adds a sample of this proxy, requested from the primary of `term`."""
        known = self.own.get(service)
        if known is None or (known.term, known.requested_us) < (term, requested_us):
            self.own[service] = OwnSample(term=term, requested_us=requested_us, position=position)

    def _is_current_term(self, *, service: str, term: int) -> bool:
        assignment = self.assignment(service)
        # A position from another term may lie past the fence of a promotion that has discarded it.
        return assignment is not None and assignment.state == PrimaryState.settled and assignment.term == term

    def reported(self, *, source: int) -> tuple[ReportedSample, ...]:
        """The samples that a controller does not have yet, with request times by its clock.

        :param source: the number of the controller's run.
        """
        reference, self.unconfirmed_us = self.reference, {}
        if reference is None or reference.source != source:
            return ()
        found = []
        for service, own in list(self.own.items()):
            if self.ctx.now_us() - own.requested_us > KEEP_US:
                del self.own[service]
                continue
            if own.requested_us <= self.known_us.get(service, LONG_AGO_US):
                continue
            moment_us = self._moment_us(reference=reference, requested_us=own.requested_us)
            if moment_us >= 0 and self._is_current_term(service=service, term=own.term):
                self.unconfirmed_us[service] = own.requested_us
                found.append(
                    ReportedSample(service=service, term=own.term, moment_us=moment_us, position=own.position)
                )
        return tuple(found)

    def _moment_us(self, *, reference: Reference, requested_us: int) -> int:
        """The controller's clock when this proxy requested the sample, or earlier.

        The conversion ignores the answer's transit time: it was sent before it was received.
        """
        span_us = requested_us - reference.received_us
        return reference.answered_us + span_us - drift_us(span_us=span_us)

    def wanted_samples(self) -> tuple[WantedSample, ...]:
        """The services of which this proxy needs samples, with the revision that it has of each."""
        return tuple(WantedSample(service=name, revision=self.revisions.get(name, 0)) for name in self.wanted())

    def answered(
        self, *, source: int, answered_us: int, requested_us: int, samples: tuple[PooledSample, ...]
    ) -> None:
        """Handles an answer: the last report has arrived, and samples of the current term are accepted.

        :param answered_us: the controller's clock when it answered.
        :param requested_us: this proxy's clock when it sent the request.
        """
        if self.reference is None or source != self.reference.source:
            # A different or restarted controller has none of the samples that were reported before.
            self.revisions, self.known_us, self.unconfirmed_us = {}, {}, {}
        self.reference = Reference(source=source, answered_us=answered_us, received_us=self.ctx.now_us())
        self.known_us.update(self.unconfirmed_us)
        self.unconfirmed_us = {}
        for sample in samples:
            self.revisions[sample.service] = sample.revision
            if not self._is_current_term(service=sample.service, term=sample.term):
                continue
            at_us = self._at_us(requested_us=requested_us, age_us=sample.age_us)
            self.known_us[sample.service] = max(self.known_us.get(sample.service, LONG_AGO_US), at_us)
            self.ctx.counters.add(name="samples.pooled")
            self.note(sample.service, at_us, sample.position)

    def _at_us(self, *, requested_us: int, age_us: int) -> int:
        """This proxy's clock when the sample was requested, or earlier.

        The age is as of the answer, which was made after this proxy's request was sent.
        """
        return requested_us - age_us - drift_us(span_us=age_us)
