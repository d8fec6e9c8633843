"""A stand-in for the copying of a database's data between services; implements the product's Handover."""

import asyncio

from .log_entry import LogEntry
from .oracle import Oracle
from .stand_in_service import StandInService


class StandInHandover:
    """Copies the writes that the target lacks; never completes while `stuck`.

    `open` holds the ids of entries copied to the target that are not confirmed yet.
    """

    def __init__(self, *, services: dict[str, StandInService], oracle: Oracle) -> None:
        self.services = services
        self.oracle = oracle
        self.stuck = False
        self.duration_us = 0
        self.calls = 0
        self.open: set[int] = set()

    async def complete(self, *, database: str, source: str, target: str) -> bool:
        """Copies what is missing; True once the target holds everything, confirmed."""
        self.calls += 1
        await asyncio.sleep(self.duration_us / 1_000_000)
        old, new = self.services[source].primary, self.services[target].primary
        if self.stuck or old is None or new is None:
            return False
        shard = self.oracle.shard
        lacking = [
            statement
            for entry in old.log
            if not entry.truncated
            for statement in entry.writes
            if statement.attempt.database == database and (target, statement.ident) not in shard.copied
        ]
        if lacking:
            entry = new.commit(writes=(), done=self._confirmed)
            entry.copied = tuple(lacking)
            self.open.add(id(entry))
            for statement in lacking:
                shard.copied[target, statement.ident] = entry
            return False
        if self.open:
            return False
        shard.handed_over_us.setdefault(database, new.now_us)
        return True

    def _confirmed(self, entry: LogEntry) -> None:
        self.open.discard(id(entry))
