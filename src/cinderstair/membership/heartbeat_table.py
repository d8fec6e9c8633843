"""The newest heartbeat of each backend, replicated by pulls with a version vector."""

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
from .heartbeat import READY, HeartbeatOrder, read_heartbeat
from .member import HTTP_PROXY_ROLE
from .membership import Membership

PULL_EVERY_US = 250_000
PULL_WAIT_US = 400_000
PULL_PEERS = 2
# a longer gap between two timer ticks counts as a suspension of the process
SUSPENDED_US = 700_000
CONNECTED_US = 1_500_000
SILENT_AFTER_US = 3_000_000
FORGET_US = 30_000_000
MAX_ENTRIES = 20_000
# the age of a backend from which no heartbeat has been received
NEVER_US = 1 << 62


class BackendHeartbeat(Protocol):
    """The interface that both kinds of heartbeat offer to the table."""

    @property
    def name(self) -> str:
        """The name of the backend that sent it."""
        ...

    @property
    def state(self) -> str:
        """The reported state: READY, or another state of this kind of heartbeat."""
        ...

    @property
    def is_primary(self) -> bool:
        """Whether the backend reports itself primary."""
        ...

    @property
    def order(self) -> HeartbeatOrder:
        """Greater for the later one of two heartbeats of one backend."""
        ...

    def write(self, *, packer: Packer) -> None:
        """Appends the encoded heartbeat."""
        ...


B = TypeVar("B", bound=BackendHeartbeat)


@dataclass(frozen=True, kw_only=True)
class ReceivedHeartbeat(Generic[B]):
    """A heartbeat as received by one source, a daemon; `version` counts the heartbeats that the source received.

    `observed_at_us` is on the local monotonic clock, and never later than the receipt at the source.
    """

    source: int
    version: int
    heartbeat: B
    observed_at_us: int

    def write(self, *, packer: Packer, now_us: int) -> None:
        """Appends the encoded entry, with its age in place of its local time."""
        packer.u64(value=self.source).u64(value=self.version).u64(value=now_us - self.observed_at_us)
        self.heartbeat.write(packer=packer)


class HeartbeatTable(CommandQueueMixin, Generic[B]):
    """Owns the received heartbeats by source and backend, and the newest of each backend.

    A daemon to which backends send heartbeats is a source; each daemon pulls from other ones what it lacks.

    :param read: decodes a heartbeat of this table's kind; raises ValueError if it is malformed.
    :param peers: returns the addresses to pull from; by default the HTTP proxies in the membership.
    :param silent_after_us: the age above which a backend counts as silent.
    :param pull_peers: the number of peers, picked at random, to pull from in each period.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        dispatcher: Dispatcher,
        membership: Membership,
        read: Callable[[Unpacker], Any] = lambda unpacker: read_heartbeat(unpacker=unpacker),
        peers: Callable[[], list[str]] | None = None,
        every_us: int = PULL_EVERY_US,
        silent_after_us: int = SILENT_AFTER_US,
        pull_peers: int = PULL_PEERS,
    ) -> None:
        self.ctx = ctx
        self.membership = membership
        self.read = read
        self.peers = peers or self._http_proxies
        self.silent_after_us = silent_after_us
        self.pull_peers = pull_peers
        self.source = ctx.rng.getrandbits(62) | 1
        self.version = 0
        self.received: dict[tuple[int, str], ReceivedHeartbeat[B]] = {}
        self.newest: dict[str, ReceivedHeartbeat[B]] = {}
        self.pulled_at_us = 0
        self.started_at_us = self.ticked_at_us = ctx.now_us()
        self.suspended_from_us = 0
        self.suspended_until_us = 0
        self.has_peers = False
        self.open_queue()
        dispatcher.add_handler(message_type=MessageType.HEARTBEATS, handler=self.answer)
        self.every(every_us=every_us, command=self._on_timer, name="pull")

    def _http_proxies(self) -> list[str]:
        return [member.records for member in self.membership.alive(role=HTTP_PROXY_ROLE)]

    def begin(self) -> None:
        """Pulls at once, since a daemon that has just started has no heartbeats."""
        self.post(command=self._on_timer, once="pull")

    def receive(self, *, heartbeat: B) -> None:
        """Records a heartbeat that a backend sent to this daemon."""
        known = self.newest.get(heartbeat.name)
        # a delayed heartbeat must not restore an older state
        if known is not None and heartbeat.order <= known.heartbeat.order:
            return
        self.version += 1
        self.merge(
            received=ReceivedHeartbeat(
                source=self.source, version=self.version, heartbeat=heartbeat, observed_at_us=self._arrival_us()
            )
        )
        self.ctx.counters.add(name="beats.heard")

    def _arrival_us(self) -> int:
        """The earliest time at which a heartbeat that is processed now can have arrived."""
        now_us = self.ctx.now_us()
        # a heartbeat read after a suspension of the process may have arrived when the suspension began
        if now_us - self.ticked_at_us > SUSPENDED_US:
            return self.ticked_at_us
        return self.suspended_from_us if now_us < self.suspended_until_us else now_us

    def merge(self, *, received: ReceivedHeartbeat[B]) -> None:
        """Merges an entry of any source; an entry that is not newer has no effect."""
        name = received.heartbeat.name
        key = (received.source, name)
        known = self.received.get(key)
        if known is None or received.version > known.version:
            self.received[key] = received
        newest = self.newest.get(name)
        if newest is None or _newness(received) > _newness(newest):
            self.newest[name] = received
            self._log_change(old=newest, new=received)

    def _log_change(self, *, old: ReceivedHeartbeat[B] | None, new: ReceivedHeartbeat[B]) -> None:
        heartbeat = new.heartbeat
        if old is None or (old.heartbeat.state, old.heartbeat.is_primary) != (heartbeat.state, heartbeat.is_primary):
            self.ctx.log.info(
                "backend %s reports state %s%s",
                heartbeat.name,
                heartbeat.state,
                " as primary" * heartbeat.is_primary,
            )

    def latest(self, *, name: str) -> ReceivedHeartbeat[B] | None:
        """The backend's newest heartbeat; None if none has been received."""
        return self.newest.get(name)

    def age_us(self, *, name: str) -> int:
        """The greatest possible age of the backend's newest heartbeat; `NEVER_US` if none has been received."""
        received = self.newest.get(name)
        return NEVER_US if received is None else self.ctx.now_us() - received.observed_at_us

    @property
    def running_us(self) -> int:
        """How long this table has received heartbeats; those of the time before are not in it."""
        return self.ctx.now_us() - self.started_at_us

    @property
    def connected(self) -> bool:
        """Whether a peer has answered a pull within CONNECTED_US, or there are no peers."""
        return not self.has_peers or self.ctx.now_us() - self.pulled_at_us < CONNECTED_US

    def silent(self, *, name: str) -> bool:
        """Whether the backend's newest heartbeat is older than `silent_after_us`."""
        return self.age_us(name=name) > self.silent_after_us

    def healthy(self, *, name: str) -> bool:
        """Whether the backend's newest heartbeat reports it ready, and it is not silent."""
        received = self.newest.get(name)
        return received is not None and received.heartbeat.state == READY and not self.silent(name=name)

    def version_vector(self) -> dict[int, int]:
        """The highest version held of each source."""
        vector: dict[int, int] = {}
        for received in self.received.values():
            vector[received.source] = max(vector.get(received.source, 0), received.version)
        return vector

    async def answer(self, unpacker: Unpacker) -> bytes:
        """Answers a pull with the entries missing in the requester's version vector. ValueError: malformed."""
        vector = dict(unpacker.many(each=lambda u: (u.u64(), u.u64())))
        unpacker.done()
        now_us = self.ctx.now_us()
        lacking = [entry for entry in self.received.values() if entry.version > vector.get(entry.source, 0)]
        packer = Packer().many(
            values=lacking[:MAX_ENTRIES], each=lambda p, entry: entry.write(packer=p, now_us=now_us)
        )
        return packer.bytes()

    def _on_timer(self) -> None:
        self._detect_suspension()
        self._forget()
        peers = self.peers()
        self.has_peers = bool(peers)
        self.ctx.rng.shuffle(peers)
        for address in peers[: self.pull_peers]:
            self.ctx.spawn(work=self._pull(address=address), name="heartbeats.pull")

    def _detect_suspension(self) -> None:
        """Records a suspension of the process, which shows as a long gap between two timer ticks."""
        now_us = self.ctx.now_us()
        if now_us - self.ticked_at_us > SUSPENDED_US:
            self.suspended_from_us, self.suspended_until_us = self.ticked_at_us, now_us + SUSPENDED_US
        self.ticked_at_us = now_us

    def _forget(self) -> None:
        now_us = self.ctx.now_us()
        for key, received in list(self.received.items()):
            if now_us - received.observed_at_us > FORGET_US:
                del self.received[key]

    async def refresh(self, *, peers: tuple[str, ...]) -> None:
        """Pulls once from each peer, and returns when all have answered or timed out."""
        await asyncio.gather(*(self._pull(address=address) for address in peers))

    async def _pull(self, *, address: str) -> None:
        requested_at_us = self.ctx.now_us()
        packer = Packer().u8(value=MessageType.HEARTBEATS)
        packer.many(values=self.version_vector().items(), each=lambda p, e: p.u64(value=e[0]).u64(value=e[1]))
        result = await self.ctx.peer_client.request(address=address, body=packer.bytes(), wait_us=PULL_WAIT_US)
        if result.is_error():
            return
        try:
            entries = self._read_answer(data=result.ok, requested_at_us=requested_at_us)
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return
        self.pulled_at_us = self.ctx.now_us()
        for received in entries:
            self.merge(received=received)

    def _read_answer(self, *, data: bytes, requested_at_us: int) -> list[ReceivedHeartbeat[B]]:
        def read(unpacker: Unpacker) -> ReceivedHeartbeat[B]:
            source, version, age_us = unpacker.u64(), unpacker.u64(), unpacker.u64()
            return ReceivedHeartbeat(
                source=source,
                version=version,
                # an answer may be delayed at any point after the request, so ages count from the request
                observed_at_us=requested_at_us - age_us,
                heartbeat=self.read(unpacker),
            )

        unpacker = Unpacker(data=data)
        entries = unpacker.many(each=read)
        unpacker.done()
        return entries


def _newness(received: ReceivedHeartbeat[B]) -> tuple[HeartbeatOrder, int]:
    return received.heartbeat.order, received.observed_at_us
