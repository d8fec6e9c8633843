"""The duty of bringing in a new shard map: agreed on by enough proxies, then taken by all together."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Protocol

from expression import Error, Ok, Result

from ..config.shard_map import ShardMap
from ..consensus.lease import Lease
from ..consensus.register import Register
from ..consensus.register_view import RegisterView
from ..consensus.versioned_value import VersionedValue
from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .proxy_ids import PROXY_IDS_KEY, read_proxy_ids
from .shard_forecast import ShardForecast, forecast
from .shard_progress import ShardProgress
from .shard_state import (
    GIVE_UP_US,
    SHARDS_KEY,
    UNDER_WAY_US,
    UNTOLD_US,
    ShardPhase,
    ShardState,
    Vote,
    read_shard_state,
)

TIMER_PERIOD_US = 150_000
SHARD_MAP_LEASE = "shards"
SEEN_US = 3_000_000
PROPOSED_MOST_US = 30_000_000
CLOSING_MOST_US = 5_000_000
EXPECTED_US = 900_000
ABANDONED = "abandoned by an operator"


class Ballots(Protocol):
    """What is known of one proxy's vote."""

    @property
    def at_us(self) -> int: ...

    @property
    def turn(self) -> int: ...

    @property
    def vote(self) -> Vote: ...


class Handover(Protocol):
    """Whoever brings a database's data to its new place; cinderstair only asks whether all of it is there."""

    async def complete(self, *, database: str, source: str, target: str) -> bool:
        """Whether the target's primary holds everything that the source's ever acknowledged."""
        ...


Census = Callable[[], Awaitable[dict[str, Ballots]]]
Planned = Callable[[str], str]


class ShardMapCoordinator(CommandQueueMixin):
    """Every step is a compare-and-set on the shards' key. A step that can't be done goes back to the old map."""

    def __init__(
        self,
        *,
        ctx: Context,
        register: Register,
        view: RegisterView,
        census: Census,
        reported: Callable[[ShardState], bool],
        planned: Planned,
        handover: Handover | None,
        lease_us: int,
        under_way_us: int = UNDER_WAY_US,
    ) -> None:
        self.ctx = ctx
        self.register = register
        self.view = view
        self.census = census
        self.reported = reported
        self.planned = planned
        self.handover = handover
        self.lease_us = lease_us
        self.under_way_us = under_way_us
        self.lease = Lease(ctx=ctx, register=register, name=SHARD_MAP_LEASE, seekers=lambda: 3)
        self.state = ShardState()
        self.since_us = 0
        self.reason = ""
        self.closing_us: int | None = None
        self.handover_us = 0
        view.changes.subscribe(self._changed)
        self.open_queue()
        self.every(every_us=TIMER_PERIOD_US, command=self._on_timer, name="shards")

    def _changed(self, key: str) -> None:
        found = self.view.known.get(key)
        if key == SHARDS_KEY and found is not None:
            self.state = read_shard_state(data=found.value)
            self.since_us = self.ctx.now_us()

    async def propose(self, *, wanted: ShardMap) -> Result[None, CinderstairError]:
        """Puts a checked map to the proxies. versionOld, versionTaken: another stands, or is on its way."""
        if self.handover is None:
            why = "nothing here brings a database's data to another place"
            return Error(CinderstairError(code=ErrorCode.ROUTE_DENIED, reason=why))

        def decide(data: bytes) -> Result[bytes, CinderstairError]:
            state = read_shard_state(data=data)
            if state.phase != ShardPhase.steady and state.following != wanted:
                return Error(
                    CinderstairError(
                        code=ErrorCode.VERSION_TAKEN, reason=f"version {state.following.version} is on its way"
                    )
                )
            if wanted.version <= state.current.version and wanted != state.current:
                return Error(
                    CinderstairError(code=ErrorCode.VERSION_OLD, reason=f"version {state.current.version} stands")
                )
            # why: the same map may be put again, by whoever had no clear answer the first time
            if wanted in (state.current, state.following):
                return Ok(data)
            new = ShardState(
                phase=ShardPhase.proposed,
                current=state.current,
                following=wanted,
                turn=state.turn + 1,
                under_way_us=self.under_way_us,
            )
            return Ok(new.bytes())

        result = await self.register.change(key=SHARDS_KEY, decide=decide)
        self.view.take_own(key=SHARDS_KEY, result=result)
        return Error(result.error) if result.is_error() else Ok(None)

    async def abandon(self, *, version: int) -> Result[None, CinderstairError]:
        """Gives a change up, proposed or closing, before anything was taken over. versionOld: there is none."""

        def decide(data: bytes) -> Result[bytes, CinderstairError]:
            state = read_shard_state(data=data)
            if state.phase == ShardPhase.steady:
                # why: whoever had no clear answer the first time may ask again
                if state.why == ABANDONED and state.current.version < version:
                    return Ok(data)
                return Error(
                    CinderstairError(
                        code=ErrorCode.VERSION_OLD, reason=f"map {state.current.version} stands, no other is coming"
                    )
                )
            if state.following.version != version:
                return Error(
                    CinderstairError(
                        code=ErrorCode.VERSION_TAKEN, reason=f"version {state.following.version} is on its way"
                    )
                )
            new = replace(state, phase=ShardPhase.steady, following=ShardMap(), ready_in_us=0, why=ABANDONED)
            return Ok(new.bytes())

        result = await self.register.change(key=SHARDS_KEY, decide=decide)
        self.view.take_own(key=SHARDS_KEY, result=result)
        if result.is_error():
            return Error(result.error)
        self.ctx.counters.add(name="shards.abandoned")
        return Ok(None)

    async def progress(self) -> ShardProgress:
        """Where a change stands, and how those proxies vote that have a slot."""
        state = self.state
        proxies, named = await self.census(), self._named()
        votes = {vote: len(self._votes(proxies=proxies, vote=vote) & named) for vote in Vote}
        heard = {name for name, seen in proxies.items() if self.ctx.now_us() - seen.at_us < SEEN_US}
        return ShardProgress(state=state, named=len(named), unheard=len(named - heard), votes=votes)

    async def forecast(self) -> ShardForecast:
        progress = await self.progress()
        outwait_us = self.lease_us + self.lease_us // 10 + GIVE_UP_US + self.under_way_us
        return forecast(
            proxies=progress.named,
            silent=progress.unheard,
            outwait_us=outwait_us,
            goes_back_us=outwait_us + CLOSING_MOST_US,
            closing_us=self.closing_us,
            handover_us=self.handover_us,
        )

    async def _put(self, *, old: ShardState, new: ShardState) -> bool:
        """`old` is the word that the step was decided on, and not what may have come in since."""

        def decide(data: bytes) -> Result[bytes, CinderstairError]:
            if read_shard_state(data=data) not in (old, new):
                return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason="the shard map changed meanwhile"))
            return Ok(new.bytes())

        if not self.lease.held:
            return False
        result: Result[VersionedValue, CinderstairError] = await self.register.change(key=SHARDS_KEY, decide=decide)
        self.view.take_own(key=SHARDS_KEY, result=result)
        if result.is_ok():
            self.ctx.log.info(
                "shards: %s, map %d, next %d", new.phase.name, new.current.version, new.following.version
            )
        return result.is_ok()

    async def _on_timer(self) -> None:
        # why: with one map and no other there is nothing to do, and nobody need hold the duty
        if self.state.phase == ShardPhase.steady:
            if self.lease.held:
                await self.lease.drop()
            return
        if self.lease.due:
            held = self.lease.held
            if await self.lease.seek() and not held:
                # why: what went by before this holder began is not known to it
                self.since_us = self.ctx.now_us()
        if not self.lease.may_act(as_of_us=self.view.as_of_us) or not self.view.current:
            return
        state = self.state
        proxies = await self.census()
        # why: whatever is awaited, another holder's step may come in, and a step rests on one word alone
        if state != self.state:
            return
        if state.phase == ShardPhase.proposed:
            await self._count(state=state, proxies=proxies)
        elif state.phase == ShardPhase.closing:
            await self._move(state=state, proxies=proxies)

    @property
    def outwait_us(self) -> int:
        """After so long nothing that left under the older word takes effect any more, whoever sent it."""
        return self.lease_us + self.lease_us // 10 + GIVE_UP_US + self.state.under_way_us

    def _votes(self, *, proxies: dict[str, Ballots], vote: Vote) -> set[str]:
        """The proxies that were seen lately and say this of the next map."""
        now_us, turn = self.ctx.now_us(), self.state.turn
        return {
            name
            for name, seen in proxies.items()
            if now_us - seen.at_us < SEEN_US and seen.turn == turn and seen.vote == vote
        }

    def _named(self) -> set[str]:
        found = self.view.known.get(PROXY_IDS_KEY)
        return {name for _, name in read_proxy_ids(data=b"" if found is None else found.value).names}

    async def _back(self, *, state: ShardState, why: str) -> None:
        self.reason = why
        self.ctx.log.warning("shards: map %d is withdrawn: %s", state.following.version, why)
        self.ctx.counters.add(name="shards.withdrawn")
        new = ShardState(current=state.current, turn=state.turn, under_way_us=state.under_way_us, why=why)
        await self._put(old=state, new=new)

    async def _count(self, *, state: ShardState, proxies: dict[str, Ballots]) -> None:
        """From proposed to closing, once enough of all proxies that have a slot agree."""
        named = self._named()
        agree = self._votes(proxies=proxies, vote=Vote.agrees) & named
        if named and 100 * len(agree) >= state.following.agree_percent * len(named):
            # why: a proxy that has not heard of it by then has lost its right to end what it had begun
            if self.ctx.now_us() - self.since_us >= UNTOLD_US:
                await self._put(old=state, new=replace(state, phase=ShardPhase.closing, ready_in_us=EXPECTED_US))
        elif self.ctx.now_us() - self.since_us > PROPOSED_MOST_US:
            await self._back(state=state, why=f"{len(agree)} of {len(named)} proxies agree")

    async def _move(self, *, state: ShardState, proxies: dict[str, Ballots]) -> None:
        """From closing to steady under the new map, once nobody writes at the old places any more."""
        began_us = self.since_us
        waited_us = self.ctx.now_us() - began_us
        closed = self._votes(proxies=proxies, vote=Vote.closed)
        # why: a proxy that says that it has closed writes there no more; one that says nothing, named or not, has
        # lost its right to by then, since its view of the register has run out
        unheard = {name for name, seen in proxies.items() if self.ctx.now_us() - seen.at_us < SEEN_US} - closed
        # why: a controller that does not know of the closing yet may let a proxy begin that nobody else has seen
        all_closed = self.reported(state) and not unheard and self._named() <= closed
        if not all_closed and waited_us < self.outwait_us:
            return
        requested_us = self.ctx.now_us()
        complete = await self._complete(state=state)
        self.handover_us = self.ctx.now_us() - requested_us
        if complete:
            new = ShardState(current=state.following, turn=state.turn, under_way_us=state.under_way_us)
            if await self._put(old=state, new=new):
                self.closing_us = self.ctx.now_us() - began_us
                self.ctx.counters.add(name="shards.moved")
                self.ctx.counters.gauge(name="shards.closing_us", value=self.closing_us)
        elif waited_us > self.outwait_us + CLOSING_MOST_US:
            await self._back(state=state, why="the new place does not hold everything")

    async def _complete(self, *, state: ShardState) -> bool:
        assert self.handover is not None
        old, new = state.current, state.following
        for database in sorted(set(old.places) | set(new.places)):
            if not state.moving(database=database):
                continue
            planned = self.planned(database)
            source = old.place(database=database, planned=planned)
            target = new.place(database=database, planned=planned)
            if source != target and not await self.handover.complete(database=database, source=source, target=target):
                return False
        return True
