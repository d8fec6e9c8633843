"""One end of a simulated connection, as asyncio's protocols see it."""

import asyncio
import contextvars
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

from ..virtual_loop import SimProcess
from .sim_socket import SimSocket

if TYPE_CHECKING:
    from .stream_fabric import StreamFabric

RESEND_S, RESEND_MOST_S = 0.2, 2.0
ORPHAN_S = 20.0
WINDOW = 64 * 1024
LOW_WATER = 16 * 1024


class Segment(NamedTuple):
    """Bytes on their way; an end or a reset travels behind the bytes that were written before it."""

    due: float
    data: bytes
    ends: bool = False
    resets: bool = False


class SimTransport(asyncio.Transport):
    """Bytes arrive in order, after the pair's delay. What a cut holds up is sent again, as TCP does."""

    def __init__(
        self, *, fabric: "StreamFabric", host: str, process: SimProcess | None, context: contextvars.Context
    ) -> None:
        super().__init__()
        self.fabric = fabric
        self.host = host
        self.process = process
        self.context = context
        self.peer: SimTransport = self
        self.protocol: Any = None
        self.closing = False
        self.gone = False
        self.outbox: deque[Segment] = deque()
        self.out_bytes = 0
        self.pumping: asyncio.TimerHandle | None = None
        self.resend_s = RESEND_S
        self.stalled_since: float | None = None
        self.patience_s: float | None = None
        self.resets_at_end = False
        self.inbox: list[bytes] = []
        self.in_bytes = 0
        self.in_ended = False
        self.read_due = False
        self.paused = False
        self.full = False

    # -- of asyncio.Transport --

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "socket":
            return SimSocket(set_patience=self._set_patience, set_linger=self._set_linger)
        return default

    def is_closing(self) -> bool:
        return self.closing

    def write(self, data: Any) -> None:
        if self.closing or not data:
            return
        self._send(data=bytes(data))
        if self.out_bytes > WINDOW and not self.full:
            self.full = True
            self.protocol.pause_writing()

    def close(self) -> None:
        if self.closing:
            return
        if self.resets_at_end:
            self.abort()
            return
        self.closing = True
        # why: an end with bytes that were never read is a reset to the other side
        self._send(data=b"", ends=not self.inbox, resets=bool(self.inbox))
        self.fabric.loop.call_soon(self._lost, None, context=self.context)

    def abort(self) -> None:
        if self.gone:
            return
        self.closing = True
        # why: asyncio drops only what it holds itself; what the machine has taken over is dropped by a reset alone
        if self.process is None or self.resets_at_end:
            self._drop()
        self._send(data=b"", resets=True)
        self.fabric.loop.call_soon(self._lost, None, context=self.context)

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        self._read_soon()

    def is_reading(self) -> bool:
        return not self.paused and not self.closing

    def get_write_buffer_size(self) -> int:
        return self.out_bytes

    # -- beneath --

    def attach(self, *, protocol: Any) -> None:
        """Gives the connection to its protocol; what came in before waits for it."""
        self.protocol = protocol
        protocol.connection_made(self)
        if self.gone:
            # why: asyncio tells of a connection that was reset while it was being opened as of any other
            self.protocol = None
            self.fabric.loop.call_soon(protocol.connection_lost, ConnectionResetError(), context=self.context)
            return
        self._read_soon()

    def _set_patience(self, patience_s: float) -> None:
        self.patience_s = patience_s

    def _set_linger(self, resets: bool) -> None:
        self.resets_at_end = resets

    def _drop(self) -> None:
        self.outbox.clear()
        self.out_bytes = 0

    def _lost(self, error: Exception | None) -> None:
        if self.gone:
            return
        self.gone = self.closing = True
        self.fabric.forget(end=self)
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            protocol.connection_lost(error)

    def lose(self, *, error: Exception | None) -> None:
        """The connection is at an end, by word of the other side or for want of any word."""
        if self.gone:
            return
        self.closing = True
        self._drop()
        self.fabric.loop.call_soon(self._lost, error, context=self.context)

    def perish(self, *, silently: bool) -> None:
        """The process is no more; unless power went with it, its system resets the connection."""
        if self.resets_at_end:
            self._drop()
        if not silently and not (self.closing and not self.outbox):
            self._send(data=b"", resets=True)
        elif silently:
            self._drop()
        self.closing = self.gone = True
        self.protocol = None
        self.fabric.forget(end=self)

    def _send(self, *, data: bytes, ends: bool = False, resets: bool = False) -> None:
        now = self.fabric.loop.time()
        due = now + self.fabric.delay_s(source=self.host, target=self.peer.host)
        if self.outbox:
            due = max(due, self.outbox[-1].due)
        self.outbox.append(Segment(due=due, data=data, ends=ends, resets=resets))
        self.out_bytes += len(data)
        if self.pumping is None:
            self._pump_at(when=due)

    def _pump_at(self, *, when: float) -> None:
        self.pumping = self.fabric.loop.call_at(when, self._pump, context=self.fabric.context)

    def _pump(self) -> None:
        self.pumping = None
        now = self.fabric.loop.time()
        if not self.outbox:
            return
        if not self.fabric.passes(source=self.host, target=self.peer.host):
            self._hold_up(now=now)
            return
        self.resend_s, self.stalled_since = RESEND_S, None
        peer = self.peer
        while self.outbox and self.outbox[0].due <= now:
            if peer.in_bytes > WINDOW and not peer.gone:
                # why: a reader that does not read holds its writer up
                self._pump_at(when=now + 0.05)
                return
            segment = self.outbox.popleft()
            self.out_bytes -= len(segment.data)
            if segment.resets:
                peer.lose(error=ConnectionResetError("reset by the other side"))
            elif segment.data and peer.closing:
                self.fabric.later(call=self._reset_back, source=peer.host, target=self.host)
            else:
                peer.arrive(data=segment.data, ends=segment.ends)
        if self.full and self.out_bytes < LOW_WATER:
            self.full = False
            if self.protocol is not None:
                self.fabric.loop.call_soon(self.protocol.resume_writing, context=self.context)
        if self.outbox:
            self._pump_at(when=max(now, self.outbox[0].due))

    def _reset_back(self) -> None:
        self.lose(error=ConnectionResetError("nobody there any more"))

    def _hold_up(self, *, now: float) -> None:
        if self.stalled_since is None:
            self.stalled_since = now
        waited_s = now - self.stalled_since
        if self.patience_s is not None and waited_s >= self.patience_s and not self.gone:
            self.lose(error=TimeoutError("no word from the other side"))
            return
        # why: a reset is sent once; whoever misses it learns when next it sends something
        if self.outbox[0].resets or (self.gone and waited_s > ORPHAN_S):
            self._drop()
            return
        wait_s = self.resend_s if self.patience_s is None else min(self.resend_s, self.patience_s - waited_s + 0.001)
        self.resend_s = min(self.resend_s * 2, RESEND_MOST_S)
        self._pump_at(when=now + max(0.001, wait_s))

    def arrive(self, *, data: bytes, ends: bool) -> None:
        if self.closing:
            return
        if data:
            self.inbox.append(data)
            self.in_bytes += len(data)
        self.in_ended |= ends
        self._read_soon()

    def _read_soon(self) -> None:
        if self.read_due or self.paused or self.protocol is None or not (self.inbox or self.in_ended):
            return
        self.read_due = True
        self.fabric.loop.call_soon(self._read, context=self.context)

    def _read(self) -> None:
        self.read_due = False
        if self.paused or self.closing or self.protocol is None:
            return
        if self.inbox:
            data = self.inbox[0] if len(self.inbox) == 1 else b"".join(self.inbox)
            self.inbox, self.in_bytes = [], 0
            try:
                self.protocol.data_received(data)
            except Exception:
                # why: as asyncio does, an error that a protocol lets out ends its connection
                self.lose(error=None)
                raise
        if self.in_ended and not self.inbox and not self.closing and not self.paused:
            self.in_ended = False
            if not self.protocol.eof_received():
                self.close()
