"""Brings in a new shard map: proposed to all proxies, agreed on by enough of them, then put in force for all at once.

What operators may do to the state is in `shard_transitions`, the counting of votes in `shard_votes`.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from expression import Error, Ok, Result

from ..config.shard_map import ShardMap
from ..consensus.lease import Lease
from ..consensus.register import Register
from ..consensus.register_view import RegisterView
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .compare_and_set import compare_and_set
from .proxy_ids import PROXY_IDS_KEY, read_proxy_ids
from .shard_forecast import ShardForecast, forecast
from .shard_progress import ShardProgress
from .shard_state import (
    GIVE_UP_US,
    IN_FLIGHT_US,
    SHARDS_KEY,
    UNNOTIFIED_GRACE_US,
    ShardPhase,
    ShardState,
    Vote,
    read_shard_state,
)
from .shard_transitions import abandoned, proposed
from .shard_votes import ProxyVote, ProxyVotePoll, ShardVotes
from .singleton_role import CONTROL_DAEMONS, SingletonRoleMixin

TIMER_PERIOD_US = 150_000
SHARD_MAP_LEASE = "shards"
# A proposal that too few agree on is withdrawn after this long, in microseconds.
PROPOSED_MOST_US = 30_000_000
# A change whose data is not complete is withdrawn this long after all proxies have stopped writing.
HANDOVER_MOST_US = 5_000_000
# What proxies tell their clients of how long a change takes, in microseconds; an estimate.
EXPECTED_CLOSING_US = 900_000


class Handover(Protocol):
    """Whoever copies a database's data from one service to another. It is asked only whether all of it is there."""

    async def complete(self, *, database: str, source: str, target: str) -> bool:
        """Whether the target's primary holds everything that the source's ever acknowledged."""
        ...


# the service of a database by the plan; empty where the plan has no such database
PlannedService = Callable[[str], str]


class ShardMapCoordinator(SingletonRoleMixin):
    """Invariant: a database is never written at two services. Its writes stop at the old one, everywhere, before the
    new map is put in force. Every step is a compare-and-set on the state, and one that can't be done withdraws it.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        register: Register,
        view: RegisterView,
        census: ProxyVotePoll,
        all_controllers_notified: Callable[[ShardState], bool],
        planned: PlannedService,
        handover: Handover | None,
        lease_us: int,
        in_flight_us: int = IN_FLIGHT_US,
    ) -> None:
        """:param all_controllers_notified: whether every other control daemon knows a state, and has since named the
            proxies that it sees; before that one of them may tell a proxy of an older state.
        :param handover: None where nothing copies data; then no map is accepted.
        :param lease_us: for how long a proxy's view of the register is current, in microseconds.
        :param in_flight_us: see `ShardState`.
        """
        self.ctx = ctx
        self.register = register
        self.view = view
        self.census = census
        self.all_controllers_notified = all_controllers_notified
        self.planned = planned
        self.handover = handover
        self.lease_us = lease_us
        self.in_flight_us = in_flight_us
        self.lease = Lease(ctx=ctx, register=register, name=SHARD_MAP_LEASE, contenders=lambda: CONTROL_DAEMONS)
        self.state = ShardState()
        # when the state was seen first, or the role was gained
        self.since_us = 0
        # why this daemon withdrew the last change; empty where it withdrew none
        self.reason = ""
        # of the last change that this daemon brought in; None and 0 where it brought in none
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

    # -- operators --

    async def propose(self, *, wanted: ShardMap) -> Result[None, CinderstairError]:
        """Proposes a map that has been checked.

        :returns: routeDenied where nothing copies data, else the errors of `shard_transitions.proposed`.
        """
        if self.handover is None:
            reason = "nothing here brings a database's data to another place"
            return Error(CinderstairError(code=ErrorCode.ROUTE_DENIED, reason=reason))
        return await self._transition(
            decide=lambda state: proposed(state=state, wanted=wanted, in_flight_us=self.in_flight_us)
        )

    async def abandon(self, *, version: int) -> Result[None, CinderstairError]:
        """Gives a change up before the new map is in force; the errors are those of `shard_transitions.abandoned`."""
        result = await self._transition(decide=lambda state: abandoned(state=state, version=version))
        if result.is_ok():
            self.ctx.counters.add(name="shards.abandoned")
        return result

    async def _transition(
        self, *, decide: Callable[[ShardState], Result[ShardState, CinderstairError]]
    ) -> Result[None, CinderstairError]:
        def decide_bytes(data: bytes) -> Result[bytes, CinderstairError]:
            state = read_shard_state(data=data)
            # A state that stays is written with the very bytes that were read.
            return decide(state).map(lambda new: data if new is state else new.bytes())

        result = await self.register.change(key=SHARDS_KEY, decide=decide_bytes)
        self.view.apply_own_write(key=SHARDS_KEY, result=result)
        return Error(result.error) if result.is_error() else Ok(None)

    async def progress(self) -> ShardProgress:
        """Where a change stands, and how the participants vote."""
        state = self.state
        proxies, participants = await self.census(), self._participants()
        shard_votes = self._votes(proxies=proxies)
        return ShardProgress(
            state=state,
            participants=len(participants),
            silent=len(participants - set(shard_votes.seen)),
            votes={vote: len(shard_votes.with_vote(vote=vote) & participants) for vote in Vote},
        )

    async def forecast(self) -> ShardForecast:
        """How long the next change will keep writes waiting."""
        progress = await self.progress()
        expiry_us = self._expiry_us(in_flight_us=self.in_flight_us)
        return forecast(
            proxies=progress.participants,
            silent=progress.silent,
            expiry_us=expiry_us,
            withdrawn_us=expiry_us + HANDOVER_MOST_US,
            closing_us=self.closing_us,
            handover_us=self.handover_us,
        )

    # -- the role --

    def on_role_gained(self) -> None:
        """Forgets what only the holder before could rely on; see `SingletonRoleMixin`."""
        # What went by before is not known to this holder, so it waits anew.
        self.since_us = self.ctx.now_us()

    async def _on_timer(self) -> None:
        # While one map is in force and no other proposed there is nothing to do, and nobody need hold the lease.
        if self.state.phase == ShardPhase.steady:
            if self.lease.held:
                await self.lease.drop()
            return
        await self.renew_role()
        if not self.may_act:
            return
        state = self.state
        proxies = await self.census()
        # A step rests on one state alone, and another holder's step may have come in meanwhile.
        if state != self.state:
            return
        if state.phase == ShardPhase.proposed:
            await self._count_agreement(state=state, proxies=proxies)
        elif state.phase == ShardPhase.closing:
            await self._put_in_force(state=state, proxies=proxies)

    async def _compare_and_set(self, *, old: ShardState, new: ShardState) -> bool:
        """Replaces the state that a step was decided on, while the lease is held; whether that is written."""
        if not self.lease.held:
            return False
        result = await compare_and_set(
            register=self.register,
            view=self.view,
            key=SHARDS_KEY,
            unchanged=lambda current: read_shard_state(data=current) in (old, new),
            new=new.bytes(),
            conflict="the shard map changed meanwhile",
        )
        if result.is_ok():
            self.ctx.log.info(
                "the shard map's change is %s: map %d is in force, map %d is to follow (0: none)",
                new.phase.name,
                new.current.version,
                new.following.version,
            )
        return result.is_ok()

    # -- votes --

    @property
    def expiry_us(self) -> int:
        """After so long nothing that was sent under an older state takes effect any more, whoever sent it."""
        return self._expiry_us(in_flight_us=self.state.in_flight_us)

    def _expiry_us(self, *, in_flight_us: int) -> int:
        # The view's lease, a tenth for clocks that run apart, the proxy's giving up, and what is still under way to
        # a backend.
        return self.lease_us + self.lease_us // 10 + GIVE_UP_US + in_flight_us

    def _votes(self, *, proxies: dict[str, ProxyVote]) -> ShardVotes:
        return ShardVotes(proxies=proxies, proposal=self.state.proposal, now_us=self.ctx.now_us())

    def _participants(self) -> set[str]:
        """The names of the proxies that have an id."""
        found = self.view.known.get(PROXY_IDS_KEY)
        return {name for _, name in read_proxy_ids(data=b"" if found is None else found.value).names}

    # -- steps --

    async def _count_agreement(self, *, state: ShardState, proxies: dict[str, ProxyVote]) -> None:
        """From proposed to closing, once enough participants agree."""
        participants = self._participants()
        agreeing = self._votes(proxies=proxies).with_vote(vote=Vote.agrees) & participants
        waited_us = self.ctx.now_us() - self.since_us
        if participants and 100 * len(agreeing) >= state.following.agree_percent * len(participants):
            # A proxy that has not been notified by then may no longer commit what it had begun.
            if waited_us >= UNNOTIFIED_GRACE_US:
                closing = replace(state, phase=ShardPhase.closing, ready_in_us=EXPECTED_CLOSING_US)
                await self._compare_and_set(old=state, new=closing)
        elif waited_us > PROPOSED_MOST_US:
            await self._withdraw(state=state, reason=f"{len(agreeing)} of {len(participants)} proxies agree")

    async def _put_in_force(self, *, state: ShardState, proxies: dict[str, ProxyVote]) -> None:
        """From closing to steady under the new map, once nobody writes at the old places any more."""
        began_us = self.since_us
        waited_us = self.ctx.now_us() - began_us
        if not self._all_closed(state=state, proxies=proxies) and waited_us < self.expiry_us:
            return
        requested_us = self.ctx.now_us()
        complete = await self._handover_complete(state=state)
        self.handover_us = self.ctx.now_us() - requested_us
        if complete:
            new = ShardState(current=state.following, proposal=state.proposal, in_flight_us=state.in_flight_us)
            if await self._compare_and_set(old=state, new=new):
                self.closing_us = self.ctx.now_us() - began_us
                self.ctx.counters.add(name="shards.moved")
                self.ctx.counters.gauge(name="shards.closing_us", value=self.closing_us)
        elif waited_us > self.expiry_us + HANDOVER_MOST_US:
            await self._withdraw(state=state, reason="the new place does not hold everything")

    def _all_closed(self, *, state: ShardState, proxies: dict[str, ProxyVote]) -> bool:
        """Whether every proxy has acknowledged that it writes at the old places no more.

        A proxy that is silent, participant or not, has lost its right to write when its view has expired.
        """
        votes = self._votes(proxies=proxies)
        closed = votes.with_vote(vote=Vote.closed)
        open_proxies = set(votes.seen) - closed
        return self.all_controllers_notified(state) and not open_proxies and self._participants() <= closed

    async def _handover_complete(self, *, state: ShardState) -> bool:
        """Whether every database that moves has all its data at its new service."""
        if self.handover is None:
            raise RuntimeError("a shard map is closing, and this daemon has no handover to ask")
        old, new = state.current, state.following
        for database in sorted(set(old.placements) | set(new.placements)):
            if not state.moving(database=database):
                continue
            planned = self.planned(database)
            source = old.service_of(database=database, planned=planned)
            target = new.service_of(database=database, planned=planned)
            if source != target and not await self.handover.complete(database=database, source=source, target=target):
                return False
        return True

    async def _withdraw(self, *, state: ShardState, reason: str) -> None:
        """Back to steady under the old map."""
        self.reason = reason
        self.ctx.log.warning(
            "the change to shard map %d is withdrawn, since %s; map %d stays in force",
            state.following.version,
            reason,
            state.current.version,
        )
        self.ctx.counters.add(name="shards.withdrawn")
        steady = ShardState(
            current=state.current, proposal=state.proposal, in_flight_us=state.in_flight_us, reason=reason
        )
        await self._compare_and_set(old=state, new=steady)
