"""Runs the statements of an open transaction, and commits or rolls it back."""

import asyncio

from ..runtime.error_responses import ERROR_RESPONSES
from ..runtime.errors import CinderstairError, ErrorCode
from .link import Link
from .link_execution import await_reply, is_primary_pool, record_reply
from .link_pool import LinkPool
from .reply import Reply, State, refusal
from .resend import after_commit
from .session_base import MAX_ATTEMPTS, REPLY_MARGIN_US, RETRY_PAUSE_US, CommitPosition
from .statement import Statement, Verb
from .transaction import Transaction
from .transaction_begin import TransactionBeginMixin

ROLLBACK_WAIT_US = 1_000_000


class TransactionStatementsMixin(TransactionBeginMixin):
    """Sends each statement once on the transaction's link; only a commit that was not run is sent again."""

    async def _run_in_transaction(self, *, transaction: Transaction, statement: Statement) -> Reply:
        """Runs a statement of the session's open transaction."""
        until_us = self.ctx.now_us() + transaction.route.time_limit_us - REPLY_MARGIN_US
        begun = await self._begun_link(transaction=transaction, until_us=until_us)
        if begun.is_error():
            self._discard(transaction=transaction)
            return self._not_begun(fault=begun.error)
        link, pool = begun.ok, transaction.pool
        commits = statement.verb == Verb.commit
        state_if_lost = State.idle if commits else State.failed
        if pool is None or not link.open or not self._may_run(transaction=transaction, pool=pool, commits=commits):
            self._discard(transaction=transaction)
            return refusal(kind=ErrorCode.TRANSACTION_LOST, state=state_if_lost)
        reply = await self._run_on(
            transaction=transaction, link=link, pool=pool, statement=statement, until_us=until_us
        )
        if reply is None:
            self._discard(transaction=transaction)
            # A transaction whose commit was never sent is rolled back when its link is closed.
            lost = ErrorCode.OUTCOME_UNKNOWN if commits else ErrorCode.TRANSACTION_LOST
            return refusal(kind=lost, state=state_if_lost)
        transaction.wrote |= reply.fault is None and self._writes(statement=statement)
        return reply

    def _not_begun(self, *, fault: CinderstairError) -> Reply:
        """The refusal of a statement whose transaction was begun by no backend."""
        kind = ErrorCode.TRANSACTION_LOST if fault.code == ErrorCode.TIME_LEFT_SPENT else fault.code
        retry_after_us = int(fault.details.get("left_us", ERROR_RESPONSES[kind].retry_after_us))
        return refusal(kind=kind, state=State.failed, retry_after_us=retry_after_us)

    def _may_run(self, *, transaction: Transaction, pool: LinkPool, commits: bool) -> bool:
        """Whether the transaction's next statement may be sent, which may be its commit.

        Not if its database has moved to another service since it began, nor for the commit of changes at a backend
        that was replaced: unsent it is certainly not kept, so the client can repeat the transaction.
        """
        if transaction.read_only:
            return True
        if not self.router.shards.may_end(database=self.database, since_us=transaction.arrived_us):
            return False
        if not (commits and transaction.wrote):
            return True
        return not self.router.commit_acknowledgement.replaced(
            service=transaction.route.service, backend=pool.backend.name
        )

    async def _run_on(
        self, *, transaction: Transaction, link: Link, pool: LinkPool, statement: Statement, until_us: int
    ) -> Reply | None:
        """Sends a statement on the transaction's link.

        :returns: None if the link was lost or no reply came in time.
        """
        transaction.used = True
        requested_us = self.ctx.now_us()
        service = transaction.route.service
        was_primary = is_primary_pool(router=self.router, pool=pool, service=service)
        future = self._send(link=link, statement=statement, at_least=None)
        try:
            reply = await await_reply(ctx=self.ctx, future=future, until_us=until_us)
        except ConnectionError:
            return None
        if reply is not None:
            record_reply(
                router=self.router,
                pool=pool,
                service=service,
                requested_us=requested_us,
                was_primary=was_primary,
                reply=reply,
            )
        return reply

    async def _end_transaction(self, *, statement: Statement) -> Reply:
        """Runs a COMMIT or ROLLBACK."""
        transaction = self.transaction
        rolls_back = statement.verb == Verb.rollback
        if transaction is None:
            # The proxy has already ended this transaction; any COMMIT or ROLLBACK ends the failed state.
            if self.state == State.failed:
                return Reply(rows=[]) if rolls_back else refusal(kind=ErrorCode.TRANSACTION_LOST)
            return refusal(kind=ErrorCode.NO_TRANSACTION)
        if rolls_back or self.state == State.failed:
            self.transaction = None
            self._spawn_rollback(transaction=transaction)
            return Reply(rows=[]) if rolls_back else refusal(kind=ErrorCode.TRANSACTION_LOST)
        return await self._commit(transaction=transaction, statement=statement)

    async def _commit(self, *, transaction: Transaction, statement: Statement) -> Reply:
        until_us = self.ctx.now_us() + transaction.route.time_limit_us - REPLY_MARGIN_US
        service = transaction.route.service
        reached_before = self.router.freshness(service=service).newest_position
        reply = await self._send_commit(transaction=transaction, statement=statement)
        self.transaction = None
        if reply.state != State.idle:
            self._spawn_rollback(transaction=transaction)
            reply.state = State.idle
            return reply
        pool = transaction.pool
        transaction.release_link(keep=True)
        if transaction.wrote and pool is not None:
            reply = await self._acknowledgeable(
                pool=pool, service=service, reply=reply, until_us=until_us, reached_before=reached_before
            )
        if reply.fault is None and transaction.wrote and reply.position is not None:
            self.last_commit = CommitPosition(transaction.route.service, reply.position)
        return reply

    async def _send_commit(self, *, transaction: Transaction, statement: Statement) -> Reply:
        """Sends the commit, and repeats it in the same transaction if the backend did not run it."""
        attempt = 0
        while True:
            reply = await self._run_in_transaction(transaction=transaction, statement=statement)
            attempt += 1
            still_open = after_commit(reply=reply).allowed and self.transaction is transaction
            if not still_open or attempt == MAX_ATTEMPTS:
                return reply
            await self._pause(attempt=attempt - 1, until_us=self.ctx.now_us() + 2 * RETRY_PAUSE_US)
            if self.transaction is not transaction:
                return reply

    def _discard(self, *, transaction: Transaction) -> None:
        """Ends the transaction by closing its link, which rolls it back."""
        self.transaction = None
        transaction.cancel_begin()
        transaction.release_link(keep=False)

    def _spawn_rollback(self, *, transaction: Transaction) -> None:
        self.ctx.spawn(work=self._roll_back(transaction=transaction), name="rollback")

    async def _roll_back(self, *, transaction: Transaction) -> None:
        """Rolls back at the backend; the link is kept only if the backend confirms the rollback."""
        begin_task = transaction.begin_task
        if begin_task is not None and not begin_task.done():
            await asyncio.wait([begin_task], timeout=ROLLBACK_WAIT_US / 1_000_000)
            transaction.cancel_begin()
        link = transaction.link
        if link is None or not link.open:
            transaction.release_link(keep=False)
            return
        keep = False
        try:
            until_us = self.ctx.now_us() + ROLLBACK_WAIT_US
            reply = await await_reply(ctx=self.ctx, future=link.rollback(), until_us=until_us)
            keep = reply is not None and reply.state == State.idle
        except ConnectionError:
            pass
        finally:
            transaction.release_link(keep=keep)
