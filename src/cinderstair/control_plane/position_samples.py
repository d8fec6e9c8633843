"""Keeps the newest reported position of each service's primary, so that proxies share samples."""

from dataclasses import dataclass

from ..membership.pooled_sample import ASK_AFTER_US, PooledSample, ReportedSample, WantedSample
from ..runtime.context import Context
from ..runtime.position import Position

MAX_SAMPLE_AGE_US = 10_000_000
ASK_RETRY_US = 600_000


@dataclass(frozen=True, kw_only=True)
class PositionSample:
    """A primary's log position at a time of the controller's clock.

    :ivar revision: rises with each sample that this controller stores
    """

    term: int
    moment_us: int
    position: Position
    revision: int


class PositionSamples:
    """Owns the newest sample by service, and when a proxy was last asked to take one.

    Sample times refer to this process's monotonic clock, so times issued before a restart are not comparable.
    """

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.revision = 0
        self.samples: dict[str, PositionSample] = {}
        self.ask_sent_us: dict[str, int] = {}

    def add(self, *, samples: tuple[ReportedSample, ...]) -> None:
        """Stores a proxy's samples; those whose time can't be of this process's clock are counted and dropped."""
        now_us = self.ctx.now_us()
        for sample in samples:
            # a time in the future stems from another clock, or this clock was stopped
            if not now_us - MAX_SAMPLE_AGE_US < sample.moment_us <= now_us:
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
        """Drops samples that are too old for any read."""
        now_us = self.ctx.now_us()
        self.samples = {
            service: sample
            for service, sample in self.samples.items()
            if now_us - sample.moment_us < MAX_SAMPLE_AGE_US
        }
        self.ask_sent_us = {
            service: sent_us for service, sent_us in self.ask_sent_us.items() if now_us - sent_us < MAX_SAMPLE_AGE_US
        }

    def newer_than(self, *, wanted: tuple[WantedSample, ...], same_source: bool) -> tuple[PooledSample, ...]:
        """The samples of the wanted services that the requesting proxy does not have yet.

        :param same_source: whether the proxy's revisions were issued by this process; otherwise they are ignored.
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
        """The wanted services without a recent sample; only the requesting proxy is to sample them now."""
        now_us = self.ctx.now_us()
        assigned = []
        for want in wanted:
            sample, sent_us = self.samples.get(want.service), self.ask_sent_us.get(want.service)
            recent = sample is not None and now_us - sample.moment_us < ASK_AFTER_US
            if recent or (sent_us is not None and now_us - sent_us < ASK_RETRY_US):
                continue
            self.ask_sent_us[want.service] = now_us
            assigned.append(want.service)
        return tuple(assigned)
