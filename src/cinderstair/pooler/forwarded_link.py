"""A link that forwards its statements to another proxy, which has links to the backend."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from ..runtime.errors import ErrorCode
from ..runtime.position import Position
from .forward_record import ForwardRequest, ForwardStep, Outcome
from .reply import Reply, State
from .statement import PreparedStatement, Statement, Verb

if TYPE_CHECKING:
    from .forwarder import Forwarder

NOT_PREPARED = PreparedStatement(b"", False)


class ForwardedLink:
    """Implements `Link` for one statement or one transaction; it is closed afterwards.

    Session values and prepared statements are sent with each statement. A statement whose outcome is unknown fails
    with ConnectionError and ends the link. `base`: the fields that all requests share. `limit_us`: how long after a
    request is made its statement may be sent to the backend. `begun`: a transaction may be open at the other proxy.
    `sent_us`: when each unanswered statement was sent.
    """

    def __init__(self, *, forwarder: "Forwarder", address: str, base: ForwardRequest, limit_us: int) -> None:
        self.forwarder = forwarder
        self.address = address
        self.base = base
        self.limit_us = limit_us
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, PreparedStatement] = {}
        self.on_lost: Callable[[], None] | None = None
        self.open = True
        self.state = State.idle
        self.begun = False
        self.sent_us: dict[asyncio.Future[Reply], int] = {}

    @property
    def waiting(self) -> int:
        """See `Link`."""
        return len(self.sent_us)

    @property
    def oldest_wait_us(self) -> int:
        """See `Link`."""
        return self.forwarder.ctx.now_us() - min(self.sent_us.values()) if self.sent_us else 0

    def set_value(self, *, name: bytes, value: bytes) -> None:
        """Stores a session value, which is sent with each later statement."""
        self.values[name] = value

    def clear(self) -> None:
        """Drops all stored values and prepared statements."""
        self.values, self.prepared = {}, {}

    def prepare(self, *, alias: bytes, shape: bytes, writes: bool) -> None:
        """Stores a prepared statement, which is sent with its executions."""
        self.prepared[alias] = PreparedStatement(shape, writes)

    def send(
        self, *, statement: Statement, at_least: Position | None = None, alias: bytes = b""
    ) -> asyncio.Future[Reply]:
        """See `Link`."""
        shape, writes = self.prepared.get(alias, NOT_PREPARED)
        # The other proxy decides by `writes` what may be sent, so an execution carries its prepared statement's flag.
        writes = writes if statement.verb == Verb.execute else statement.verb == Verb.write
        request = replace(
            self.base,
            step=ForwardStep.next if self.begun else ForwardStep.single,
            at_least=at_least,
            values=dict(self.values),
            statement=replace(statement, writes=writes),
            shape=shape,
        )
        return self._send_request(request=request)

    def begin(self, *, read_only: bool, at_least: Position | None) -> asyncio.Future[Reply]:
        """See `Link`."""
        self.begun = True
        self.base = replace(self.base, read_only=read_only)
        self.forwarder.transactions[self.base.connection] = self
        request = replace(self.base, step=ForwardStep.begin, at_least=at_least, values=dict(self.values))
        return self._send_request(request=request)

    def rollback(self) -> asyncio.Future[Reply]:
        """See `Link`."""
        return self._send_request(request=replace(self.base, step=ForwardStep.rollback))

    def ask_position(self) -> asyncio.Future[Reply]:
        """See `Link`."""
        return self._send_request(request=replace(self.base, step=ForwardStep.position))

    def _send_request(self, *, request: ForwardRequest) -> asyncio.Future[Reply]:
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        if not self.open:
            future.set_exception(ConnectionResetError("the link is lost"))
            return future
        ctx = self.forwarder.ctx
        self.sent_us[future] = ctx.now_us()
        ctx.spawn(work=self._await_response(request=request, future=future), name="forward")
        return future

    async def _await_response(self, *, request: ForwardRequest, future: asyncio.Future[Reply]) -> None:
        result = await self.forwarder.request(address=self.address, request=request, limit_us=self.limit_us)
        self.sent_us.pop(future, None)
        reply: Reply | None = None
        if result.is_ok() and result.ok.outcome != Outcome.lost:
            reply = result.ok.reply
        elif result.is_error() and result.error.code == ErrorCode.REQUEST_NOT_SENT:
            reply = Reply(rows=[], fault=ErrorCode.NO_BACKEND, not_run=True, state=self.state)
        if reply is None or (self.begun and reply.not_run and result.is_error()):
            self._fail(future=future)
            return
        self.state = reply.state
        if self.state == State.idle:
            self._end_transaction()
        if not future.done():
            future.set_result(reply)

    def _fail(self, *, future: asyncio.Future[Reply]) -> None:
        self.open = False
        self._end_transaction()
        if not future.done():
            future.set_exception(ConnectionResetError("the link is lost"))
            # Retrieves the exception, since asyncio logs futures whose exception is never retrieved.
            future.exception()

    def _end_transaction(self) -> None:
        self.begun = False
        self.forwarder.transactions.pop(self.base.connection, None)

    def mark_lost(self) -> None:
        """Closes the link, since its transaction is no longer open at the other proxy."""
        self.open = False
        self._end_transaction()

    def close(self) -> None:
        """Closes the link; the other proxy rolls back an open transaction, interrupting a running statement."""
        if self.begun and self.open:
            request = replace(self.base, step=ForwardStep.close)
            ctx = self.forwarder.ctx
            ctx.spawn(
                work=self.forwarder.request(address=self.address, request=request, limit_us=self.limit_us),
                name="forward.close",
            )
        self.open = False
        self._end_transaction()
