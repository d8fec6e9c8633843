"""The newest sample of each primary's position that proxies have told, for the proxies that read of it."""

from dataclasses import dataclass

from ..membership.pooled_sample import ASK_AFTER_US, PooledSample, ReportedSample, WantedSample
from ..runtime.context import Context
from ..runtime.position import Position

KEEP_US = 10_000_000
ASK_AGAIN_US = 600_000


@dataclass(frozen=True, kw_only=True)
class BoardEntry:
    term: int
    moment_us: int
    position: Position
    edition: int


class SampleBoard:
    """Moments are by this process's clock alone; with the process go all moments that it has given out."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.edition = 0
        self.entries: dict[str, BoardEntry] = {}
        self.sent_us: dict[str, int] = {}

    def tell(self, *, samples: tuple[ReportedSample, ...]) -> None:
        """Takes what a proxy has seen, if its moments are by this process's clock."""
        now_us = self.ctx.now_us()
        for sample in samples:
            # why: a moment to come is no moment of this clock, or this clock has stood still
            if not now_us - KEEP_US < sample.moment_us <= now_us:
                self.ctx.counters.add(name="samples.strange")
                continue
            known = self.entries.get(sample.service)
            if known is not None and (known.term, known.moment_us) >= (sample.term, sample.moment_us):
                continue
            self.edition += 1
            self.entries[sample.service] = BoardEntry(
                term=sample.term, moment_us=sample.moment_us, position=sample.position, edition=self.edition
            )
            self.ctx.counters.add(name="samples.told")

    def look(self) -> None:
        """Forgets what no read can use any more."""
        now_us = self.ctx.now_us()
        for name in [name for name, entry in self.entries.items() if now_us - entry.moment_us >= KEEP_US]:
            del self.entries[name]
        for name in [name for name, at_us in self.sent_us.items() if now_us - at_us >= KEEP_US]:
            del self.sent_us[name]

    def given(self, *, wanted: tuple[WantedSample, ...], known: bool) -> tuple[PooledSample, ...]:
        """What is newer than the asker's; `known` says whether its editions are of this board."""
        now_us = self.ctx.now_us()
        found = []
        for want in wanted:
            entry = self.entries.get(want.service)
            if entry is not None and (not known or entry.edition > want.edition):
                found.append(
                    PooledSample(
                        service=want.service,
                        term=entry.term,
                        age_us=max(0, now_us - entry.moment_us),
                        position=entry.position,
                        edition=entry.edition,
                    )
                )
        return tuple(found)

    def missing(self, *, wanted: tuple[WantedSample, ...]) -> tuple[str, ...]:
        """The services whose primary this asker, and no other, is to ask now, since nobody has told of it lately."""
        now_us = self.ctx.now_us()
        found = []
        for want in wanted:
            entry, sent_us = self.entries.get(want.service), self.sent_us.get(want.service)
            lately = entry is not None and now_us - entry.moment_us < ASK_AFTER_US
            if lately or (sent_us is not None and now_us - sent_us < ASK_AGAIN_US):
                continue
            self.sent_us[want.service] = now_us
            found.append(want.service)
        return tuple(found)
