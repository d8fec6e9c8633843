"""Whether this stall reaches any backend at all, though the news call some of them fit."""

from ..membership.news import News
from ..runtime.context import Context
from ..runtime.ownermixin import OwnerMixin
from .gauge import read_gauge
from .yard import Yard

LOOK_EVERY_US = 500_000
BLIND_US = 4_000_000


class Sight(OwnerMixin):
    """Owns the time of the last answer from any backend. A stall that sees none neither serves nor leads duties."""

    def __init__(self, *, ctx: Context, yard: Yard, news: News) -> None:
        self.ctx = ctx
        self.yard = yard
        self.news = news
        self.seen_us = ctx.now_us()
        self.looked_us = ctx.now_us()
        self.open_queue()
        self.every(every_us=LOOK_EVERY_US, command=self._look, name="sight")

    @property
    def blind(self) -> bool:
        # why: a process that stood still has seen nothing meanwhile, which is no sign of anything
        return self.looked_us - self.seen_us > BLIND_US

    def seen(self) -> None:
        self.seen_us = max(self.seen_us, self.ctx.now_us())

    async def _look(self) -> None:
        now_us = self.ctx.now_us()
        if now_us - self.looked_us > 2 * LOOK_EVERY_US:
            self.seen_us += now_us - self.looked_us
        self.looked_us = now_us
        fit = [name for name in self.yard.pools if self.news.fit(name=name) and self.yard.open(name=name)]
        # why: where the news call nobody fit there is nobody to be seen
        if not fit:
            self.seen()
        elif now_us - self.seen_us > LOOK_EVERY_US:
            self.ctx.spawn(work=self._ask(name=self.ctx.luck.choice(fit)), name="sight.ask")

    async def _ask(self, *, name: str) -> None:
        reading = await read_gauge(yard=self.yard, name=name)
        if reading.is_ok():
            self.seen()
