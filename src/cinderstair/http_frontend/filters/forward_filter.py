"""Passes jobs on to backends, and answers only what the backends' replies prove."""

from collections.abc import Awaitable, Callable

from expression import Result

from ...config.configuration import Configuration
from ...failover.database_primary import SETTLED, DatabasePrimary
from ...membership.heartbeat_table import HeartbeatTable
from ...runtime.context import Context
from ...runtime.errors import CinderstairError, ErrorCode
from ...runtime.http_response import HttpResponse
from ..commit_watermarks import CommitWatermarks
from ..connection_pools import ConnectionPools
from ..forward_mixin import NOT_RUN, ForwardMixin, Reply
from ..reject_mixin import RejectMixin
from ..request import Request
from ..samples import Samples
from ..session import Session, Transaction
from ..sessions import Sessions
from ..view import View

ROUNDS = 4
AGAIN_US = 30_000
READ_WAIT_US = 250_000
# why: the longest that a planned move takes when nothing fails; whoever has less time left is denied
PLANNED_US = 5_500_000


class ForwardFilter(RejectMixin, ForwardMixin):
    """The last filter: always answers."""

    def __init__(
        self,
        *,
        ctx: Context,
        view: View,
        connection_pools: ConnectionPools,
        heartbeat_table: HeartbeatTable,
        samples: Samples,
        book: CommitWatermarks,
        sessions: Sessions,
    ) -> None:
        self.ctx = ctx
        self.view = view
        self.connection_pools = connection_pools
        self.heartbeat_table = heartbeat_table
        self.samples = samples
        self.book = book
        self.sessions = sessions

    @property
    def configuration(self) -> Configuration:
        assert self.view.configuration is not None
        return self.view.configuration

    async def answer(self, *, request: Request) -> HttpResponse | None:
        session = request.bound
        if request.verb in ("commit", "rollback") and session.transaction is None:
            return self._without_transaction(session=session)
        if request.verb == "begin":
            return await self._begin(request=request)
        if request.verb == "commit":
            return await self._commit(request=request)
        if request.verb == "rollback":
            return await self._rollback(request=request)
        if session.transaction is not None:
            return await self._in_transaction(request=request)
        # why: a statement meant for a transaction that is gone must not run outside one
        if session.lost:
            session.lost = False
            return self.reject(
                kind=ErrorCode.TRANSACTION_LOST, why="the transaction was ended; nothing of it was kept"
            )
        if request.kind == "write":
            return await self._rounds(request=request, one=self._write)
        # why: an operator may send reads that a replica could answer to the primary as well
        if (
            request.kind == "primary"
            or self.configuration.route(kind=request.kind, database=session.database).target == "primary"
        ):
            return await self._rounds(request=request, one=self._primary_read)
        return await self._rounds(request=request, one=self._replica_read)

    def _without_transaction(self, *, session: Session) -> HttpResponse:
        if session.lost:
            session.lost = False
            return self.reject(
                kind=ErrorCode.TRANSACTION_LOST, why="the transaction was ended; nothing of it was kept"
            )
        return self.reject(kind=ErrorCode.NO_TRANSACTION, why="no transaction is open")

    def _left_us(self, *, request: Request) -> int:
        return request.time_left_us(now_us=self.ctx.now_us())

    async def _rounds(
        self, *, request: Request, one: Callable[..., Awaitable[HttpResponse | CinderstairError]]
    ) -> HttpResponse:
        """Rounds of a job that provably ran nowhere, or that only reads, within its time left."""
        tried: set[str] = set()
        fault = CinderstairError(code=ErrorCode.TIME_LEFT_SPENT, reason="no time was left for another round")
        for round_ in range(ROUNDS):
            outcome = await one(request=request, tried=tried)
            if isinstance(outcome, HttpResponse):
                return outcome
            fault = outcome
            self.ctx.counters.add(name="jobs.rounds")
            if fault.code == ErrorCode.MOVING and await self._outwait(request=request):
                tried.clear()
                continue
            # why: with a full queue another round would only make the membership larger
            if fault.code in (ErrorCode.OVERLOADED, ErrorCode.NO_LEAD, ErrorCode.MOVING, ErrorCode.NOT_IN_SYNC):
                break
            if self._left_us(request=request) <= AGAIN_US * 2:
                break
            await self.ctx.sleep(duration_us=AGAIN_US * round_)
        return self.reject_with(fault=fault)

    async def _outwait(self, *, request: Request) -> bool:
        """Waits for a planned move to end; False at once where the job's time left won't reach so far."""
        database = request.bound.database
        lead = self.view.lead(database=database)
        if lead is None or not lead.planned:
            return False
        ends_us = self.view.planned_since_us.get(database, self.ctx.now_us()) + PLANNED_US
        # why: a job that can't outlast the move is told now when to come back, not after it has waited in vain
        if request.until_us < ends_us or self.ctx.now_us() > ends_us:
            return False
        while self.ctx.now_us() < ends_us:
            lead = self.view.lead(database=database)
            if lead is not None and lead.state == SETTLED:
                return True
            await self.ctx.sleep(duration_us=AGAIN_US)
        return False

    def _lead_for(self, *, database: str, writes: bool) -> Result[DatabasePrimary, CinderstairError]:
        lead = self.view.lead(database=database)
        if lead is None:
            return Result.Error(CinderstairError(code=ErrorCode.NO_LEAD, reason=f"{database}: nobody leads yet"))
        # why: while a planned move closes, reads go on; what is new and would write waits for the move's end
        if not lead.serves or (writes and lead.state != SETTLED):
            return Result.Error(
                CinderstairError(code=ErrorCode.MOVING, reason=f"{database}: the lead is moving to {lead.primary}")
            )
        if not self.connection_pools.usable(name=lead.primary):
            return Result.Error(
                CinderstairError(code=ErrorCode.NO_LEAD, reason=f"{database}: {lead.primary} is not fit")
            )
        # why: what could not be acknowledged in the end is denied before it is sent
        if writes and not any(self.heartbeat_table.healthy(name=name) for name in lead.in_sync):
            return Result.Error(
                CinderstairError(code=ErrorCode.NOT_IN_SYNC, reason=f"{database}: no replica is in sync")
            )
        unasked = [name for name in lead.confirmers if not self.connection_pools.open(name=name)]
        if writes and unasked:
            return Result.Error(
                CinderstairError(code=ErrorCode.NOT_IN_SYNC, reason=f"{database}: no channel yet to {unasked[0]}")
            )
        return Result.Ok(lead)

    async def _once(
        self, *, name: str, request: Request, term: int, tried: set[str]
    ) -> Result[Reply, CinderstairError]:
        """One job over one channel of one backend."""
        pool = self.connection_pools.pool(name=name)
        tried.add(name)
        if pool is None:
            return Result.Error(
                CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"{name} is not in this HTTP proxy's share")
            )
        taken = await pool.take(wait_us=self._left_us(request=request))
        if taken.is_error():
            return Result.Error(taken.error)
        connection = taken.ok
        # why: the wait for a channel may have outlasted the view, the term, or the backend's fitness
        if not self.view.current or not self.connection_pools.usable(name=name):
            pool.give(connection=connection)
            return Result.Error(
                CinderstairError(code=ErrorCode.NOT_CURRENT, reason="the view ran out while the job waited")
            )
        left_us = self._left_us(request=request)
        # why: a read may be asked again elsewhere, so a silent backend must not use up all of its time
        wait_us = left_us if request.kind == "write" else max(left_us // 2, min(left_us, READ_WAIT_US))
        result = await self.pass_to(connection=connection, request=request, step="alone", term=term, wait_us=wait_us)
        pool.give(connection=connection, keep=result.is_ok())
        if result.is_error():
            pool.blame()
            # why: a read leaves nothing behind, so a lost answer to it leaves nothing unknown
            if request.kind != "write":
                return Result.Error(
                    CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"{result.error.reason}; nothing was written")
                )
        return result

    async def _write(self, *, request: Request, tried: set[str]) -> HttpResponse | CinderstairError:
        database = request.bound.database
        found = self._lead_for(database=database, writes=True)
        if found.is_error():
            return found.error
        lead = found.ok
        result = await self._once(name=lead.primary, request=request, term=lead.term, tried=tried)
        if result.is_error():
            if result.error.code == ErrorCode.WIRE_UNSURE:
                return self._unknown(why=f"the answer was lost: {result.error.reason}")
            return result.error
        reply = result.ok
        if not reply.ran:
            return self._rejected(reply=reply)
        return await self._acknowledge(request=request, reply=reply, term=lead.term)

    def _rejected(self, *, reply: Reply) -> HttpResponse | CinderstairError:
        """A backend's own no: it has not run the job, or has run it and kept nothing."""
        if reply.reason in NOT_RUN:
            return (
                CinderstairError(code=ErrorCode.NO_LEAD, reason=reply.why)
                if reply.reason != "full"
                else CinderstairError(code=ErrorCode.NO_BACKEND, reason=reply.why)
            )
        return self.reject(kind=ErrorCode.STATEMENT_DENIED, why=reply.why)

    def _unknown(self, *, why: str) -> HttpResponse:
        return self.reject(kind=ErrorCode.OUTCOME_UNKNOWN, why=why)

    async def _acknowledge(self, *, request: Request, reply: Reply, term: int) -> HttpResponse:
        """A commit is answered done only once it can't be lost; else its outcome is unknown."""
        database = request.bound.database
        if reply.term != term:
            return self._unknown(why="the primary answered in another term")
        if not reply.wrote:
            # why: nothing was written, so only what was read must still hold
            if not self.book.holds(database=database, term=term):
                return self.reject(kind=ErrorCode.NOT_CURRENT, why="the lead moved meanwhile; nothing was written")
            return self.done(value={"rows": reply.rows})
        wait_us = self.configuration.amount(name="commitWait", database=database)
        until_us = min(request.until_us, self.ctx.now_us() + wait_us)
        if not await self.book.durable(database=database, term=term, position=reply.position, until_us=until_us):
            return self._unknown(why="run, and not known to be held by every replica in sync")
        request.bound.floor = max(request.bound.floor, reply.position)
        self.ctx.counters.add(name="commits.acknowledged")
        return self.done(value={"rows": reply.rows, "position": reply.position})

    async def _primary_read(self, *, request: Request, tried: set[str]) -> HttpResponse | CinderstairError:
        database = request.bound.database
        found = self._lead_for(database=database, writes=False)
        if found.is_error():
            return found.error
        lead = found.ok
        result = await self._once(name=lead.primary, request=request, term=lead.term, tried=tried)
        if result.is_error():
            return result.error
        if not result.ok.ran:
            return self._rejected(reply=result.ok)
        # why: the answer counts only if nobody else can have led at the moment at which it ran
        if result.ok.term != lead.term or not self.book.holds(database=database, term=lead.term):
            return CinderstairError(code=ErrorCode.NOT_CURRENT, reason="the lead moved while the read ran")
        return self.done(value={"rows": result.ok.rows, "position": result.ok.position})

    def _place(self, *, request: Request, lead: DatabasePrimary, tried: set[str]) -> str | None:
        """The least weight among the fit replicas of the share that the route selects."""
        database = request.bound.database
        route = self.configuration.route(kind=request.kind, database=database)
        near = self.configuration.policy(name="site", database=database) == "near"
        # why: an operator's selector speaks of labels, so it narrows the share and never widens it
        names = [
            name
            for name in self.connection_pools.share(database=database)
            if name not in tried
            and (name != lead.primary or route.target == "any")
            and self.connection_pools.usable(name=name)
            and route.where.matches(labels=self.configuration.backends[name].labels)
        ]

        def weight(name: str) -> tuple[int, float]:
            pool = self.connection_pools.pool(name=name)
            far = near and self.configuration.backends[name].site != self.ctx.site
            return (pool.weight if pool is not None else 0) + (1 if far else 0), self.ctx.rng.random()

        return min(names, key=weight, default=None)

    async def _replica_read(self, *, request: Request, tried: set[str]) -> HttpResponse | CinderstairError:
        database = request.bound.database
        lead = self.view.lead(database=database)
        if lead is None:
            return CinderstairError(code=ErrorCode.NO_LEAD, reason=f"{database}: nobody leads yet")
        policy = "liveAge" if request.kind == "live" else "freshAge"
        age_us = self.configuration.amount(name=policy, database=database)
        # why: a session taken over has left its floor with the HTTP proxy that was lost; all that it had committed is
        # at or below any position of the primary's from after that
        since_us = max(request.start_us - age_us, request.bound.taken_us if request.kind == "fresh" else 0)
        floor = self.samples.floor(database=database, term=lead.term, since_us=since_us)
        name = None if floor is None else self._place(request=request, lead=lead, tried=tried)
        if name is None or floor is None:
            # why: with no sample or no replica left the primary can still tell, and nobody else can
            return await self._primary_read(request=request, tried=tried)
        if request.kind == "fresh":
            floor = max(floor, request.bound.floor)
        result = await self._once(name=name, request=request, term=lead.term, tried=tried)
        if result.is_error():
            return result.error
        reply = result.ok
        if not reply.ran:
            return self._rejected(reply=reply)
        if reply.term != lead.term or reply.position < floor:
            self.ctx.counters.add(name="reads.stale")
            return CinderstairError(code=ErrorCode.TOO_STALE, reason=f"{name} is behind")
        if not self.view.current:
            return CinderstairError(code=ErrorCode.NOT_CURRENT, reason="the view ran out while the read ran")
        return self.done(value={"rows": reply.rows, "position": reply.position})

    async def _begin(self, *, request: Request) -> HttpResponse:
        session = request.bound
        if session.transaction is not None:
            return self.reject(kind=ErrorCode.IN_TRANSACTION, why="a transaction is open already")
        session.lost = False
        return await self._rounds(request=request, one=self._begin_once)

    async def _begin_once(self, *, request: Request, tried: set[str]) -> HttpResponse | CinderstairError:
        session = request.bound
        found = self._lead_for(database=session.database, writes=True)
        if found.is_error():
            return found.error
        lead = found.ok
        pool = self.connection_pools.pool(name=lead.primary)
        assert pool is not None
        taken = await pool.take(wait_us=self._left_us(request=request))
        if taken.is_error():
            return taken.error
        connection = taken.ok
        result = await self.pass_to(
            connection=connection,
            request=request,
            step="begin",
            term=lead.term,
            wait_us=self._left_us(request=request),
        )
        if result.is_error() or not result.ok.ran:
            # why: a begin whose answer was lost leaves nothing behind once its channel is closed
            pool.give(connection=connection, keep=False)
            if result.is_error():
                pool.blame()
                return CinderstairError(code=ErrorCode.NO_BACKEND, reason=result.error.reason)
            return self._rejected(reply=result.ok)
        session.transaction = Transaction(
            pool=pool, connection=connection, term=lead.term, database=session.database, used_us=self.ctx.now_us()
        )
        return self.done()

    def _lose(self, *, session: Session, why: str) -> HttpResponse:
        self.sessions.abandon(session=session)
        session.lost = False
        return self.reject(kind=ErrorCode.TRANSACTION_LOST, why=why)

    def _holds(self, *, transaction: Transaction) -> bool:
        return self.connection_pools.reachable(name=transaction.pool.name) and self.book.holds(
            database=transaction.database, term=transaction.term
        )

    async def _pass_open(
        self, *, request: Request, transaction: Transaction, step: str
    ) -> Result[Reply, CinderstairError]:
        """A step of an open transaction, over the channel that is its own."""
        if not self._holds(transaction=transaction):
            return Result.Error(CinderstairError(code=ErrorCode.WIRE_UNSENT, reason="the lead moved"))
        left_us = self._left_us(request=request)
        result = await self.pass_to(
            connection=transaction.connection, request=request, step=step, term=transaction.term, wait_us=left_us
        )
        transaction.used_us = self.ctx.now_us()
        if result.is_error():
            transaction.pool.blame()
        return result

    async def _in_transaction(self, *, request: Request) -> HttpResponse:
        session = request.bound
        transaction = session.transaction
        assert transaction is not None
        result = await self._pass_open(request=request, transaction=transaction, step="in")
        if result.is_error():
            return self._lose(session=session, why=f"{result.error.reason}; nothing of the transaction was kept")
        if not result.ok.ran and (result.ok.reason in NOT_RUN or result.ok.reason == "noTransaction"):
            return self._lose(session=session, why=f"{result.ok.why}; nothing of the transaction was kept")
        if not result.ok.ran:
            return self.reject(kind=ErrorCode.STATEMENT_DENIED, why=result.ok.why)
        # why: what was read inside the transaction must be as new as any other read of the primary
        if result.ok.term != transaction.term or not self._holds(transaction=transaction):
            return self._lose(session=session, why="the lead moved; nothing of the transaction was kept")
        # why: a client must be able to tell that what it wrote is not kept until it commits
        return self.done(value={"rows": result.ok.rows, "transaction": True})

    def _end(self, *, session: Session, transaction: Transaction, result: Result[Reply, CinderstairError]) -> None:
        """The transaction is over; its channel goes on only if the backend has said so."""
        session.transaction = None
        transaction.pool.give(connection=transaction.connection, keep=result.is_ok() and result.ok.ran)

    async def _commit(self, *, request: Request) -> HttpResponse:
        session = request.bound
        transaction = session.transaction
        assert transaction is not None
        result = await self._pass_open(request=request, transaction=transaction, step="commit")
        self._end(session=session, transaction=transaction, result=result)
        if result.is_error() and result.error.code == ErrorCode.WIRE_UNSENT:
            return self.reject(
                kind=ErrorCode.TRANSACTION_LOST, why=f"{result.error.reason}; the commit was never sent"
            )
        if result.is_error():
            return self._unknown(why=f"the answer to the commit was lost: {result.error.reason}")
        if not result.ok.ran:
            return self.reject(kind=ErrorCode.TRANSACTION_LOST, why=f"{result.ok.why}; nothing was kept")
        return await self._acknowledge(request=request, reply=result.ok, term=transaction.term)

    async def _rollback(self, *, request: Request) -> HttpResponse:
        session = request.bound
        transaction = session.transaction
        assert transaction is not None
        result = await self._pass_open(request=request, transaction=transaction, step="rollback")
        # why: closing the channel rolls back as surely as the word does, so a rollback is always done
        self._end(session=session, transaction=transaction, result=result)
        return self.done()
