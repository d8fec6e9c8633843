"""Which version of the records is spoken with whom."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from .desks import PARLEY
from .fault import Fault
from .kind import Kind
from .packer import Packer
from .speech import WRAPPED, Speech, wrapped
from .unpacker import Unpacker

AGAIN_US = 1_000_000
WAIT_US = 400_000
MISSES = 3
MOST_NEIGHBOURS = 2_000
Body = bytes | Callable[[int], bytes]


class Parley:
    """Speaks the lowest version with a neighbour until it has said that it speaks a higher one.

    So no record ever waits for an agreement, and a neighbour of the first version, which knows nothing of
    agreements, is understood from the first word on.
    """

    def __init__(self, *, ctx: Any) -> None:
        self.ctx = ctx
        self.speeches: dict[str, Speech] = {}
        self.asked_us: dict[str, int] = {}
        self.misses: dict[str, int] = {}
        self.met: set[str] = set()
        self.logged: set[tuple[str, Speech]] = set()

    def version(self, *, address: str) -> int:
        """The version that is spoken with this neighbour now; 0 where there is none in common."""
        other = self.speeches.get(address)
        return self.ctx.speech.lowest if other is None else self.ctx.speech.agreed(other=other)

    async def ask(self, *, address: str, body: Body, wait_us: int) -> Result[bytes, Fault]:
        """Sends a record in the version agreed on; one whose shape has changed is given as a function of it."""
        version, known = self.version(address=address), self.speeches.get(address)
        if address not in self.speeches:
            self._greet(address=address)
        if version == 0:
            return Error(self._strange(address=address, other=self.speeches[address]))
        data = body if isinstance(body, bytes) else body(version)
        result = await self.ctx.net.ask(address=address, body=wrapped(version=version, body=data), wait_us=wait_us)
        if result.is_error():
            self._missed(address=address, known=known)
            return result
        self.misses.pop(address, None)
        return self._read(address=address, version=version, data=result.ok)

    def _missed(self, *, address: str, known: Speech | None) -> None:
        """Silence may mean that another version was started at this address, and it must be asked anew."""
        if known is None or self.speeches.get(address) != known:
            return
        self._greet(address=address)
        self.misses[address] = self.misses.get(address, 0) + 1
        # why: a single question may well be left without an answer by one that speaks as before
        if self.misses[address] >= MISSES:
            del self.misses[address], self.speeches[address]

    def doubtful(self, *, address: str) -> bool:
        """Whether a lower version is spoken with this neighbour now than it is known to understand."""
        return address in self.met and address not in self.speeches

    def _read(self, *, address: str, version: int, data: bytes) -> Result[bytes, Fault]:
        if version == 1:
            return Ok(data)
        if len(data) == 3 and data[0] == WRAPPED:
            other = Speech(lowest=data[1], highest=data[2])
            self.speeches[address] = other
            return Error(self._strange(address=address, other=other))
        if not data or data[0] != WRAPPED | version:
            self.speeches.pop(address, None)
            self.ctx.counters.add(name="records.malformed")
            return Error(Fault(kind=Kind.wireUnsure, why=f"{address}: an answer in no version that was asked in"))
        return Ok(data[1:])

    def _strange(self, *, address: str, other: Speech) -> Fault:
        why = f"{address} speaks records {other}, this daemon {self.ctx.speech}"
        self.ctx.counters.add(name="records.otherVersion")
        # why: a neighbour that is not understood is a state, and its change is one line
        if (address, other) not in self.logged and len(self.logged) < MOST_NEIGHBOURS:
            self.logged.add((address, other))
            self.ctx.log.error("%s", why)
        self._greet(address=address)
        return Fault(kind=Kind.otherVersion, why=why)

    def _greet(self, *, address: str) -> None:
        now_us = self.ctx.now_us()
        # why: a daemon of the first version alone has no words for a parley
        if not self.ctx.speech.knows(kind=PARLEY) or now_us - self.asked_us.get(address, -AGAIN_US) < AGAIN_US:
            return
        if len(self.asked_us) >= MOST_NEIGHBOURS:
            self.asked_us.clear()
        self.asked_us[address] = now_us
        self.ctx.spawn(work=self._agree(address=address), name="parley")

    async def _agree(self, *, address: str) -> None:
        speech = self.ctx.speech
        packer = Packer().u8(value=PARLEY).u8(value=speech.lowest).u8(value=speech.highest)
        body = packer.text(value=self.ctx.name).bytes()
        result = await self.ctx.net.ask(address=address, body=body, wait_us=WAIT_US)
        if result.is_error():
            return
        unpacker = Unpacker(data=result.ok)
        try:
            other = Speech(lowest=unpacker.u8(), highest=unpacker.u8())
            unpacker.done()
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return
        if len(self.speeches) >= MOST_NEIGHBOURS:
            self.speeches.clear()
            self.met.clear()
        self.speeches[address] = other
        self.met.add(address)

    async def asked(self, unpacker: Unpacker) -> bytes:
        """Answers a neighbour that asks what is spoken here."""
        other = Speech(lowest=unpacker.u8(), highest=unpacker.u8())
        name = unpacker.text()
        unpacker.done()
        if not self.ctx.speech.agreed(other=other):
            self._strange_name(name=name, other=other)
        return Packer().u8(value=self.ctx.speech.lowest).u8(value=self.ctx.speech.highest).bytes()

    def _strange_name(self, *, name: str, other: Speech) -> None:
        self.ctx.counters.add(name="records.otherVersion")
        if (name, other) not in self.logged and len(self.logged) < MOST_NEIGHBOURS:
            self.logged.add((name, other))
            self.ctx.log.error("%s speaks records %s, this daemon %s", name, other, self.ctx.speech)
