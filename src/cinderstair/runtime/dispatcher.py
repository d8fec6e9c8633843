"""Dispatches the messages that a process receives to the handlers of their types."""

from collections.abc import Awaitable, Callable

from .context import Context
from .message_types import MessageType
from .protocol_versions import (
    FIRST_VERSION,
    VersionedMessage,
    add_version_header,
    split_version_header,
    version_rejection,
)
from .unpacker import Unpacker

RequestHandler = Callable[[Unpacker], Awaitable[bytes]]
"""Reads the rest of a request, after its type, and returns the response; raises ValueError if it is malformed."""


class Dispatcher:
    """Passes each request to the handler of its message type, and responds in the request's protocol version.

    :param ctx: the process's context.
    """

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.handlers: dict[int, RequestHandler] = {}

    def add_handler(self, *, message_type: MessageType, handler: RequestHandler) -> None:
        """Register the handler of a message type, in place of an earlier one."""
        self.handlers[message_type] = handler

    async def dispatch(self, data: bytes) -> bytes:
        """Handle one request and return the encoded response, or a version rejection.

        :param data: the request, with its version header if it has one.
        :raises ValueError: if the request is malformed, or if no handler has its type. The transport then sends
            no response.
        """
        version, body = self._split(data=data)
        if self._is_handshake(body=body):
            return await self.ctx.peer_client.handle_handshake(Unpacker(data=body[1:]))
        if not self.ctx.protocol_versions.supports_version(version=version):
            return self._reject(version=version)
        unpacker = Unpacker(data=body, version=version)
        message_type = self._check_type(number=unpacker.u8())
        response = await self.handlers[message_type](unpacker)
        self._count(message_type=message_type, size=len(body) + len(response))
        return add_version_header(version=version, body=response)

    def _split(self, *, data: bytes) -> VersionedMessage:
        # A process that supports only version 1 does not know version headers: it reads one as a message type.
        if self.ctx.protocol_versions.highest == FIRST_VERSION:
            return VersionedMessage(FIRST_VERSION, data)
        return split_version_header(data=data)

    def _is_handshake(self, *, body: bytes) -> bool:
        supported = self.ctx.protocol_versions.supports_type(message_type=MessageType.HANDSHAKE)
        return supported and body[:1] == bytes([MessageType.HANDSHAKE])

    def _reject(self, *, version: int) -> bytes:
        self.ctx.counters.add(name="records.otherVersion")
        # Version 1 has no rejection message, and the sender could not decode one.
        if version == FIRST_VERSION:
            raise ValueError("protocol version 1 is no longer supported")
        return version_rejection(protocol_versions=self.ctx.protocol_versions)

    def _check_type(self, *, number: int) -> MessageType:
        """Return the message type with this number; ValueError if it has no handler here."""
        # A newer process may send types that this version does not have: the request is dropped as malformed.
        if number not in self.handlers or not self.ctx.protocol_versions.supports_type(message_type=number):
            raise ValueError(f"no handler for message type {number}")
        return MessageType(number)

    def _count(self, *, message_type: MessageType, size: int) -> None:
        name = message_type.counter_name
        self.ctx.counters.add(name=f"records.answered.{name}")
        self.ctx.counters.add(name=f"records.bytes.{name}", count=size)
