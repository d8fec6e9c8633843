"""Faults of the shard map's change."""

from typing import Any
from unittest.mock import patch

from ...failover.shard_map_coordinator import ShardMapCoordinator
from ...pooler.in_flight_writes import InFlightWrites
from ...pooler.shards import Shards
from .stand_in_handover import StandInHandover


def old_map_writes_on() -> list[Any]:
    """A proxy that has taken no new map goes on writing at the old place, as if nothing had changed."""

    def update(self: Any) -> None:
        return None

    return [
        patch.object(Shards, "update", update),
        patch.object(Shards, "fault", lambda self, *, database: None),
        patch.object(Shards, "_behind", lambda self, *, database: False),
        patch.object(Shards, "may_end", lambda self, *, database, since_us: True),
    ]


def moves_unclosed() -> list[Any]:
    """The map changes while proxies still write at the old place: nothing is closed, nobody is outwaited."""

    async def move(self: Any, *, state: Any, proxies: Any) -> None:
        if await self._handover_complete(state=state):
            await self._compare_and_set(old=state, new=type(state)(current=state.following, proposal=state.proposal))

    return [
        patch.object(ShardMapCoordinator, "_activate", move),
        patch.object(Shards, "fault", lambda self, *, database: None),
        patch.object(Shards, "may_end", lambda self, *, database, since_us: True),
    ]


def unanswered_forgotten() -> list[Any]:
    """What has left and is not answered is waited for by no more than a route's time limit, and its link kept."""
    return [
        patch.object(InFlightWrites, "may_take_effect", lambda self, *, database, within_us: False),
        patch.object(InFlightWrites, "abandon", lambda self, *, databases, older_than_us: None),
        patch.object(ShardMapCoordinator, "expiry_us", property(lambda self: 2_600_000)),
    ]


def untold_ends() -> list[Any]:
    """A proxy ends what it has begun, however long it has been out of touch."""
    return [patch.object(Shards, "may_end", lambda self, *, database, since_us: True)]


def samples_from_before() -> list[Any]:
    """Reads at the new place rest on samples from before the data was brought there."""

    async def complete(self: Any, *, database: str, source: str, target: str) -> bool:
        self.referee.shard.moved_us.setdefault(database, self.services[target].primary.now_us)
        return True

    return [patch.object(StandInHandover, "complete", complete)]


def brought_twice() -> list[Any]:
    """What was brought over is brought once more."""
    whole = StandInHandover.complete

    async def complete(self: Any, *, database: str, source: str, target: str) -> bool:
        done = await whole(self, database=database, source=source, target=target)
        shard, new = self.referee.shard, self.services[target].primary
        again = [entry for (name, _), entry in shard.brought.items() if name == target]
        if done and new is not None and again:
            new.commit(writes=(), done=lambda entry: None).brought = again[0].brought
        return done

    return [patch.object(StandInHandover, "complete", complete)]
