"""The watermarks of all replicas: when a commit may be acknowledged."""

import asyncio

from ..runtime.context import Context
from .connection_pools import ConnectionPools
from .replica_watermark import ReplicaWatermark
from .view import View

# the lead and the view are looked at this often while a commit waits
RECHECK_US = 50_000


class CommitWatermarks:
    """Says of a position in a term whether all that must hold it do."""

    def __init__(self, *, ctx: Context, view: View, connection_pools: ConnectionPools) -> None:
        self.ctx = ctx
        self.view = view
        self.connection_pools = connection_pools
        self.watermarks: dict[str, ReplicaWatermark] = {}

    def watermark(self, *, name: str) -> ReplicaWatermark:
        """The watermark of a replica, created when it is first needed."""
        if name not in self.watermarks:
            self.watermarks[name] = ReplicaWatermark(ctx=self.ctx, connection_pools=self.connection_pools, name=name)
        return self.watermarks[name]

    def term_in_force(self, *, database: str, term: int) -> bool:
        """The term is still the one in force, by a view that is current now."""
        assignment = self.view.assignment(database=database)
        return self.view.current and assignment is not None and assignment.term == term and assignment.serves

    async def durable(self, *, database: str, term: int, position: int, until_us: int) -> bool:
        """Waits until every in-sync and joining replica holds a position.

        :returns: whether they do, in a term that is still in force; false at `until_us`.
        """
        polled: set[str] = set()
        while True:
            assignment = self.view.assignment(database=database)
            # once another term has begun, nothing of this one may be acknowledged any more
            if assignment is None or assignment.term != term or not assignment.serves:
                return False
            missing = [
                name
                for name in assignment.confirmers
                if not self.watermark(name=name).covers(term=term, position=position)
            ]
            # with nobody in sync a commit would stand on one disk alone
            if assignment.in_sync and not missing and self.view.current:
                return True
            left_us = until_us - self.ctx.now_us()
            if left_us <= 0:
                return False
            for name in missing:
                if name not in polled or not self.watermark(name=name).polling:
                    polled.add(name)
                    self.watermark(name=name).request(term=term, position=position)
            await self._wait_for_any(names=missing, wait_us=min(left_us, RECHECK_US))

    async def _wait_for_any(self, *, names: list[str], wait_us: int) -> None:
        waits = [
            self.ctx.spawn(work=self._wait_for_watermark(name=name, wait_us=wait_us), name="line") for name in names
        ]
        if not waits:
            await self.ctx.sleep(duration_us=wait_us)
            return
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)

    async def _wait_for_watermark(self, *, name: str, wait_us: int) -> None:
        try:
            async with asyncio.timeout(wait_us / 1_000_000):
                await self.watermark(name=name).changed.wait()
        except TimeoutError:
            pass
