"""Whoever brings a database's data from one service to another, as the product's Handover."""

import asyncio

from .log_entry import LogEntry
from .referee import Referee
from .stand_in_service import StandInService


class StandInHandover:
    """Copies what the old place holds and the new one lacks; `stuck` never comes to an end."""

    def __init__(self, *, services: dict[str, StandInService], referee: Referee) -> None:
        self.services = services
        self.referee = referee
        self.stuck = False
        self.takes_us = 0
        self.calls = 0
        self.open: set[int] = set()

    async def complete(self, *, database: str, source: str, target: str) -> bool:
        self.calls += 1
        await asyncio.sleep(self.takes_us / 1_000_000)
        old, new = self.services[source].primary, self.services[target].primary
        if self.stuck or old is None or new is None:
            return False
        shard = self.referee.shard
        lacking = [
            statement
            for entry in old.log
            if not entry.cut
            for statement in entry.writes
            if statement.attempt.database == database and (target, statement.ident) not in shard.brought
        ]
        if lacking:
            entry = new.commit(writes=(), done=self._confirmed)
            entry.brought = tuple(lacking)
            self.open.add(id(entry))
            for statement in lacking:
                shard.brought[target, statement.ident] = entry
            return False
        if self.open:
            return False
        shard.moved_us.setdefault(database, new.now_us)
        return True

    def _confirmed(self, entry: LogEntry) -> None:
        self.open.discard(id(entry))
