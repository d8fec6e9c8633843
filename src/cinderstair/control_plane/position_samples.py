"""The newest sample of each primary's position that proxies have reported, for the proxies that read of it."""

from dataclasses import dataclass

from ..membership.pooled_sample import ASK_AFTER_US, PooledSample, ReportedSample, WantedSample
from ..runtime.context import Context
from ..runtime.position import Position

KEEP_US = 10_000_000
ASK_AGAIN_US = 600_000


@dataclass(frozen=True, kw_only=True)
class PositionSample:
    """A primary's position at a moment of the controller's clock; `revision` orders the samples of one controller."""

    term: int
    moment_us: int
    position: Position
    revision: int


class PositionSamples:
    """Owns the samples of one controller.

    Moments are by this process's clock alone; a restarted process accepts none that an earlier one has given out.
    """

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.revision = 0
        self.samples: dict[str, PositionSample] = {}
        self.ask_sent_us: dict[str, int] = {}

    def add(self, *, samples: tuple[ReportedSample, ...]) -> None:
        """Takes a proxy's samples, whose moments must be by this process's clock; others are counted and dropped."""
        now_us = self.ctx.now_us()
        for sample in samples:
            # a moment in the future is not of this clock, or this clock has stood still
            if not now_us - KEEP_US < sample.moment_us <= now_us:
                self.ctx.counters.add(name="samples.strange")
                continue
            known = self.samples.get(sample.service)
            if known is not None and (known.term, known.moment_us) >= (sample.term, sample.moment_us):
                continue
            self.revision += 1
            self.samples[sample.service] = PositionSample(
                term=sample.term, moment_us=sample.moment_us, position=sample.position, revision=self.revision
            )
            self.ctx.counters.add(name="samples.told")

    def expire(self) -> None:
        """Forgets samples that are too old for any read."""
        now_us = self.ctx.now_us()
        self.samples = {
            service: sample for service, sample in self.samples.items() if now_us - sample.moment_us < KEEP_US
        }
        self.ask_sent_us = {
            service: sent_us for service, sent_us in self.ask_sent_us.items() if now_us - sent_us < KEEP_US
        }

    def newer_than(self, *, wanted: tuple[WantedSample, ...], same_source: bool) -> tuple[PooledSample, ...]:
        """The wanted services' samples that the asker lacks.

        :param same_source: whether the asker's revisions were given out by this process; if not, they don't count.
        """
        now_us = self.ctx.now_us()
        found = []
        for want in wanted:
            sample = self.samples.get(want.service)
            if sample is None or (same_source and sample.revision <= want.revision):
                continue
            found.append(
                PooledSample(
                    service=want.service,
                    term=sample.term,
                    age_us=max(0, now_us - sample.moment_us),
                    position=sample.position,
                    revision=sample.revision,
                )
            )
        return tuple(found)

    def assign_asks(self, *, wanted: tuple[WantedSample, ...]) -> tuple[str, ...]:
        """The services without a recent sample whose primary this asker, and no other, is to ask now."""
        now_us = self.ctx.now_us()
        assigned = []
        for want in wanted:
            sample, sent_us = self.samples.get(want.service), self.ask_sent_us.get(want.service)
            recent = sample is not None and now_us - sample.moment_us < ASK_AFTER_US
            if recent or (sent_us is not None and now_us - sent_us < ASK_AGAIN_US):
                continue
            self.ask_sent_us[want.service] = now_us
            assigned.append(want.service)
        return tuple(assigned)
