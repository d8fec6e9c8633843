"""Fakes for failover tests: a register, a service of backends, and the environment of a controller."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from expression import Error, Ok, Result
from stage import Stage, announcement

from cinderstair.consensus.ballot import Ballot
from cinderstair.consensus.messages import Status
from cinderstair.consensus.register_view import RegisterView
from cinderstair.consensus.roster import Roster, Voter
from cinderstair.consensus.versioned_value import VersionedValue
from cinderstair.failover.acknowledged_commits import AcknowledgedCommits
from cinderstair.failover.backend_control import BackendState
from cinderstair.failover.reachability_votes import ReachabilityVotes
from cinderstair.failover.service_failover import ServiceFailover
from cinderstair.membership.announcement import Announcement
from cinderstair.membership.heartbeat import READY
from cinderstair.membership.heartbeat_table import HeartbeatTable
from cinderstair.pooler.relayed_view import LEASE_US
from cinderstair.runtime.context import Context
from cinderstair.runtime.dispatcher import Dispatcher
from cinderstair.runtime.errors import CinderstairError, ErrorCode
from cinderstair.runtime.position import Position
from cinderstair.runtime.unpacker import Unpacker

HEARTBEAT_US = 1_000_000
QUIET_US = 3_000_000
VIEW_EXPIRY_US = LEASE_US + LEASE_US // 10
PROMOTED_US = 300_000
COMMIT_US = 5_000
# How long proxies take to answer a notice, and how long one that is silent is waited for.
NOTICE_US = 100_000
NOTICE_WAIT_US = 400_000
ROSTER = Roster(epoch=1, voters=(Voter(ident=1, name="vault-1", address="10.0.0.1:1"),))


class Store:
    """The state shared by all fake registers of a stage: values, lease holders, and keys whose writes fail."""

    def __init__(self) -> None:
        self.values: dict[str, VersionedValue] = {}
        self.round = 0
        self.leases: dict[str, tuple[int, int]] = {}
        self.writes: list[tuple[int, str, bytes]] = []
        self.refused: set[str] = set()


class FakeRegister:
    """A register backed by one shared store, which can be made unreachable for this daemon (`cut`)."""

    def __init__(self, *, ctx: Context, store: Store, proposer: int) -> None:
        self.ctx = ctx
        self.store = store
        self.proposer = proposer
        self.roster: Roster | None = ROSTER
        self.cut = False

    def _unreachable(self) -> Any:
        return Error(CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="cut off"))

    async def poll(
        self, *, roster: Roster, body: bytes, enough: Callable[[list[bytes]], bool], first: int = 0
    ) -> list[bytes]:
        await self.ctx.sleep(duration_us=2_000)
        if self.cut:
            return []
        unpacker = Unpacker(data=body)
        unpacker.u8()
        unpacker.u32()
        lease, proposer, length_us = unpacker.text(), unpacker.u64(), unpacker.u64()
        now_us = self.ctx.now_us()
        holder, until_us = self.store.leases.get(lease, (0, 0))
        if holder != proposer and until_us > now_us:
            return [bytes([Status.REFUSED])]
        self.store.leases[lease] = (proposer, now_us + length_us)
        return [bytes([Status.OK])]

    async def change(
        self, *, key: str, decide: Callable[[bytes], Result[bytes, CinderstairError]]
    ) -> Result[VersionedValue, CinderstairError]:
        await self.ctx.sleep(duration_us=2_000)
        if self.cut:
            return self._unreachable()
        found = self.store.values.get(key)
        decided = decide(b"" if found is None else found.value)
        if decided.is_error():
            return Error(decided.error)
        if key in self.store.refused:
            return Error(CinderstairError(code=ErrorCode.REGISTER_UNSURE, reason="cut short"))
        self.store.round += 1
        made = VersionedValue(ballot=Ballot(self.store.round, self.proposer), value=decided.ok)
        self.store.values[key] = made
        self.store.writes.append((self.ctx.now_us(), key, decided.ok))
        await self.ctx.sleep(duration_us=2_000)
        return Ok(made)

    async def read(self, *, key: str) -> Result[VersionedValue, CinderstairError]:
        await self.ctx.sleep(duration_us=2_000)
        return self._unreachable() if self.cut else Ok(self.store.values[key])

    async def vector(self) -> Result[dict[str, Ballot], CinderstairError]:
        await self.ctx.sleep(duration_us=2_000)
        return (
            self._unreachable() if self.cut else Ok({key: found.ballot for key, found in self.store.values.items()})
        )


class FakeMembership:
    def alive(self, *, role: str = "") -> list[Any]:
        return []


class FakeDepartureRecord:
    """Keeps departures, unless the register is out of reach, and knows some backends."""

    def __init__(self) -> None:
        self.reachable = True
        self.known: dict[str, Announcement] = {}
        self.departed: list[Announcement] = []

    def recorded(self, *, name: str) -> Announcement | None:
        return self.known.get(name)

    async def record_departure(self, *, announcement: Announcement) -> bool:
        if self.reachable:
            self.departed.append(announcement)
        return self.reachable


class SimulatedBackend:
    """A backend of a service: its state, and flags that control how it answers requests."""

    def __init__(self, *, name: str, is_primary: bool, at: Position) -> None:
        self.name = name
        self.address = f"{name}:1"
        self.is_primary = is_primary
        self.term = at.term
        self.at = at
        self.held = 0
        self.paused = False
        self.standing = READY
        self.role_reported = is_primary
        self.up = True
        self.heartbeats = True
        self.reach = "yes"
        self.pausable = True
        self.promotable = True
        self.steps_down = True
        self.follows_us = 0
        self.receives = True
        self.number = 0
        self.stepped_us = 0
        # when it was paused first; 0 for never
        self.paused_us = 0
        self.log: list[str] = []


class Cluster:
    """A service's backends, and the platform that promotes them.

    A commit is acknowledged once `confirmations` replicas have it.
    """

    def __init__(self, *, stage: Stage, names: tuple[str, ...], at: Position, confirmations: int) -> None:
        self.stage = stage
        self.backends = {name: SimulatedBackend(name=name, is_primary=name == names[0], at=at) for name in names}
        self.confirmations = confirmations
        self.acknowledged = at
        self.lost: list[str] = []
        self.calls: list[tuple[int, str, int]] = []
        self.refuses: set[str] = set()
        self.writing = False
        # whether all proxies answer a notice, whether they have, and whether one acknowledges a backend's commits
        self.proxies_answer = True
        # whether one proxy is silent, and acknowledges nothing that the others don't know of
        self.one_proxy_silent = False
        self.proxies_notified = 0
        self.proxies_acknowledge: Callable[[str], bool] = lambda name: True
        self.acknowledged_us = 0
        # a backend reports the end of its log beside a commit, which may be this many positions later
        self.reported_beyond = 0
        self.heartbeat_listeners: list[Callable[[Announcement], None]] = []
        stage.call(call=lambda: stage.ctx.spawn(work=self._heartbeat()))
        stage.call(call=lambda: stage.ctx.spawn(work=self._commit()))

    async def _heartbeat(self) -> None:
        while True:
            for each in self.backends.values():
                self.send_heartbeat(backend=each)
            await asyncio.sleep(HEARTBEAT_US / 1_000_000)

    def send_heartbeat(self, *, backend: SimulatedBackend) -> None:
        if backend.up and backend.heartbeats:
            backend.number += 1
            heartbeat = announcement(
                name=backend.name, state=backend.standing, is_primary=backend.is_primary, number=backend.number
            )
            for receive in self.heartbeat_listeners:
                receive(replace(heartbeat, address=backend.address))

    async def _commit(self) -> None:
        while True:
            await asyncio.sleep(COMMIT_US / 1_000_000)
            if not self.writing:
                continue
            for primary in [each for each in self.backends.values() if each.is_primary and each.up]:
                made = Position(primary.term, primary.at.number + 1)
                primary.at = made
                receivers = [
                    replica
                    for replica in self.backends.values()
                    if replica is not primary
                    and replica.up
                    and not replica.is_primary
                    and not replica.paused
                    and replica.receives
                    and replica.held <= made.term
                ]
                for replica in receivers:
                    replica.at = max(replica.at, made)
                if len(receivers) >= self.confirmations and self.proxies_acknowledge(primary.name):
                    self.acknowledged = max(self.acknowledged, made)
                    self.acknowledged_us = self.stage.now_us

    async def notify_proxies(self, service: str, running_us: int) -> AcknowledgedCommits:
        """What the proxies have acknowledged, as `NotifyProxies` returns it; after a while if one is silent."""
        if not self.proxies_answer:
            await asyncio.sleep(NOTICE_WAIT_US / 1_000_000)
            return AcknowledgedCommits(complete=False)
        if self.one_proxy_silent:
            await asyncio.sleep(NOTICE_WAIT_US / 1_000_000)
        else:
            await asyncio.sleep(NOTICE_US / 1_000_000)
            self.proxies_notified += 1
        reported = Position(self.acknowledged.term, self.acknowledged.number + self.reported_beyond)
        return AcknowledgedCommits(
            position=reported,
            last_us=self.acknowledged_us,
            least=self.acknowledged,
            complete=not self.one_proxy_silent,
        )

    def add_replica(self, *, name: str) -> SimulatedBackend:
        """Starts a replica that has the primary's log and receives what follows; it sends no heartbeats yet."""
        primary = max((each for each in self.backends.values() if each.is_primary), key=lambda each: each.term)
        replica = SimulatedBackend(name=name, is_primary=False, at=primary.at)
        replica.heartbeats = False
        self.backends[name] = replica
        return replica

    def _state(self, backend: SimulatedBackend) -> Result[BackendState, CinderstairError]:
        return Ok(
            BackendState(
                is_primary=backend.is_primary, term=backend.term, received=backend.at, term_held=backend.held
            )
        )

    async def _contact(self, *, name: str, text: str, wait_us: int) -> SimulatedBackend | CinderstairError:
        backend = self.backends[name]
        if not backend.up or backend.reach == "no":
            await asyncio.sleep(0.001 if not backend.up else wait_us / 1_000_000)
            details = {"ended": int(not backend.up and backend.reach == "yes")}
            return CinderstairError(code=ErrorCode.REQUEST_NOT_SENT, reason="not reached", details=details)
        if backend.reach == "silent":
            await asyncio.sleep(wait_us / 1_000_000)
            return CinderstairError(code=ErrorCode.NO_RESPONSE, reason="silent")
        await asyncio.sleep(0.001)
        if text != "state":
            backend.log.append(text)
        return backend

    async def state(self, *, backend: Announcement, wait_us: int) -> Result[BackendState, CinderstairError]:
        found = await self._contact(name=backend.name, text="state", wait_us=wait_us)
        return Error(found) if isinstance(found, CinderstairError) else self._state(found)

    async def pause(
        self, *, backend: Announcement, term: int, wait_us: int
    ) -> Result[BackendState, CinderstairError]:
        found = await self._contact(name=backend.name, text=f"pause {term}", wait_us=wait_us)
        if isinstance(found, CinderstairError):
            return Error(found)
        if not found.pausable:
            return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason="BUSY"))
        if term > found.held and not found.is_primary:
            found.held, found.paused = term, True
            found.paused_us = found.paused_us or self.stage.now_us
        return self._state(found)

    async def resume(self, *, backend: Announcement, wait_us: int) -> Result[BackendState, CinderstairError]:
        found = await self._contact(name=backend.name, text="resume", wait_us=wait_us)
        if isinstance(found, CinderstairError):
            return Error(found)
        found.held, found.paused = 0, False
        return self._state(found)

    async def step_down(
        self, *, backend: Announcement, term: int, wait_us: int
    ) -> Result[BackendState, CinderstairError]:
        found = await self._contact(name=backend.name, text=f"step down {term}", wait_us=wait_us)
        if isinstance(found, CinderstairError):
            return Error(found)
        if found.is_primary and found.term < term and found.steps_down:
            for replica in [each for each in self.backends.values() if each.follows_us]:
                self.stage.loop.call_later(replica.follows_us / 1_000_000, setattr, replica, "at", found.at)
            found.is_primary, found.stepped_us = False, self.stage.now_us
            self.send_heartbeat(backend=found)
        return self._state(found)

    async def promote(
        self, *, service: str, backend: str, fence_number: int, holds: Callable[[], bool]
    ) -> Result[None, CinderstairError]:
        await asyncio.sleep(0.01)
        self.calls.append((self.stage.now_us, backend, fence_number))
        found = self.backends[backend]
        if not found.up or backend in self.refuses:
            return Error(CinderstairError(code=ErrorCode.NO_BACKEND, reason="409"))
        if found.promotable and not found.is_primary:
            self.stage.loop.call_later(PROMOTED_US / 1_000_000, self._become_primary, found)
        return Ok(None)

    def _become_primary(self, backend: SimulatedBackend) -> None:
        if not backend.up or backend.is_primary:
            return
        if backend.at < self.acknowledged:
            self.lost.append(f"{backend.name} is promoted at {backend.at}, but {self.acknowledged} is acknowledged")
        backend.is_primary, backend.paused, backend.held = True, False, 0
        backend.term = max(each.term for each in self.backends.values()) + 1
        backend.at = Position(backend.term, backend.at.number)
        for other in self.backends.values():
            # replicas that were ahead are truncated to the position of the new primary
            if other is not backend and not other.is_primary:
                other.at = min(other.at, Position(backend.at.term, backend.at.number))
        self.send_heartbeat(backend=backend)


class ControllerStage:
    """One controller's register, view, heartbeat table and service failover."""

    def __init__(self, *, context: Any, name: str, number: int) -> None:
        stage, self.ctx = context.stage, context.stage.context(name=name, seed=number)
        self.stage = stage
        self.votes = ReachabilityVotes(reachable=0, answered=0)
        self.neighbours: list[str] = []
        self.heartbeats_elsewhere: list[Announcement] = []

        def work() -> None:
            self.register = FakeRegister(ctx=self.ctx, store=context.store, proposer=number)
            self.dispatcher = Dispatcher(ctx=self.ctx)
            self.view = RegisterView(ctx=self.ctx, register=self.register, lease_us=LEASE_US)
            self.heartbeat_table: HeartbeatTable[Announcement] = HeartbeatTable(
                ctx=self.ctx,
                dispatcher=self.dispatcher,
                membership=FakeMembership(),
                peers=list,
                silent_after_us=QUIET_US,
            )

        stage.call(call=work)

    async def reachability_votes(self, name: str) -> ReachabilityVotes:
        await asyncio.sleep(0.005)
        return self.votes

    async def _refresh_heartbeats(self) -> None:
        """Takes the heartbeats that only other controllers have received so far."""
        await asyncio.sleep(0.005)
        for heartbeat in self.heartbeats_elsewhere:
            self.heartbeat_table.receive(heartbeat=heartbeat)

    def start_failover(self, *, cluster: Cluster) -> None:
        def work() -> None:
            self.service_failover = ServiceFailover(
                ctx=self.ctx,
                register=self.register,
                view=self.view,
                heartbeat_table=self.heartbeat_table,
                control=cluster,
                promoter=cluster,
                reachability_poll=self.reachability_votes,
                notify_proxies=cluster.notify_proxies,
                refresh_heartbeats=self._refresh_heartbeats,
                lease_us=LEASE_US,
            )

        self.stage.call(call=work)
        cluster.heartbeat_listeners.append(lambda heartbeat: self.heartbeat_table.receive(heartbeat=heartbeat))

    def kill(self) -> None:
        """Ends the process: its register is cut off and its tasks are cancelled."""
        self.register.cut = True
        self.stage.call(call=self.ctx.close)


def new_stage(*, context: Any) -> None:
    context.stage = Stage(context=context)
    context.store = Store()
    context.controller_stages = []


def new_controller(*, context: Any) -> ControllerStage:
    controller = ControllerStage(
        context=context, name=f"core-{len(context.controller_stages) + 1}", number=len(context.controller_stages) + 1
    )
    context.controller_stages.append(controller)
    return controller


def put(*, context: Any, key: str, value: bytes) -> None:
    context.store.round += 1
    context.store.values[key] = VersionedValue(ballot=Ballot(context.store.round, 99), value=value)
