"""Decides by this proxy's own view what may be sent for other proxies, and borrows the link for it."""

from typing import NamedTuple

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .forward_record import ForwardQuestion, ForwardStep, Outcome
from .forwarded_transaction import ForwardedTransaction
from .link import Link
from .link_pool import LinkPool
from .reply import Reply, refusal
from .router import Router


class PooledLink(NamedTuple):
    """A borrowed link, and the pool to which it is given back."""

    pool: LinkPool
    link: Link


class ForwardResult(NamedTuple):
    """What became of a question: the outcome, and the reply that goes with it."""

    outcome: Outcome
    reply: Reply


class ForwardChecks:
    """The rules of forwarding, without any state of transactions.

    `stopping`: this proxy takes nothing new.
    """

    def __init__(self, *, ctx: Context, router: Router) -> None:
        self.ctx = ctx
        self.router = router
        self.stopping = False

    def may_send(self, *, question: ForwardQuestion) -> Result[LinkPool, CinderstairError]:
        """The pool over which this may be sent now. Asked on arrival, and again just before sending."""
        # A question that was delayed must not run when its asker has long told its client what became of it.
        if self.ctx.now_us() >= question.until_us:
            return Error(CinderstairError(code=ErrorCode.TIME_LEFT_SPENT, reason="its time is up"))
        if self.stopping:
            return Error(CinderstairError(code=ErrorCode.DRAINING, reason="this proxy stops"))
        pool = self.router.pools.get(question.backend)
        if pool is None or pool.closed or not pool.limit:
            return Error(CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"no links to {question.backend} here"))
        if question.step == ForwardStep.position:
            return self._confirm_primary(question=question, pool=pool)
        if question.at_least is not None:
            return Ok(pool)
        route = self.router.route(database=question.database)
        if route is None or route.service != question.service:
            return Error(
                CinderstairError(
                    code=ErrorCode.MOVING, reason=f"{question.database} is elsewhere by what is known here"
                )
            )
        moving = self.router.shards.fault(database=question.database)
        if moving is not None:
            return Error(moving)
        return self._confirm_primary(question=question, pool=pool)

    def _confirm_primary(self, *, question: ForwardQuestion, pool: LinkPool) -> Result[LinkPool, CinderstairError]:
        """The pool, if its backend is surely the primary."""
        primary = self.router.confirmed_primary(service=question.service)
        if primary.is_ok() and primary.ok is not pool:
            return Error(
                CinderstairError(
                    code=ErrorCode.NO_PRIMARY, reason=f"{question.backend} does not lead by what is known here"
                )
            )
        return primary

    def may_continue(self, *, question: ForwardQuestion, transaction: ForwardedTransaction) -> bool:
        """Whether a transaction's statement may be sent: in its time, and while the database stays where it is."""
        link_open = transaction.link is not None and transaction.link.open
        if transaction.busy or transaction.pool is None or not link_open:
            return False
        if self.ctx.now_us() >= question.until_us:
            return False
        if transaction.read_only or question.step == ForwardStep.rollback:
            return True
        return self.router.shards.may_end(database=transaction.database, since_us=transaction.opened_us)

    async def acquire(self, *, question: ForwardQuestion) -> Result[PooledLink, CinderstairError]:
        """Borrows a link over which the question may be sent at once."""
        allowed = self.may_send(question=question)
        if allowed.is_error():
            return Error(allowed.error)
        pool = allowed.ok
        acquired = await pool.acquire_own(values=question.values, rank=question.rank, until_us=question.until_us)
        if acquired.is_error():
            return Error(acquired.error)
        # The view may have changed during the wait for a link.
        allowed = self.may_send(question=question)
        if allowed.is_error():
            pool.release(link=acquired.ok)
            return Error(allowed.error)
        return Ok(PooledLink(pool, acquired.ok))


def refused(*, fault: CinderstairError) -> ForwardResult:
    """Nothing was sent, so the asker may offer it elsewhere."""
    reply = refusal(kind=fault.code, come_back_us=int(fault.details.get("left_us", 0)))
    reply.not_run = True
    return ForwardResult(Outcome.not_sent, reply)
