"""Begins a client's transaction at a backend, in the background after the client's BEGIN was answered."""

import asyncio

from expression import Error, Ok, Result

from ..runtime.errors import CinderstairError, ErrorCode
from .link import Link
from .link_execution import await_reply, is_primary_pool, record_reply
from .read_candidates import Candidate, Candidates, CandidateSequence, ReadCandidatesMixin
from .reply import Reply, State, refusal
from .resend import after_unsent
from .session_base import MAX_ATTEMPTS
from .single_read import DEFAULT_WAIT_US, HEDGE_DELAY_US
from .transaction import Transaction

MAX_BEGIN_ATTEMPTS = 2 * MAX_ATTEMPTS
# A begin runs no statement and is answered at once; after this time another backend is tried.
BEGIN_WAIT_US = 2 * HEDGE_DELAY_US


class TransactionBeginMixin(ReadCandidatesMixin):
    """Finds a backend that begins the transaction. It sends no statement of the client, so a begin may be retried."""

    def _begin(self, *, read_only: bool) -> Reply:
        """Answers the client's BEGIN and starts the begin task."""
        if self.transaction is not None:
            return self._failed(kind=ErrorCode.IN_TRANSACTION)
        route = self.route()
        if route is None:
            return refusal(kind=ErrorCode.UNKNOWN_DATABASE)
        transaction = Transaction(route=route, read_only=read_only, arrived_us=self.ctx.now_us())
        self.transaction = transaction
        self._spawn_begin(transaction=transaction)
        return Reply(rows=[], state=State.open)

    def _spawn_begin(self, *, transaction: Transaction) -> None:
        transaction.begin_task = self.ctx.spawn(work=self._begin_at_any(transaction=transaction), name="begin")

    async def _begin_at_any(self, *, transaction: Transaction) -> Result[Link, CinderstairError]:
        """Tries backends until one begins the transaction, or until the route's time limit.

        Errors: those of the last attempt, or the reason why there is no candidate.
        """
        until_us = self.ctx.now_us() + transaction.route.time_limit_us
        fault = CinderstairError(code=ErrorCode.NO_BACKEND, reason="no backend can begin the transaction")
        sequence = CandidateSequence()
        for attempt in range(MAX_BEGIN_ATTEMPTS):
            if self.ctx.now_us() >= until_us:
                break
            transaction.route = self.route() or transaction.route
            candidates = self._transaction_candidates(transaction=transaction)
            if not candidates.found:
                fault = candidates.fault or fault
                left_us = int(fault.details.get("left_us", DEFAULT_WAIT_US))
                if self.ctx.now_us() + left_us >= until_us:
                    break
                await self.router.view.next_answer(until_us=until_us)
                continue
            candidate = sequence.next(candidates=candidates.found)
            result = await self._begin_at(transaction=transaction, candidate=candidate, until_us=until_us)
            if result.is_ok():
                return result
            fault = result.error
            if not after_unsent(fault=fault).allowed:
                break
            await self._pause(attempt=min(attempt, MAX_ATTEMPTS), until_us=until_us)
        return Error(fault)

    def _transaction_candidates(self, *, transaction: Transaction) -> Candidates:
        if transaction.read_only:
            return self._read_candidates(route=transaction.route, arrived_us=transaction.arrived_us)
        return self._primary_candidate(route=transaction.route)

    async def _begin_at(
        self, *, transaction: Transaction, candidate: Candidate, until_us: int
    ) -> Result[Link, CinderstairError]:
        """Begins the transaction at one backend; after an error another backend may begin it."""
        pool, route = candidate.pool, transaction.route
        acquired = await self._acquire(pool=pool, route=route, until_us=until_us)
        if acquired.is_error():
            return Error(acquired.error)
        link = acquired.ok
        was_primary = is_primary_pool(router=self.router, pool=pool, service=route.service)
        # Without a position only the current primary may serve it, which may have changed while waiting for a link.
        if candidate.at_least is None and not (was_primary and self._on_same_service(route=route)):
            pool.release(link=link)
            return Error(
                CinderstairError(
                    code=ErrorCode.NO_PRIMARY,
                    reason=f"{route.service}: the primary or the placement changed during the wait for a link",
                )
            )
        begun = False
        try:
            refused = await self._begin_on(
                transaction=transaction, link=link, candidate=candidate, was_primary=was_primary, until_us=until_us
            )
            if refused is not None:
                return Error(refused)
            begun = True
            transaction.link, transaction.pool = link, pool
            return Ok(link)
        except ConnectionError:
            return Error(
                CinderstairError(
                    code=ErrorCode.REQUEST_NOT_SENT, reason="the link was lost before the transaction was begun"
                )
            )
        finally:
            if not begun:
                pool.release(link=link, keep=False)

    async def _begin_on(
        self, *, transaction: Transaction, link: Link, candidate: Candidate, was_primary: bool, until_us: int
    ) -> CinderstairError | None:
        """Sends the begin on a link.

        :returns: None if the backend has begun it, else the reason why not.
        :raises ConnectionError: the link was lost.
        """
        requested_us = self.ctx.now_us()
        self._replay_values(link=link)
        transaction.begin_requested = True
        future = link.begin(read_only=transaction.read_only, at_least=candidate.at_least)
        reply = await await_reply(ctx=self.ctx, future=future, until_us=min(until_us, requested_us + BEGIN_WAIT_US))
        if reply is None:
            return CinderstairError(code=ErrorCode.NO_RESPONSE, reason="the backend did not answer the begin in time")
        record_reply(
            router=self.router,
            pool=candidate.pool,
            service=transaction.route.service,
            requested_us=requested_us,
            was_primary=was_primary,
            reply=reply,
        )
        if reply.fault is None and reply.state == State.open:
            return None
        self.router.view.pull_now()
        return CinderstairError(code=ErrorCode.STATEMENT_DENIED, reason="the backend refused the begin")

    async def _begun_link(self, *, transaction: Transaction, until_us: int) -> Result[Link, CinderstairError]:
        """The transaction's link; if it was lost before any statement was sent on it, the begin is repeated.

        Errors: those of the begin; TRANSACTION_LOST if the transaction has ended, TIME_LEFT_SPENT after `until_us`.
        """
        may_begin_again = not transaction.used
        while True:
            begin_task = transaction.begin_task
            # The client may have disconnected, and no transaction is begun for a closed session.
            if self.transaction is not transaction or begin_task is None or begin_task.cancelled():
                return Error(
                    CinderstairError(
                        code=ErrorCode.TRANSACTION_LOST, reason="the transaction ended before a backend had begun it"
                    )
                )
            # A begin that failed before this statement arrived is tried again within this statement's time limit.
            failed_before = begin_task.done()
            wait_us = max(0, until_us - self.ctx.now_us())
            done, _ = await asyncio.wait([begin_task], timeout=wait_us / 1_000_000)
            if not done:
                return Error(
                    CinderstairError(
                        code=ErrorCode.TIME_LEFT_SPENT, reason="no backend began the transaction in time"
                    )
                )
            if self.transaction is not transaction or begin_task.cancelled():
                continue
            result = begin_task.result()
            link_lost = result.is_ok() and not result.ok.open
            begin_again = link_lost or (result.is_error() and failed_before and may_begin_again)
            if transaction.used or not begin_again:
                return result
            may_begin_again = link_lost
            transaction.release_link(keep=False)
            self._spawn_begin(transaction=transaction)
