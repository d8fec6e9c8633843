"""Seeded bugs in the change of the shard map."""

from typing import Any
from unittest.mock import patch

from ...failover.shard_map_coordinator import ShardMapCoordinator
from ...pooler.in_flight_writes import InFlightWrites
from ...pooler.shards import Shards
from .stand_in_handover import StandInHandover


def old_map_writes_continue() -> list[Any]:
    """A proxy ignores the change, and goes on writing at the old service."""

    def update(self: Any) -> None:
        return None

    return [
        patch.object(Shards, "update", update),
        patch.object(Shards, "fault", lambda self, *, database: None),
        patch.object(Shards, "_behind", lambda self, *, database: False),
        patch.object(Shards, "may_end", lambda self, *, database, since_us: True),
    ]


def map_switched_without_closing() -> list[Any]:
    """The map switches without a closing phase, while proxies still write at the old service."""

    async def move(self: Any, *, state: Any, proxies: Any) -> None:
        if await self._handover_complete(state=state):
            await self._compare_and_set(old=state, new=type(state)(current=state.following, proposal=state.proposal))

    return [
        patch.object(ShardMapCoordinator, "_activate", move),
        patch.object(Shards, "fault", lambda self, *, database: None),
        patch.object(Shards, "may_end", lambda self, *, database, since_us: True),
    ]


def in_flight_writes_ignored() -> list[Any]:
    """Unanswered writes are ignored: closing waits only as long as a route's timeout, and links stay open."""
    return [
        patch.object(InFlightWrites, "may_take_effect", lambda self, *, database, within_us: False),
        patch.object(InFlightWrites, "abandon", lambda self, *, databases, older_than_us: None),
        patch.object(ShardMapCoordinator, "expiry_us", property(lambda self: 2_600_000)),
    ]


def lapsed_proxy_ends_transactions() -> list[Any]:
    """A proxy with a lapsed view still ends transactions that it has begun."""
    return [patch.object(Shards, "may_end", lambda self, *, database, since_us: True)]


def samples_from_before_handover() -> list[Any]:
    """The handover completes without copying data, so reads rely on samples from before it."""

    async def complete(self: Any, *, database: str, source: str, target: str) -> bool:
        self.oracle.shard.handed_over_us.setdefault(database, self.services[target].primary.now_us)
        return True

    return [patch.object(StandInHandover, "complete", complete)]


def handover_copied_twice() -> list[Any]:
    """The handover copies the same writes twice."""
    whole = StandInHandover.complete

    async def complete(self: Any, *, database: str, source: str, target: str) -> bool:
        done = await whole(self, database=database, source=source, target=target)
        shard, new = self.oracle.shard, self.services[target].primary
        repeated = [entry for (name, _), entry in shard.copied.items() if name == target]
        if done and new is not None and repeated:
            new.commit(writes=(), done=lambda entry: None).copied = repeated[0].copied
        return done

    return [patch.object(StandInHandover, "complete", complete)]
