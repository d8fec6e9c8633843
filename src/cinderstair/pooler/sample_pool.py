"""One proxy's part in the position samples that proxies share through their controller."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..failover.service_primary import PrimaryState, ServicePrimary
from ..membership.pooled_sample import PooledSample, ReportedSample, WantedSample, drift_us
from ..runtime.context import Context
from ..runtime.position import Position

# Own samples that are older are of no use to anybody.
KEEP_US = 5_000_000
LONG_AGO_US = -(1 << 62)


@dataclass(frozen=True, kw_only=True)
class OwnSample:
    """A sample that this proxy took under the lead of a term; `requested_us` is by this proxy's clock."""

    term: int
    requested_us: int
    position: Position


@dataclass(frozen=True, kw_only=True)
class Reference:
    """An answer of one run of a controller: its clock at sending (`answered_us`), and this proxy's at receiving."""

    source: int
    answered_us: int
    received_us: int


class SamplePool:
    """Converts moments between the clocks of two machines by spans alone, rounded so that no sample is too young.

    `wanted`: the services whose samples reads need. `note`: takes a sample from the controller: the service, the
    moment by this proxy's clock, and the position. `told_us`: by service, the newest sample that the controller has.
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
        """Takes a sample of this proxy, asked for under the lead of this term."""
        known = self.own.get(service)
        if known is None or (known.term, known.requested_us) < (term, requested_us):
            self.own[service] = OwnSample(term=term, requested_us=requested_us, position=position)

    def _counts(self, *, service: str, term: int) -> bool:
        assignment = self.assignment(service)
        # A position seen under another lead may lie past a fence that has cut it off.
        return assignment is not None and assignment.state == PrimaryState.settled and assignment.term == term

    def reported(self, *, source: int) -> tuple[ReportedSample, ...]:
        """The samples that a controller does not have yet, with their moments by its clock.

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
            if moment_us >= 0 and self._counts(service=service, term=own.term):
                self.unconfirmed_us[service] = own.requested_us
                found.append(
                    ReportedSample(service=service, term=own.term, moment_us=moment_us, position=own.position)
                )
        return tuple(found)

    def _moment_us(self, *, reference: Reference, requested_us: int) -> int:
        """The controller's clock at our asking, or earlier: its answer was sent before we had it."""
        span_us = requested_us - reference.received_us
        return reference.answered_us + span_us - drift_us(span_us=span_us)

    def wants(self) -> tuple[WantedSample, ...]:
        """The services of which this proxy wants samples, with the revision that it has of each."""
        return tuple(WantedSample(service=name, revision=self.revisions.get(name, 0)) for name in self.wanted())

    def answered(
        self, *, source: int, answered_us: int, requested_us: int, samples: tuple[PooledSample, ...]
    ) -> None:
        """Takes an answer: what was reported has arrived, and others' samples count here if the lead is the same.

        :param answered_us: the controller's clock at the answer.
        :param requested_us: this proxy's clock at the question.
        """
        if self.reference is None or source != self.reference.source:
            # Another controller, or a restarted one, knows nothing of what was reported before.
            self.revisions, self.known_us, self.unconfirmed_us = {}, {}, {}
        self.reference = Reference(source=source, answered_us=answered_us, received_us=self.ctx.now_us())
        self.known_us.update(self.unconfirmed_us)
        self.unconfirmed_us = {}
        for sample in samples:
            self.revisions[sample.service] = sample.revision
            if not self._counts(service=sample.service, term=sample.term):
                continue
            at_us = self._at_us(requested_us=requested_us, age_us=sample.age_us)
            self.known_us[sample.service] = max(self.known_us.get(sample.service, LONG_AGO_US), at_us)
            self.ctx.counters.add(name="samples.pooled")
            self.note(sample.service, at_us, sample.position)

    def _at_us(self, *, requested_us: int, age_us: int) -> int:
        """Our clock when it was asked for, or earlier: the age is of the answer, and we asked before it."""
        return requested_us - age_us - drift_us(span_us=age_us)
