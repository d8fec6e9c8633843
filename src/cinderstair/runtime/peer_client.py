"""Which version of the records is spoken with whom."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from .errors import CinderstairError, ErrorCode
from .message_types import MessageType
from .packer import Packer
from .protocol_versions import WRAPPED, ProtocolVersions, wrapped
from .unpacker import Unpacker

AGAIN_US = 1_000_000
WAIT_US = 400_000
MISSES = 3
MOST_NEIGHBOURS = 2_000
Body = bytes | Callable[[int], bytes]


class PeerClient:
    """Speaks the lowest version with a neighbour until it has said that it speaks a higher one.

    So no record ever waits for an agreement, and a neighbour of the first version, which knows nothing of
    agreements, is understood from the first word on.
    """

    def __init__(self, *, ctx: Any) -> None:
        self.ctx = ctx
        self.versions_by_address: dict[str, ProtocolVersions] = {}
        self.requested_us: dict[str, int] = {}
        self.misses: dict[str, int] = {}
        self.met: set[str] = set()
        self.logged: set[tuple[str, ProtocolVersions]] = set()

    def version(self, *, address: str) -> int:
        """The version that is spoken with this neighbour now; 0 where there is none in common."""
        other = self.versions_by_address.get(address)
        return self.ctx.protocol_versions.lowest if other is None else self.ctx.protocol_versions.agreed(other=other)

    async def request(self, *, address: str, body: Body, wait_us: int) -> Result[bytes, CinderstairError]:
        """Sends a record in the version agreed on; one whose shape has changed is given as a function of it."""
        version, known = self.version(address=address), self.versions_by_address.get(address)
        if address not in self.versions_by_address:
            self._negotiate(address=address)
        if version == 0:
            return Error(self._version_mismatch(address=address, other=self.versions_by_address[address]))
        data = body if isinstance(body, bytes) else body(version)
        result = await self.ctx.net.request(
            address=address, body=wrapped(version=version, body=data), wait_us=wait_us
        )
        if result.is_error():
            self._missed(address=address, known=known)
            return result
        self.misses.pop(address, None)
        return self._read(address=address, version=version, data=result.ok)

    def _missed(self, *, address: str, known: ProtocolVersions | None) -> None:
        """Silence may mean that another version was started at this address, and it must be asked anew."""
        if known is None or self.versions_by_address.get(address) != known:
            return
        self._negotiate(address=address)
        self.misses[address] = self.misses.get(address, 0) + 1
        # why: a single question may well be left without an answer by one that speaks as before
        if self.misses[address] >= MISSES:
            del self.misses[address], self.versions_by_address[address]

    def doubtful(self, *, address: str) -> bool:
        """Whether a lower version is spoken with this neighbour now than it is known to understand."""
        return address in self.met and address not in self.versions_by_address

    def _read(self, *, address: str, version: int, data: bytes) -> Result[bytes, CinderstairError]:
        if version == 1:
            return Ok(data)
        if len(data) == 3 and data[0] == WRAPPED:
            other = ProtocolVersions(lowest=data[1], highest=data[2])
            self.versions_by_address[address] = other
            return Error(self._version_mismatch(address=address, other=other))
        if not data or data[0] != WRAPPED | version:
            self.versions_by_address.pop(address, None)
            self.ctx.counters.add(name="records.malformed")
            return Error(
                CinderstairError(
                    code=ErrorCode.WIRE_UNSURE, reason=f"{address}: an answer in no version that was asked in"
                )
            )
        return Ok(data[1:])

    def _version_mismatch(self, *, address: str, other: ProtocolVersions) -> CinderstairError:
        why = f"{address} speaks records {other}, this daemon {self.ctx.protocol_versions}"
        self.ctx.counters.add(name="records.otherVersion")
        # why: a neighbour that is not understood is a state, and its change is one line
        if (address, other) not in self.logged and len(self.logged) < MOST_NEIGHBOURS:
            self.logged.add((address, other))
            self.ctx.log.error("%s", why)
        self._negotiate(address=address)
        return CinderstairError(code=ErrorCode.OTHER_VERSION, reason=why)

    def _negotiate(self, *, address: str) -> None:
        now_us = self.ctx.now_us()
        # why: a daemon of the first version alone has no words for a handshake
        if (
            not self.ctx.protocol_versions.knows(kind=MessageType.HANDSHAKE)
            or now_us - self.requested_us.get(address, -AGAIN_US) < AGAIN_US
        ):
            return
        if len(self.requested_us) >= MOST_NEIGHBOURS:
            self.requested_us.clear()
        self.requested_us[address] = now_us
        self.ctx.spawn(work=self._agree(address=address), name="parley")

    async def _agree(self, *, address: str) -> None:
        protocol_versions = self.ctx.protocol_versions
        packer = (
            Packer()
            .u8(value=MessageType.HANDSHAKE)
            .u8(value=protocol_versions.lowest)
            .u8(value=protocol_versions.highest)
        )
        body = packer.text(value=self.ctx.name).bytes()
        result = await self.ctx.net.request(address=address, body=body, wait_us=WAIT_US)
        if result.is_error():
            return
        unpacker = Unpacker(data=result.ok)
        try:
            other = ProtocolVersions(lowest=unpacker.u8(), highest=unpacker.u8())
            unpacker.done()
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return
        if len(self.versions_by_address) >= MOST_NEIGHBOURS:
            self.versions_by_address.clear()
            self.met.clear()
        self.versions_by_address[address] = other
        self.met.add(address)

    async def answer_handshake(self, unpacker: Unpacker) -> bytes:
        """Answers a neighbour that asks what is spoken here."""
        other = ProtocolVersions(lowest=unpacker.u8(), highest=unpacker.u8())
        name = unpacker.text()
        unpacker.done()
        if not self.ctx.protocol_versions.agreed(other=other):
            self._name_mismatch(name=name, other=other)
        return (
            Packer().u8(value=self.ctx.protocol_versions.lowest).u8(value=self.ctx.protocol_versions.highest).bytes()
        )

    def _name_mismatch(self, *, name: str, other: ProtocolVersions) -> None:
        self.ctx.counters.add(name="records.otherVersion")
        if (name, other) not in self.logged and len(self.logged) < MOST_NEIGHBOURS:
            self.logged.add((name, other))
            self.ctx.log.error("%s speaks records %s, this daemon %s", name, other, self.ctx.protocol_versions)
