"""News: what the backends last said, pulled by a vector of versions, one for each source."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar

from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .heartbeat import READY, read_heartbeat
from .membership import Membership

PULL_EVERY_US = 250_000
PULL_WAIT_US = 400_000
PULL_FROM = 2
STALLED_US = 700_000
HEARING_US = 1_500_000
QUIET_US = 3_000_000
FORGET_US = 30_000_000
MOST_ENTRIES = 20_000


class BackendHeartbeat(Protocol):
    """What a backend says of itself, in whatever form."""

    @property
    def name(self) -> str: ...

    @property
    def state(self) -> str: ...

    @property
    def leads(self) -> bool: ...

    @property
    def order(self) -> tuple[int, int]: ...

    def write(self, *, packer: Packer) -> None: ...


B = TypeVar("B", bound=BackendHeartbeat)


@dataclass(frozen=True, kw_only=True)
class ReceivedHeartbeat(Generic[B]):
    """A heartbeat as one source heard it; `born_us` is by the local clock, and never later than the truth."""

    source: int
    version: int
    heartbeat: B
    born_us: int


class HeartbeatTable(CommandQueueMixin, Generic[B]):
    """Owns the table of heartbeats. Every daemon that hears a heartbeat is a source; they pull from one another."""

    def __init__(
        self,
        *,
        ctx: Context,
        dispatcher: Dispatcher,
        membership: Membership,
        read: Callable[[Unpacker], Any] = lambda unpacker: read_heartbeat(unpacker=unpacker),
        peers: Callable[[], list[str]] | None = None,
        every_us: int = PULL_EVERY_US,
        quiet_us: int = QUIET_US,
        pull_from: int = PULL_FROM,
    ) -> None:
        self.ctx = ctx
        self.membership = membership
        self.read = read
        self.peers = peers or self._http_proxies
        self.quiet_us = quiet_us
        self.pull_from = pull_from
        self.source = ctx.rng.getrandbits(62) | 1
        self.version = 0
        self.heard: dict[tuple[int, str], ReceivedHeartbeat[B]] = {}
        self.best: dict[str, ReceivedHeartbeat[B]] = {}
        self.started_us = ctx.now_us()
        self.pulled_us = 0
        self.ticked_us = ctx.now_us()
        self.stalled_from_us = 0
        self.stalled_until_us = 0
        self.alone = True
        self.open_queue()
        dispatcher.add_handler(message_type=MessageType.HEARTBEATS, handler=self._asked)
        self.every(every_us=every_us, command=self._on_timer, name="pull")

    def _http_proxies(self) -> list[str]:
        return [member.records for member in self.membership.alive(role="stall")]

    def begin(self) -> None:
        """Pulls at once, not only at the next turn, since whoever begins lacks everything."""
        self.post(command=self._on_timer, once="pull")

    def receive(self, *, heartbeat: B) -> None:
        """A heartbeat came in at our own edge."""
        known = self.best.get(heartbeat.name)
        # why: a heartbeat that was held up on its way must not bring an older state back
        if known is not None and heartbeat.order <= known.heartbeat.order:
            return
        self.version += 1
        self._take(
            heard=ReceivedHeartbeat(
                source=self.source, version=self.version, heartbeat=heartbeat, born_us=self._arrived_us()
            )
        )
        self.ctx.counters.add(name="beats.heard")

    def _arrived_us(self) -> int:
        """When, at the earliest, what is read now can have come in."""
        now_us = self.ctx.now_us()
        # why: a process that stood still finds heartbeats that have lain there since; they are as old as its
        # standstill
        if now_us - self.ticked_us > STALLED_US:
            return self.ticked_us
        return self.stalled_from_us if now_us < self.stalled_until_us else now_us

    def _take(self, *, heard: ReceivedHeartbeat[B]) -> None:
        key = (heard.source, heard.heartbeat.name)
        known = self.heard.get(key)
        if known is None or heard.version > known.version:
            self.heard[key] = heard
        best = self.best.get(heard.heartbeat.name)
        if best is None or (heard.heartbeat.order, heard.born_us) > (best.heartbeat.order, best.born_us):
            self.best[heard.heartbeat.name] = heard
            if (
                best is None
                or best.heartbeat.state != heard.heartbeat.state
                or best.heartbeat.leads != heard.heartbeat.leads
            ):
                self.ctx.log.info(
                    "backend %s is %s%s",
                    heard.heartbeat.name,
                    heard.heartbeat.state,
                    " and leads" * heard.heartbeat.leads,
                )

    def latest(self, *, name: str) -> ReceivedHeartbeat[B] | None:
        return self.best.get(name)

    def age_us(self, *, name: str) -> int:
        """How long ago, at the most, the backend's last known beat was; never heard counts as ever silent."""
        heard = self.best.get(name)
        return 1 << 62 if heard is None else self.ctx.now_us() - heard.born_us

    @property
    def hearing(self) -> bool:
        """Whether other HTTP proxies' news come through here, or there are no other HTTP proxies."""
        return self.alone or self.ctx.now_us() - self.pulled_us < HEARING_US

    def quiet(self, *, name: str) -> bool:
        return self.age_us(name=name) > self.quiet_us

    def fit(self, *, name: str) -> bool:
        """Ready by its own word, and heard from lately."""
        heard = self.best.get(name)
        return heard is not None and heard.heartbeat.state == READY and not self.quiet(name=name)

    def _vector(self) -> dict[int, int]:
        vector: dict[int, int] = {}
        for heard in self.heard.values():
            vector[heard.source] = max(vector.get(heard.source, 0), heard.version)
        return vector

    async def _asked(self, unpacker: Unpacker) -> bytes:
        vector = dict(unpacker.many(each=lambda u: (u.u64(), u.u64())))
        unpacker.done()
        now_us = self.ctx.now_us()
        lacking = [heard for heard in self.heard.values() if heard.version > vector.get(heard.source, 0)]

        def each(packer: Packer, heard: ReceivedHeartbeat[B]) -> None:
            packer.u64(value=heard.source).u64(value=heard.version).u64(value=now_us - heard.born_us)
            heard.heartbeat.write(packer=packer)

        return Packer().many(values=lacking[:MOST_ENTRIES], each=each).bytes()

    def _on_timer(self) -> None:
        now_us = self.ctx.now_us()
        if now_us - self.ticked_us > STALLED_US:
            self.stalled_from_us, self.stalled_until_us = self.ticked_us, now_us + STALLED_US
        self.ticked_us = now_us
        for key, heard in list(self.heard.items()):
            if now_us - heard.born_us > FORGET_US:
                del self.heard[key]
        peers = self.peers()
        self.alone = not peers
        self.ctx.rng.shuffle(peers)
        for address in peers[: self.pull_from]:
            self.ctx.spawn(work=self._pull(address=address), name="news.pull")

    async def refresh(self, *, peers: tuple[str, ...]) -> None:
        """Pulls once from all of these, and is done when all have answered or their time is up."""
        await asyncio.gather(*(self._pull(address=address) for address in peers))

    async def _pull(self, *, address: str) -> None:
        requested_us = self.ctx.now_us()
        packer = Packer().u8(value=MessageType.HEARTBEATS)
        packer.many(values=self._vector().items(), each=lambda p, e: p.u64(value=e[0]).u64(value=e[1]))
        result = await self.ctx.peer_client.request(address=address, body=packer.bytes(), wait_us=PULL_WAIT_US)
        if result.is_error():
            return
        try:
            unpacker = Unpacker(data=result.ok)
            entries = unpacker.many(each=lambda u: (u.u64(), u.u64(), u.u64(), self.read(u)))
            unpacker.done()
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return
        self.pulled_us = self.ctx.now_us()
        for source, version, age_us, heartbeat in entries:
            # why: the answer may have lain anywhere since we asked, so its age counts from the asking
            self._take(
                heard=ReceivedHeartbeat(
                    source=source, version=version, heartbeat=heartbeat, born_us=requested_us - age_us
                )
            )
