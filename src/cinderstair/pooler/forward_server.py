"""Runs other proxies' statements over this proxy's links."""

import asyncio
from collections import Counter

from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.message_types import MessageType
from ..runtime.unpacker import Unpacker
from .forward_checks import ForwardChecks, ForwardResult, PooledLink, refused
from .forward_record import ForwardRequest, ForwardResponse, ForwardStep, Outcome, read_forward_request
from .forwarded_transaction import ForwardedTransaction, TransactionKey
from .link import Link
from .link_execution import await_reply, ensure_prepared, is_primary_pool, record_reply
from .link_pool import LinkPool
from .reply import Reply, State
from .router import Router
from .session_replay import replay_values
from .statement import PreparedStatement, Verb

# A transaction without a request or a keep-alive for this long is rolled back.
KEEP_ALIVE_LIMIT_US = 2_500_000
SINGLE_STEPS = (ForwardStep.single, ForwardStep.position)
LOST = ForwardResult(Outcome.lost, Reply(rows=[], fault=ErrorCode.TRANSACTION_LOST))


class ForwardServer(ForwardChecks):
    """Owns the transactions that run here for other proxies.

    Whether a statement may be sent is decided by this proxy's view, just before it is sent. A backend that fails or a
    missed deadline gives the outcome `lost`. `writes`: the running writes outside transactions, by database.
    """

    def __init__(self, *, ctx: Context, router: Router, dispatcher: Dispatcher) -> None:
        super().__init__(ctx=ctx, router=router)
        self._incarnation = 0
        self.transactions: dict[TransactionKey, ForwardedTransaction] = {}
        self.writes: Counter[str] = Counter()
        dispatcher.add_handler(message_type=MessageType.FORWARD, handler=self.answer)

    @property
    def incarnation(self) -> int:
        """A random non-zero number that identifies this run of the daemon; drawn on first use."""
        self._incarnation = self._incarnation or self.ctx.rng.getrandbits(62) | 1
        return self._incarnation

    # -- state and shutdown --

    def has_open_writes(self, *, databases: frozenset[str]) -> bool:
        """Whether a forwarded write or a transaction that may write is open at any of these databases."""
        may_commit = any(not each.read_only and each.database in databases for each in self.transactions.values())
        return may_commit or any(self.writes[name] for name in databases)

    @property
    def open(self) -> int:
        """The number of open transactions."""
        return len(self.transactions)

    def stop(self) -> None:
        """Refuses new statements and transactions; open transactions may continue."""
        self.stopping = True

    def roll_back_idle(self) -> None:
        """Rolls back every transaction that has no statement running."""
        for key, transaction in list(self.transactions.items()):
            if not transaction.busy:
                self._close(key=key, transaction=transaction)

    def on_timer(self) -> None:
        """Rolls back idle transactions without a keep-alive for KEEP_ALIVE_LIMIT_US."""
        now_us = self.ctx.now_us()
        for key, transaction in list(self.transactions.items()):
            if not transaction.busy and now_us - transaction.last_used_us > KEEP_ALIVE_LIMIT_US:
                self.ctx.counters.add(name="forward.unkept")
                self._close(key=key, transaction=transaction)

    # -- requests --

    async def answer(self, unpacker: Unpacker) -> bytes:
        """Handles another proxy's request and returns the encoded response.

        :raises ValueError: the bytes are malformed.
        """
        request = read_forward_request(unpacker=unpacker)
        unknown: tuple[int, ...] = ()
        if request.step == ForwardStep.keep and request.incarnation == self.incarnation:
            unknown = self._keep_alive(request=request)
        result = await self._run(request=request)
        self.ctx.counters.add(name=f"forward.{result.outcome.name}")
        return ForwardResponse(
            incarnation=self.incarnation,
            now_us=self.ctx.now_us(),
            outcome=result.outcome,
            reply=result.reply,
            unknown=unknown,
        ).bytes()

    async def _run(self, *, request: ForwardRequest) -> ForwardResult:
        if request.step == ForwardStep.hello:
            return ForwardResult(Outcome.answered, Reply(rows=[]))
        if request.incarnation != self.incarnation:
            # The deadline refers to the clock of an earlier run of this daemon.
            return refused(fault=CinderstairError(code=ErrorCode.NO_BACKEND, reason="this proxy has restarted"))
        if request.step == ForwardStep.keep:
            return ForwardResult(Outcome.answered, Reply(rows=[]))
        if request.step in SINGLE_STEPS:
            return await self._single(request=request)
        if request.step == ForwardStep.begin:
            return await self._begin(request=request)
        return await self._continue(request=request)

    def _keep_alive(self, *, request: ForwardRequest) -> tuple[int, ...]:
        """Prolongs the requester's transactions.

        :returns: the numbers of those that are not open.
        """
        unknown = []
        for number in request.connections:
            transaction = self.transactions.get(TransactionKey(request.requester, number))
            if transaction is None:
                unknown.append(number)
            else:
                transaction.last_used_us = self.ctx.now_us()
        return tuple(unknown)

    # -- statements --

    def _writes(self, *, request: ForwardRequest) -> bool:
        return request.step == ForwardStep.single and request.statement.writes

    def _send(self, *, request: ForwardRequest, link: Link) -> asyncio.Future[Reply]:
        """Sends a request's statement, after the session values and the prepared statement that it needs."""
        if request.step == ForwardStep.rollback:
            return link.rollback()
        if request.step == ForwardStep.position:
            return link.ask_position()
        replay_values(link=link, values=request.values)
        if request.step == ForwardStep.begin:
            return link.begin(read_only=request.read_only, at_least=request.at_least)
        statement, alias = request.statement, b""
        if statement.verb == Verb.execute:
            prepared = PreparedStatement(request.shape, statement.writes)
            alias = ensure_prepared(router=self.router, link=link, prepared=prepared)
        reply = link.send(statement=statement, at_least=request.at_least, alias=alias)
        if statement.verb == Verb.commit or self._writes(request=request):
            self.router.shards.in_flight.sent(database=request.database, link=link, answer=reply)
        return reply

    async def _single(self, *, request: ForwardRequest) -> ForwardResult:
        """Runs a statement outside a transaction, and counts it in `writes` meanwhile if it writes."""
        writes = self._writes(request=request)
        self.writes[request.database] += writes
        try:
            return await self._single_now(request=request)
        finally:
            self.writes[request.database] -= writes

    async def _single_now(self, *, request: ForwardRequest) -> ForwardResult:
        acquired = await self.acquire(request=request)
        if acquired.is_error():
            return refused(fault=acquired.error)
        pool, link = acquired.ok
        was_primary = is_primary_pool(router=self.router, pool=pool, service=request.service)
        requested_us = self.ctx.now_us()
        future = self._send(request=request, link=link)
        try:
            reply = await await_reply(ctx=self.ctx, future=future, until_us=request.until_us)
        except ConnectionError:
            pool.release(link=link)
            return LOST
        if reply is None:
            pool.release_answered(link=link, answer=future)
            return LOST
        pool.release(link=link)
        record_reply(
            router=self.router,
            pool=pool,
            service=request.service,
            requested_us=requested_us,
            was_primary=was_primary,
            reply=reply,
        )
        return ForwardResult(Outcome.answered, reply)

    # -- transactions --

    def _close(self, *, key: TransactionKey, transaction: ForwardedTransaction, keep: bool = False) -> None:
        self.transactions.pop(key, None)
        transaction.close(keep=keep)

    async def _begin(self, *, request: ForwardRequest) -> ForwardResult:
        """Begins a transaction. A key that is already in use gives `lost`, since the request may be a duplicate."""
        key = TransactionKey(request.requester, request.connection)
        if key in self.transactions:
            return LOST
        transaction = ForwardedTransaction(request=request, now_us=self.ctx.now_us())
        self.transactions[key] = transaction
        reply: Reply | None = None
        try:
            acquired = await self.acquire(request=request)
            if acquired.is_error():
                return refused(fault=acquired.error)
            transaction.pool, transaction.link = acquired.ok
            if transaction.closed:
                return LOST
            reply = await self._exchange(request=request, transaction=transaction, pooled=acquired.ok)
            return LOST if reply is None else ForwardResult(Outcome.answered, reply)
        finally:
            transaction.busy, transaction.last_used_us = False, self.ctx.now_us()
            if reply is None or reply.fault is not None or reply.state != State.open:
                self._close(key=key, transaction=transaction)

    async def _continue(self, *, request: ForwardRequest) -> ForwardResult:
        """Runs a step of a transaction; `lost` where it is not open, since it was rolled back then."""
        key = TransactionKey(request.requester, request.connection)
        transaction = self.transactions.get(key)
        if transaction is None:
            return LOST
        if request.step == ForwardStep.close:
            self._close(key=key, transaction=transaction)
            return ForwardResult(Outcome.answered, Reply(rows=[]))
        pooled = self._usable_link(request=request, transaction=transaction)
        if pooled is None:
            self._close(key=key, transaction=transaction)
            return LOST
        transaction.busy = True
        ended = keep = False
        try:
            reply = await self._exchange(request=request, transaction=transaction, pooled=pooled)
            ended = reply is None or reply.state == State.idle
            keep = reply is not None and ended
            return LOST if reply is None else ForwardResult(Outcome.answered, reply)
        finally:
            transaction.busy, transaction.last_used_us = False, self.ctx.now_us()
            if ended:
                self._close(key=key, transaction=transaction, keep=keep)

    def _usable_link(self, *, request: ForwardRequest, transaction: ForwardedTransaction) -> PooledLink | None:
        """The transaction's link; None where the request may not be sent on it."""
        pool: LinkPool | None = transaction.pool
        link = transaction.link
        if pool is None or link is None or not self.may_continue(request=request, transaction=transaction):
            return None
        return PooledLink(pool, link)

    async def _exchange(
        self, *, request: ForwardRequest, transaction: ForwardedTransaction, pooled: PooledLink
    ) -> Reply | None:
        """Sends a transaction's statement on its link.

        :returns: None where the link was lost, no reply arrived in time, or the transaction was closed meanwhile.
        """
        pool, link = pooled
        service = transaction.service
        was_primary = is_primary_pool(router=self.router, pool=pool, service=service)
        requested_us = self.ctx.now_us()
        try:
            future = self._send(request=request, link=link)
            reply = await await_reply(ctx=self.ctx, future=future, until_us=request.until_us)
        except ConnectionError:
            return None
        if reply is None or transaction.closed:
            return None
        record_reply(
            router=self.router,
            pool=pool,
            service=service,
            requested_us=requested_us,
            was_primary=was_primary,
            reply=reply,
        )
        return reply
