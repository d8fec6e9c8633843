"""One record address a process: the first byte names the desk that a record is for."""

from collections.abc import Awaitable, Callable

from .context import Context
from .message_types import MessageType
from .protocol_versions import denial, unwrapped, wrapped
from .unpacker import Unpacker

RequestHandler = Callable[[Unpacker], Awaitable[bytes]]


class Dispatcher:
    """Hands each record to the table owner that answers for its kind, in the version in which it came."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.handlers: dict[int, RequestHandler] = {}

    def add_handler(self, *, message_type: int, handler: RequestHandler) -> None:
        self.handlers[message_type] = handler

    async def answer(self, body: bytes) -> bytes:
        protocol_versions = self.ctx.protocol_versions
        # why: a daemon of the first version knows no versions at all, and takes their mark for a kind
        version, body = unwrapped(data=body) if protocol_versions.highest > 1 else (1, body)
        if body and body[0] == MessageType.HANDSHAKE and protocol_versions.knows(kind=MessageType.HANDSHAKE):
            return await self.ctx.peer_client.answer_handshake(Unpacker(data=body[1:]))
        if not protocol_versions.reads(version=version):
            self.ctx.counters.add(name="records.otherVersion")
            # why: the first version has no words for a denial; what it can't understand it must not be sent
            if version == 1:
                raise ValueError("records of the first version are not spoken here any more")
            return denial(protocol_versions=protocol_versions)
        unpacker = Unpacker(data=body, version=version)
        kind = unpacker.u8()
        answer = self.handlers.get(kind) if protocol_versions.knows(kind=kind) else None
        # why: a newer daemon may ask what an older one does not know; it must get silence, not a crash
        if answer is None:
            raise ValueError("no such desk")
        response = await answer(unpacker)
        name = MessageType(kind).counter_name
        self.ctx.counters.add(name=f"records.answered.{name}")
        self.ctx.counters.add(name=f"records.bytes.{name}", count=len(body) + len(response))
        return response if version == 1 else wrapped(version=version, body=response)
