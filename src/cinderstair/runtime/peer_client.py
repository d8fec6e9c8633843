"""Sends requests to other processes, each in the highest protocol version that both are known to support."""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from expression import Error, Ok, Result

from .errors import CinderstairError, ErrorCode
from .message_types import MessageType
from .packer import Packer
from .protocol_versions import (
    FIRST_VERSION,
    NO_VERSION,
    VERSION_FLAG,
    ProtocolVersions,
    add_version_header,
    read_protocol_versions,
    read_version_rejection,
)
from .unpacker import Unpacker

if TYPE_CHECKING:
    from .context import Context

HANDSHAKE_INTERVAL_US = 1_000_000
HANDSHAKE_TIMEOUT_US = 400_000
MAX_UNANSWERED_REQUESTS = 3
MAX_PEERS = 2_000

RequestBody = bytes | Callable[[int], bytes]
"""An encoded request, or a function that encodes it in a given version, for types whose encoding has changed."""


class VersionMismatch(NamedTuple):
    """A peer with which no protocol version is shared.

    :ivar peer: its address if this process sent the request, its name if it sent a handshake.
    :ivar versions: the versions that it supports.
    """

    peer: str
    versions: ProtocolVersions


class PeerClient:
    """Sends requests in the lowest supported version until a handshake has shown that the peer supports a higher one.

    Requests therefore never wait for a handshake, and a peer that supports only version 1, which has no handshake,
    understands every request. The versions of a peer are forgotten after ``MAX_UNANSWERED_REQUESTS`` failed requests
    in a row or a response in another version; at most ``MAX_PEERS`` peers are remembered.

    :param ctx: the process's context.
    """

    def __init__(self, *, ctx: "Context") -> None:
        self.ctx = ctx
        self.versions_by_address: dict[str, ProtocolVersions] = {}
        self.logged_mismatches: set[VersionMismatch] = set()
        self._last_handshake_us: dict[str, int] = {}
        self._unanswered_requests: dict[str, int] = {}
        self._completed_handshakes: set[str] = set()

    def version(self, *, address: str) -> int:
        """Return the version used with this peer now; ``NO_VERSION`` if none is shared."""
        peer_versions = self.versions_by_address.get(address)
        if peer_versions is None:
            return self.ctx.protocol_versions.lowest
        return self.ctx.protocol_versions.highest_common(other=peer_versions)

    def is_version_uncertain(self, *, address: str) -> bool:
        """Return whether this peer has completed a handshake whose result has been discarded.

        Until the next handshake, requests to it may use a lower version than it supports.
        """
        return address in self._completed_handshakes and address not in self.versions_by_address

    async def request(self, *, address: str, body: RequestBody, wait_us: int) -> Result[bytes, CinderstairError]:
        """Send a request and wait for its response.

        :param address: the peer's address, as host:port.
        :param body: the request without its version header.
        :param wait_us: how long to wait, in microseconds.
        :returns: the response without its version header. Errors: OTHER_VERSION if no version is shared, in which
            case the peer has not handled the request; NO_RESPONSE if no valid response came, and it may have.
        """
        peer_versions = self.versions_by_address.get(address)
        version = self.version(address=address)
        if peer_versions is None:
            self._start_handshake(address=address)
        elif version == NO_VERSION:
            return Error(self._version_mismatch(address=address, versions=peer_versions))
        encoded = body if isinstance(body, bytes) else body(version)
        data = add_version_header(version=version, body=encoded)
        result = await self.ctx.net.request(address=address, body=data, wait_us=wait_us)
        if result.is_error():
            self._request_unanswered(address=address, versions_before=peer_versions)
            return result
        self._unanswered_requests.pop(address, None)
        return self._read_response(address=address, version=version, data=result.ok)

    async def handle_handshake(self, unpacker: Unpacker) -> bytes:
        """Handle a peer's handshake: the response states the versions that this process supports.

        :raises ValueError: if the handshake is malformed.
        """
        versions = read_protocol_versions(unpacker=unpacker)
        name = unpacker.text()
        unpacker.done()
        if self.ctx.protocol_versions.highest_common(other=versions) == NO_VERSION:
            self._report_mismatch(peer=name, versions=versions)
        return self.ctx.protocol_versions.write(packer=Packer()).bytes()

    def _request_unanswered(self, *, address: str, versions_before: ProtocolVersions | None) -> None:
        """Repeat the handshake, since a process of another version may have started at this address."""
        if versions_before is None or self.versions_by_address.get(address) != versions_before:
            return
        self._start_handshake(address=address)
        unanswered = self._unanswered_requests.get(address, 0) + 1
        # Single requests are also lost on the network, without any change of the peer.
        if unanswered < MAX_UNANSWERED_REQUESTS:
            self._unanswered_requests[address] = unanswered
            return
        self._unanswered_requests.pop(address, None)
        del self.versions_by_address[address]

    def _read_response(self, *, address: str, version: int, data: bytes) -> Result[bytes, CinderstairError]:
        if version == FIRST_VERSION:
            return Ok(data)
        supported = read_version_rejection(data=data)
        if supported is not None:
            self.versions_by_address[address] = supported
            return Error(self._version_mismatch(address=address, versions=supported))
        if data[:1] != bytes([VERSION_FLAG | version]):
            self.versions_by_address.pop(address, None)
            self.ctx.counters.add(name="records.malformed")
            reason = f"{address}: the response is not in protocol version {version}, as the request was"
            return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason=reason))
        return Ok(data[1:])

    def _version_mismatch(self, *, address: str, versions: ProtocolVersions) -> CinderstairError:
        reason = self._report_mismatch(peer=address, versions=versions)
        self._start_handshake(address=address)
        return CinderstairError(code=ErrorCode.OTHER_VERSION, reason=reason)

    def _report_mismatch(self, *, peer: str, versions: ProtocolVersions) -> str:
        """Count a mismatch, log it the first time, and return its description."""
        supported = self.ctx.protocol_versions
        reason = f"{peer} supports protocol versions {versions}, this process {supported}: none is shared"
        self.ctx.counters.add(name="records.otherVersion")
        mismatch = VersionMismatch(peer=peer, versions=versions)
        # A mismatch lasts until one side is upgraded, so a log line for each request would flood the log.
        if mismatch not in self.logged_mismatches and len(self.logged_mismatches) < MAX_PEERS:
            self.logged_mismatches.add(mismatch)
            self.ctx.log.error("%s", reason)
        return reason

    def _start_handshake(self, *, address: str) -> None:
        """Start a handshake in the background, at most one per peer and interval."""
        # Version 1 has no handshake.
        if not self.ctx.protocol_versions.supports_type(message_type=MessageType.HANDSHAKE):
            return
        now_us = self.ctx.now_us()
        last_us = self._last_handshake_us.get(address, -HANDSHAKE_INTERVAL_US)
        if now_us - last_us < HANDSHAKE_INTERVAL_US:
            return
        if len(self._last_handshake_us) >= MAX_PEERS:
            self._last_handshake_us.clear()
        self._last_handshake_us[address] = now_us
        self.ctx.spawn(work=self._handshake(address=address), name="version handshake")

    async def _handshake(self, *, address: str) -> None:
        packer = self.ctx.protocol_versions.write(packer=Packer().u8(value=MessageType.HANDSHAKE))
        body = packer.text(value=self.ctx.name).bytes()
        result = await self.ctx.net.request(address=address, body=body, wait_us=HANDSHAKE_TIMEOUT_US)
        if result.is_error():
            return
        unpacker = Unpacker(data=result.ok)
        try:
            versions = read_protocol_versions(unpacker=unpacker)
            unpacker.done()
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return
        self._handshake_completed(address=address, versions=versions)

    def _handshake_completed(self, *, address: str, versions: ProtocolVersions) -> None:
        if len(self.versions_by_address) >= MAX_PEERS:
            self.versions_by_address.clear()
            self._completed_handshakes.clear()
        self.versions_by_address[address] = versions
        self._completed_handshakes.add(address)
