"""Forwards statements and transactions to backends; the last filter of the chain."""

from ...runtime.errors import ErrorCode
from ...runtime.http_response import HttpResponse
from ..request import Request
from .retry_mixin import Attempt
from .single_statement_mixin import SingleStatementMixin
from .transaction_mixin import TransactionMixin


class ForwardFilter(SingleStatementMixin, TransactionMixin):
    """Chooses how a request is run: in a transaction, as a write, or as a read of the primary or of a replica."""

    async def answer(self, *, request: Request) -> HttpResponse | None:
        """Answers every request that reaches it."""
        session = request.bound
        transaction = session.transaction
        if request.verb == "begin":
            return await self._begin(request=request)
        if request.verb in ("commit", "rollback"):
            if transaction is None:
                return self._without_transaction(session=session)
            end = self._commit if request.verb == "commit" else self._rollback
            return await end(request=request, transaction=transaction)
        if transaction is not None:
            return await self._run_in_transaction(request=request, transaction=transaction)
        # a statement meant for an abandoned transaction must not run outside of it
        if session.lost:
            session.lost = False
            return self.reject(
                kind=ErrorCode.TRANSACTION_LOST, reason="the transaction was ended; nothing of it was kept"
            )
        return await self._retry(request=request, attempt=self._attempt_for(request=request))

    def _attempt_for(self, *, request: Request) -> Attempt:
        """The attempt function for a statement outside of transactions."""
        if request.kind == "write":
            return self._write
        # a route may send reads that a replica could serve to the primary
        route = self.configuration.route(kind=request.kind, database=request.bound.database)
        if request.kind == "primary" or route.target == "primary":
            return self._primary_read
        return self._replica_read
