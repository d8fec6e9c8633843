"""Decides by this proxy's own view whether a forwarded request may be sent, and borrows the link for it."""

from typing import NamedTuple

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .forward_record import ForwardRequest, ForwardStep, Outcome
from .forwarded_transaction import ForwardedTransaction
from .link import Link
from .link_pool import LinkPool
from .reply import Reply, refusal
from .router import Router


class PooledLink(NamedTuple):
    """A borrowed link and the pool that it belongs to."""

    pool: LinkPool
    link: Link


class ForwardResult(NamedTuple):
    """The outcome of a forwarded request, and its reply."""

    outcome: Outcome
    reply: Reply


class ForwardChecks:
    """The checks that a forwarded request must pass; they hold no state of transactions.

    `stopping`: this proxy is shutting down and refuses new requests.
    """

    def __init__(self, *, ctx: Context, router: Router) -> None:
        self.ctx = ctx
        self.router = router
        self.stopping = False

    def may_send(self, *, request: ForwardRequest) -> Result[LinkPool, CinderstairError]:
        """The pool over which the request may be sent now. Checked on arrival, and again just before sending.

        A request with a minimum log position may be sent to any backend, all others only to the primary.

        Errors: TIME_LEFT_SPENT after the request's deadline, DRAINING while this proxy stops, NO_BACKEND without
        links to the backend, MOVING where the database belongs or moves to another service, NO_PRIMARY where the
        backend is not the primary, and those of `Router.confirmed_primary`.
        """
        # After the deadline the requester may already have reported the outcome to its client.
        if self.ctx.now_us() >= request.until_us:
            return Error(
                CinderstairError(
                    code=ErrorCode.TIME_LEFT_SPENT, reason="the deadline passed before the statement was sent"
                )
            )
        if self.stopping:
            return Error(CinderstairError(code=ErrorCode.DRAINING, reason="this proxy is shutting down"))
        pool = self.router.pools.get(request.backend)
        if pool is None or pool.closed or not pool.limit:
            return Error(
                CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"this proxy has no links to {request.backend}")
            )
        if request.step == ForwardStep.position:
            return self._confirm_primary(request=request, pool=pool)
        if request.at_least is not None:
            return Ok(pool)
        route = self.router.route(database=request.database)
        if route is None or route.service != request.service:
            return Error(
                CinderstairError(
                    code=ErrorCode.MOVING,
                    reason=f"by this proxy's view, database {request.database} is not at service {request.service}",
                )
            )
        moving = self.router.shards.fault(database=request.database)
        if moving is not None:
            return Error(moving)
        return self._confirm_primary(request=request, pool=pool)

    def _confirm_primary(self, *, request: ForwardRequest, pool: LinkPool) -> Result[LinkPool, CinderstairError]:
        """The pool, if a current view confirms its backend as the primary."""
        primary = self.router.confirmed_primary(service=request.service)
        if primary.is_ok() and primary.ok is not pool:
            return Error(
                CinderstairError(
                    code=ErrorCode.NO_PRIMARY,
                    reason=f"by this proxy's view, {request.backend} is not the primary of {request.service}",
                )
            )
        return primary

    def may_continue(self, *, request: ForwardRequest, transaction: ForwardedTransaction) -> bool:
        """Whether a transaction's next statement may be sent: before its deadline, on an open link that is not busy.

        A transaction that may write continues only while its database stays at the service where it began.
        """
        link_open = transaction.link is not None and transaction.link.open
        if transaction.busy or transaction.pool is None or not link_open:
            return False
        if self.ctx.now_us() >= request.until_us:
            return False
        if transaction.read_only or request.step == ForwardStep.rollback:
            return True
        return self.router.shards.may_end(database=transaction.database, since_us=transaction.opened_us)

    async def acquire(self, *, request: ForwardRequest) -> Result[PooledLink, CinderstairError]:
        """Borrows a link for the request, which may be sent at once. Errors: as of `may_send` and `acquire_own`."""
        allowed = self.may_send(request=request)
        if allowed.is_error():
            return Error(allowed.error)
        pool = allowed.ok
        acquired = await pool.acquire_own(values=request.values, rank=request.rank, until_us=request.until_us)
        if acquired.is_error():
            return Error(acquired.error)
        # The view may have changed during the wait for a link.
        allowed = self.may_send(request=request)
        if allowed.is_error():
            pool.release(link=acquired.ok)
            return Error(allowed.error)
        return Ok(PooledLink(pool, acquired.ok))


def refused(*, fault: CinderstairError) -> ForwardResult:
    """The result where nothing was sent, so that the requester may try another proxy or backend."""
    reply = refusal(kind=fault.code, retry_after_us=int(fault.details.get("left_us", 0)))
    reply.not_run = True
    return ForwardResult(Outcome.not_sent, reply)
