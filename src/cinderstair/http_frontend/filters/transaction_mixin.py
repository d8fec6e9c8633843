"""Transactions: each holds a channel of its own from begin to commit or rollback."""

from expression import Result

from ...runtime.errors import CinderstairError, ErrorCode
from ...runtime.http_response import HttpResponse
from ..forward_mixin import NOT_RUN, Reply
from ..request import Request
from ..session import Session, Transaction
from .forward_base import ForwardBase

# a backend's reason: it has no such transaction (any more)
NO_TRANSACTION = "noTransaction"


class TransactionMixin(ForwardBase):
    """Runs begin, statements, commit and rollback of transactions."""

    def _without_transaction(self, *, session: Session) -> HttpResponse:
        if session.lost:
            session.lost = False
            return self.reject(
                kind=ErrorCode.TRANSACTION_LOST, reason="the transaction was ended; nothing of it was kept"
            )
        return self.reject(kind=ErrorCode.NO_TRANSACTION, reason="no transaction is open")

    async def _begin(self, *, request: Request) -> HttpResponse:
        session = request.bound
        if session.transaction is not None:
            return self.reject(kind=ErrorCode.IN_TRANSACTION, reason="a transaction is open already")
        session.lost = False
        return await self._retry(request=request, attempt=self._begin_once)

    async def _begin_once(self, *, request: Request, tried: set[str]) -> HttpResponse | CinderstairError:
        session = request.bound
        found = self._assignment_for(database=session.database, writes=True)
        if found.is_error():
            return found.error
        assignment = found.ok
        pool = self.connection_pools.pool(name=assignment.primary)
        if pool is None:
            raise LookupError(f"no pool for the usable backend {assignment.primary}")
        taken = await pool.acquire(wait_us=self._left_us(request=request))
        if taken.is_error():
            return taken.error
        connection = taken.ok
        result = await self.send_step(
            connection=connection,
            request=request,
            step="begin",
            term=assignment.term,
            wait_us=self._left_us(request=request),
        )
        if result.is_error() or not result.ok.ran:
            # closing the channel ends a transaction that was begun although the reply was lost
            pool.release(connection=connection, keep=False)
            if result.is_error():
                pool.record_error()
                return CinderstairError(code=ErrorCode.NO_BACKEND, reason=result.error.reason)
            return self._rejected(reply=result.ok)
        session.transaction = Transaction(
            pool=pool,
            connection=connection,
            term=assignment.term,
            database=session.database,
            used_us=self.ctx.now_us(),
        )
        return self.done()

    def _reject_lost(self, *, session: Session, reason: str) -> HttpResponse:
        self.sessions.abandon(session=session)
        session.lost = False
        return self.reject(kind=ErrorCode.TRANSACTION_LOST, reason=reason)

    def _is_valid(self, *, transaction: Transaction) -> bool:
        return self.connection_pools.reachable(name=transaction.pool.name) and self.commit_watermarks.term_in_force(
            database=transaction.database, term=transaction.term
        )

    async def _send_in_transaction(
        self, *, request: Request, transaction: Transaction, step: str
    ) -> Result[Reply, CinderstairError]:
        """Sends a step of an open transaction over its channel; REQUEST_NOT_SENT where it is no longer valid."""
        if not self._is_valid(transaction=transaction):
            reason = f"the primary {transaction.pool.name} can no longer be used in term {transaction.term}"
            return Result.Error(CinderstairError(code=ErrorCode.REQUEST_NOT_SENT, reason=reason))
        left_us = self._left_us(request=request)
        result = await self.send_step(
            connection=transaction.connection, request=request, step=step, term=transaction.term, wait_us=left_us
        )
        transaction.used_us = self.ctx.now_us()
        if result.is_error():
            transaction.pool.record_error()
        return result

    async def _run_in_transaction(self, *, request: Request, transaction: Transaction) -> HttpResponse:
        session = request.bound
        result = await self._send_in_transaction(request=request, transaction=transaction, step="in")
        if result.is_error():
            return self._reject_lost(
                session=session, reason=f"{result.error.reason}; nothing of the transaction was kept"
            )
        if not result.ok.ran and (result.ok.reason in NOT_RUN or result.ok.reason == NO_TRANSACTION):
            return self._reject_lost(
                session=session, reason=f"{result.ok.message}; nothing of the transaction was kept"
            )
        if not result.ok.ran:
            return self.reject(kind=ErrorCode.STATEMENT_DENIED, reason=result.ok.message)
        # rows read inside the transaction must be as current as those of any primary read
        if result.ok.term != transaction.term or not self._is_valid(transaction=transaction):
            return self._reject_lost(
                session=session, reason="the primary changed or the view expired; nothing of the transaction was kept"
            )
        # tells the client that its writes are not durable before the commit
        return self.done(value={"rows": result.ok.rows, "transaction": True})

    def _finish(self, *, session: Session, transaction: Transaction, result: Result[Reply, CinderstairError]) -> None:
        """Ends the transaction; its channel is reused only if the backend has confirmed the end."""
        session.transaction = None
        transaction.pool.release(connection=transaction.connection, keep=result.is_ok() and result.ok.ran)

    async def _commit(self, *, request: Request, transaction: Transaction) -> HttpResponse:
        session = request.bound
        result = await self._send_in_transaction(request=request, transaction=transaction, step="commit")
        self._finish(session=session, transaction=transaction, result=result)
        if result.is_error() and result.error.code == ErrorCode.REQUEST_NOT_SENT:
            return self.reject(
                kind=ErrorCode.TRANSACTION_LOST, reason=f"{result.error.reason}; the commit was never sent"
            )
        if result.is_error():
            return self._unknown(reason=f"the reply to the commit was lost: {result.error.reason}")
        if not result.ok.ran:
            return self.reject(kind=ErrorCode.TRANSACTION_LOST, reason=f"{result.ok.message}; nothing was kept")
        return await self._acknowledge(request=request, reply=result.ok, term=transaction.term)

    async def _rollback(self, *, request: Request, transaction: Transaction) -> HttpResponse:
        session = request.bound
        result = await self._send_in_transaction(request=request, transaction=transaction, step="rollback")
        # closing the channel also rolls back, so a rollback always succeeds
        self._finish(session=session, transaction=transaction, result=result)
        return self.done()
