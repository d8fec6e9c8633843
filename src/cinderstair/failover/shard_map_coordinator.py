"""Coordinates changes of the shard map.

A new map is proposed to all proxies and activated once the required percentage of them has agreed and writes to the
moving databases have stopped everywhere. Operators' transitions are in `shard_transitions`, vote counting in
`shard_votes`.
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
    CLOSING_REPLY_TIMEOUT_US,
    IN_FLIGHT_US,
    MIN_PROPOSED_US,
    SHARDS_KEY,
    ShardPhase,
    ShardState,
    Vote,
    read_shard_state,
)
from .shard_transitions import abandoned, proposed
from .shard_votes import ProxyVote, ProxyVotePoll, ShardVotes
from .singleton_role import CONTROL_DAEMONS, SingletonRoleMixin
from .view_expiry import view_expiry_us

TIMER_PERIOD_US = 150_000
SHARD_MAP_LEASE = "shards"
# A proposal without enough agreement is withdrawn after this long, in microseconds.
PROPOSED_TIMEOUT_US = 30_000_000
# A change whose data is incomplete is withdrawn this long after all proxies stopped writing, in microseconds.
HANDOVER_TIMEOUT_US = 5_000_000
# Estimated duration of the closing phase, sent to clients, in microseconds.
EXPECTED_CLOSING_US = 900_000


class Handover(Protocol):
    """Interface to the process that copies a database's data from one service to another."""

    async def complete(self, *, database: str, source: str, target: str) -> bool:
        """Whether the target's primary has every commit that the source's primary acknowledged."""
        ...


# the service of a database by the plan; empty if the plan does not contain the database
PlannedService = Callable[[str], str]


class ShardMapCoordinator(SingletonRoleMixin):
    """Advances the shard map's state in the register while this controller holds the lease.

    Owns the local copy of that state, the time at which it was first seen, and measurements of the last change.

    Invariant: a database is never written at two services. All proxies stop writing at the old service before the new
    map is activated. Every step is a compare-and-set on the state; a step that can't complete withdraws the proposal.
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
        """:param census: gathers the votes of all proxies from all control daemons.
        :param all_controllers_notified: whether every other control daemon has seen a state and has listed its
            proxies since; until then one of them may still send a proxy an older state.
        :param planned: the service of a database by the plan.
        :param handover: None if this installation does not copy data; then no map is accepted.
        :param lease_us: how long a proxy's view of the register stays current, in microseconds.
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
        # when the state was first seen, or the lease was acquired, whichever is later
        self.since_us = 0
        # why this daemon withdrew the last change; empty if it withdrew none
        self.reason = ""
        # durations of the last change that this daemon activated; None and 0 if there was none
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
        """Proposes a validated map.

        :returns: routeDenied without a handover, otherwise the errors of `shard_transitions.proposed`.
        """
        if self.handover is None:
            reason = "no handover is set up here to copy a database's data to another service"
            return Error(CinderstairError(code=ErrorCode.ROUTE_DENIED, reason=reason))
        return await self._transition(
            decide=lambda state: proposed(state=state, wanted=wanted, in_flight_us=self.in_flight_us)
        )

    async def abandon(self, *, version: int) -> Result[None, CinderstairError]:
        """Abandons a change before its map is active; the errors are those of `shard_transitions.abandoned`."""
        result = await self._transition(decide=lambda state: abandoned(state=state, version=version))
        if result.is_ok():
            self.ctx.counters.add(name="shards.abandoned")
        return result

    async def _transition(
        self, *, decide: Callable[[ShardState], Result[ShardState, CinderstairError]]
    ) -> Result[None, CinderstairError]:
        def decide_bytes(data: bytes) -> Result[bytes, CinderstairError]:
            state = read_shard_state(data=data)
            # An unchanged state is written back byte for byte.
            return decide(state).map(lambda new: data if new is state else new.bytes())

        result = await self.register.change(key=SHARDS_KEY, decide=decide_bytes)
        self.view.apply_own_write(key=SHARDS_KEY, result=result)
        return Error(result.error) if result.is_error() else Ok(None)

    async def progress(self) -> ShardProgress:
        """The phase of the current change and the participants' votes."""
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
        """An estimate of how long the next change will delay writes."""
        progress = await self.progress()
        expiry_us = self._expiry_us(in_flight_us=self.in_flight_us)
        return forecast(
            proxies=progress.participants,
            silent=progress.silent,
            expiry_us=expiry_us,
            withdrawn_us=expiry_us + HANDOVER_TIMEOUT_US,
            closing_us=self.closing_us,
            handover_us=self.handover_us,
        )

    # -- the role --

    def on_role_gained(self) -> None:
        """Discards state of an earlier term as lease holder; see `SingletonRoleMixin`."""
        # This holder can't know how long the state has been in force, so all waits start again.
        self.since_us = self.ctx.now_us()

    async def _on_timer(self) -> None:
        # Without a proposal there is nothing to do, so the lease is released.
        if self.state.phase == ShardPhase.steady:
            if self.lease.held:
                await self.lease.drop()
            return
        await self.renew_role()
        if not self.may_act:
            return
        state = self.state
        proxies = await self.census()
        # The votes were gathered for `state`; another holder may have changed it during the poll.
        if state != self.state:
            return
        if state.phase == ShardPhase.proposed:
            await self._count_agreement(state=state, proxies=proxies)
        elif state.phase == ShardPhase.closing:
            await self._activate(state=state, proxies=proxies)

    async def _compare_and_set(self, *, old: ShardState, new: ShardState) -> bool:
        """Replaces `old` by `new` while the lease is held; whether `new` is written."""
        if not self.lease.held:
            return False
        result = await compare_and_set(
            register=self.register,
            view=self.view,
            key=SHARDS_KEY,
            unchanged=lambda current: read_shard_state(data=current) in (old, new),
            new=new.bytes(),
            conflict="the shard map's state was changed concurrently",
        )
        if result.is_ok():
            self.ctx.log.info(
                "shard map: phase %s, active map %d, proposed map %d (0: none)",
                new.phase.name,
                new.current.version,
                new.following.version,
            )
        return result.is_ok()

    # -- votes --

    @property
    def expiry_us(self) -> int:
        """Time after a change until no request sent under an earlier state can take effect, in microseconds."""
        return self._expiry_us(in_flight_us=self.state.in_flight_us)

    def _expiry_us(self, *, in_flight_us: int) -> int:
        # The expiry of views, the proxy's reply timeout, and writes in flight to a backend.
        return view_expiry_us(lease_us=self.lease_us) + CLOSING_REPLY_TIMEOUT_US + in_flight_us

    def _votes(self, *, proxies: dict[str, ProxyVote]) -> ShardVotes:
        return ShardVotes(proxies=proxies, proposal=self.state.proposal, now_us=self.ctx.now_us())

    def _participants(self) -> set[str]:
        """The names of the proxies that have an id, and so a vote."""
        found = self.view.known.get(PROXY_IDS_KEY)
        return {name for _, name in read_proxy_ids(data=b"" if found is None else found.value).names}

    # -- steps --

    async def _count_agreement(self, *, state: ShardState, proxies: dict[str, ProxyVote]) -> None:
        """Moves from proposed to closing once enough participants agree; withdraws after `PROPOSED_TIMEOUT_US`."""
        participants = self._participants()
        agreeing = self._votes(proxies=proxies).with_vote(vote=Vote.agrees) & participants
        waited_us = self.ctx.now_us() - self.since_us
        if participants and 100 * len(agreeing) >= state.following.agree_percent * len(participants):
            # After this time a proxy that missed the proposal can't commit transactions that it began before.
            if waited_us >= MIN_PROPOSED_US:
                closing = replace(state, phase=ShardPhase.closing, ready_in_us=EXPECTED_CLOSING_US)
                await self._compare_and_set(old=state, new=closing)
        elif waited_us > PROPOSED_TIMEOUT_US:
            await self._withdraw(state=state, reason=f"{len(agreeing)} of {len(participants)} proxies agree")

    async def _activate(self, *, state: ShardState, proxies: dict[str, ProxyVote]) -> None:
        """Activates the new map once no proxy writes at the old services and the data is complete.

        Withdraws the change if the data is still incomplete `HANDOVER_TIMEOUT_US` after the last possible write.
        """
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
        elif waited_us > self.expiry_us + HANDOVER_TIMEOUT_US:
            await self._withdraw(state=state, reason="the new service does not have all data of the moving databases")

    def _all_closed(self, *, state: ShardState, proxies: dict[str, ProxyVote]) -> bool:
        """Whether every proxy has acknowledged that it stopped writing at the old services.

        Proxies that do not answer are covered by `expiry_us`: they can't write once their view has expired.
        """
        votes = self._votes(proxies=proxies)
        closed = votes.with_vote(vote=Vote.closed)
        open_proxies = set(votes.seen) - closed
        return self.all_controllers_notified(state) and not open_proxies and self._participants() <= closed

    async def _handover_complete(self, *, state: ShardState) -> bool:
        """Whether every moving database has all its data at its new service."""
        if self.handover is None:
            raise RuntimeError("shard map in phase closing, but no handover is configured on this controller")
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
        """Withdraws the proposal; the old map stays active."""
        self.reason = reason
        self.ctx.log.warning(
            "shard map %d was withdrawn: %s; map %d stays active",
            state.following.version,
            reason,
            state.current.version,
        )
        self.ctx.counters.add(name="shards.withdrawn")
        steady = ShardState(
            current=state.current, proposal=state.proposal, in_flight_us=state.in_flight_us, reason=reason
        )
        await self._compare_and_set(old=state, new=steady)
