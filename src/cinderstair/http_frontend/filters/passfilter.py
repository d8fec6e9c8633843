"""Passes jobs on to backends, and answers only what the backends' replies prove."""

from collections.abc import Awaitable, Callable

from expression import Result

from ...config.charter import Charter
from ...failover.lead import SETTLED, Lead
from ...membership.news import News
from ...runtime.context import Context
from ...runtime.fault import Fault
from ...runtime.httpresponse import HttpResponse
from ...runtime.kind import Kind
from ..denymixin import DenyMixin
from ..job import Job
from ..ledgerbook import LedgerBook
from ..passmixin import NOT_RUN, PassMixin, Reply
from ..samples import Samples
from ..session import Session, Transaction
from ..sessions import Sessions
from ..view import View
from ..yard import Yard

ROUNDS = 4
AGAIN_US = 30_000
READ_WAIT_US = 250_000
# why: the longest that a planned move takes when nothing fails; whoever has less time left is denied
PLANNED_US = 5_500_000


class PassFilter(DenyMixin, PassMixin):
    """The last filter: always answers."""

    def __init__(
        self,
        *,
        ctx: Context,
        view: View,
        yard: Yard,
        news: News,
        samples: Samples,
        book: LedgerBook,
        sessions: Sessions,
    ) -> None:
        self.ctx = ctx
        self.view = view
        self.yard = yard
        self.news = news
        self.samples = samples
        self.book = book
        self.sessions = sessions

    @property
    def charter(self) -> Charter:
        assert self.view.charter is not None
        return self.view.charter

    async def answer(self, *, job: Job) -> HttpResponse | None:
        session = job.bound
        if job.verb in ("commit", "rollback") and session.transaction is None:
            return self._without_transaction(session=session)
        if job.verb == "begin":
            return await self._begin(job=job)
        if job.verb == "commit":
            return await self._commit(job=job)
        if job.verb == "rollback":
            return await self._rollback(job=job)
        if session.transaction is not None:
            return await self._in_transaction(job=job)
        # why: a statement meant for a transaction that is gone must not run outside one
        if session.lost:
            session.lost = False
            return self.deny(kind=Kind.transactionLost, why="the transaction was ended; nothing of it was kept")
        if job.kind == "write":
            return await self._rounds(job=job, one=self._write)
        # why: an operator may send reads that a replica could answer to the primary as well
        if job.kind == "primary" or self.charter.route(kind=job.kind, database=session.database).target == "primary":
            return await self._rounds(job=job, one=self._primary_read)
        return await self._rounds(job=job, one=self._replica_read)

    def _without_transaction(self, *, session: Session) -> HttpResponse:
        if session.lost:
            session.lost = False
            return self.deny(kind=Kind.transactionLost, why="the transaction was ended; nothing of it was kept")
        return self.deny(kind=Kind.noTransaction, why="no transaction is open")

    def _left_us(self, *, job: Job) -> int:
        return job.time_left_us(now_us=self.ctx.now_us())

    async def _rounds(self, *, job: Job, one: Callable[..., Awaitable[HttpResponse | Fault]]) -> HttpResponse:
        """Rounds of a job that provably ran nowhere, or that only reads, within its time left."""
        tried: set[str] = set()
        fault = Fault(kind=Kind.timeLeftSpent, why="no time was left for another round")
        for round_ in range(ROUNDS):
            outcome = await one(job=job, tried=tried)
            if isinstance(outcome, HttpResponse):
                return outcome
            fault = outcome
            self.ctx.counters.add(name="jobs.rounds")
            if fault.kind == Kind.moving and await self._outwait(job=job):
                tried.clear()
                continue
            # why: with a full queue another round would only make the crowd larger
            if fault.kind in (Kind.crowded, Kind.noLead, Kind.moving, Kind.notInSync):
                break
            if self._left_us(job=job) <= AGAIN_US * 2:
                break
            await self.ctx.rest(wait_us=AGAIN_US * round_)
        return self.deny_fault(fault=fault)

    async def _outwait(self, *, job: Job) -> bool:
        """Waits for a planned move to end; False at once where the job's time left won't reach so far."""
        database = job.bound.database
        lead = self.view.lead(database=database)
        if lead is None or not lead.planned:
            return False
        ends_us = self.view.planned_since_us.get(database, self.ctx.now_us()) + PLANNED_US
        # why: a job that can't outlast the move is told now when to come back, not after it has waited in vain
        if job.until_us < ends_us or self.ctx.now_us() > ends_us:
            return False
        while self.ctx.now_us() < ends_us:
            lead = self.view.lead(database=database)
            if lead is not None and lead.state == SETTLED:
                return True
            await self.ctx.rest(wait_us=AGAIN_US)
        return False

    def _lead_for(self, *, database: str, writes: bool) -> Result[Lead, Fault]:
        lead = self.view.lead(database=database)
        if lead is None:
            return Result.Error(Fault(kind=Kind.noLead, why=f"{database}: nobody leads yet"))
        # why: while a planned move closes, reads go on; what is new and would write waits for the move's end
        if not lead.serves or (writes and lead.state != SETTLED):
            return Result.Error(Fault(kind=Kind.moving, why=f"{database}: the lead is moving to {lead.primary}"))
        if not self.yard.usable(name=lead.primary):
            return Result.Error(Fault(kind=Kind.noLead, why=f"{database}: {lead.primary} is not fit"))
        # why: what could not be acknowledged in the end is denied before it is sent
        if writes and not any(self.news.fit(name=name) for name in lead.inSync):
            return Result.Error(Fault(kind=Kind.notInSync, why=f"{database}: no replica is in sync"))
        unasked = [name for name in lead.confirmers if not self.yard.open(name=name)]
        if writes and unasked:
            return Result.Error(Fault(kind=Kind.notInSync, why=f"{database}: no channel yet to {unasked[0]}"))
        return Result.Ok(lead)

    async def _once(self, *, name: str, job: Job, term: int, tried: set[str]) -> Result[Reply, Fault]:
        """One job over one channel of one backend."""
        pool = self.yard.pool(name=name)
        tried.add(name)
        if pool is None:
            return Result.Error(Fault(kind=Kind.noBackend, why=f"{name} is not in this stall's share"))
        taken = await pool.take(wait_us=self._left_us(job=job))
        if taken.is_error():
            return Result.Error(taken.error)
        channel = taken.ok
        # why: the wait for a channel may have outlasted the view, the term, or the backend's fitness
        if not self.view.current or not self.yard.usable(name=name):
            pool.give(channel=channel)
            return Result.Error(Fault(kind=Kind.notCurrent, why="the view ran out while the job waited"))
        left_us = self._left_us(job=job)
        # why: a read may be asked again elsewhere, so a silent backend must not use up all of its time
        wait_us = left_us if job.kind == "write" else max(left_us // 2, min(left_us, READ_WAIT_US))
        result = await self.pass_to(channel=channel, job=job, step="alone", term=term, wait_us=wait_us)
        pool.give(channel=channel, keep=result.is_ok())
        if result.is_error():
            pool.blame()
            # why: a read leaves nothing behind, so a lost answer to it leaves nothing unknown
            if job.kind != "write":
                return Result.Error(Fault(kind=Kind.noBackend, why=f"{result.error.why}; nothing was written"))
        return result

    async def _write(self, *, job: Job, tried: set[str]) -> HttpResponse | Fault:
        database = job.bound.database
        found = self._lead_for(database=database, writes=True)
        if found.is_error():
            return found.error
        lead = found.ok
        result = await self._once(name=lead.primary, job=job, term=lead.term, tried=tried)
        if result.is_error():
            if result.error.kind == Kind.wireUnsure:
                return self._unknown(why=f"the answer was lost: {result.error.why}")
            return result.error
        reply = result.ok
        if not reply.ran:
            return self._denied(reply=reply)
        return await self._acknowledge(job=job, reply=reply, term=lead.term)

    def _denied(self, *, reply: Reply) -> HttpResponse | Fault:
        """A backend's own no: it has not run the job, or has run it and kept nothing."""
        if reply.reason in NOT_RUN:
            return (
                Fault(kind=Kind.noLead, why=reply.why)
                if reply.reason != "full"
                else Fault(kind=Kind.noBackend, why=reply.why)
            )
        return self.deny(kind=Kind.statementDenied, why=reply.why)

    def _unknown(self, *, why: str) -> HttpResponse:
        return self.deny(kind=Kind.outcomeUnknown, why=why)

    async def _acknowledge(self, *, job: Job, reply: Reply, term: int) -> HttpResponse:
        """A commit is answered done only once it can't be lost; else its outcome is unknown."""
        database = job.bound.database
        if reply.term != term:
            return self._unknown(why="the primary answered in another term")
        if not reply.wrote:
            # why: nothing was written, so only what was read must still hold
            if not self.book.holds(database=database, term=term):
                return self.deny(kind=Kind.notCurrent, why="the lead moved meanwhile; nothing was written")
            return self.done(value={"rows": reply.rows})
        wait_us = self.charter.amount(name="commitWait", database=database)
        until_us = min(job.until_us, self.ctx.now_us() + wait_us)
        if not await self.book.durable(database=database, term=term, position=reply.position, until_us=until_us):
            return self._unknown(why="run, and not known to be held by every replica in sync")
        job.bound.floor = max(job.bound.floor, reply.position)
        self.ctx.counters.add(name="commits.acknowledged")
        return self.done(value={"rows": reply.rows, "position": reply.position})

    async def _primary_read(self, *, job: Job, tried: set[str]) -> HttpResponse | Fault:
        database = job.bound.database
        found = self._lead_for(database=database, writes=False)
        if found.is_error():
            return found.error
        lead = found.ok
        result = await self._once(name=lead.primary, job=job, term=lead.term, tried=tried)
        if result.is_error():
            return result.error
        if not result.ok.ran:
            return self._denied(reply=result.ok)
        # why: the answer counts only if nobody else can have led at the moment at which it ran
        if result.ok.term != lead.term or not self.book.holds(database=database, term=lead.term):
            return Fault(kind=Kind.notCurrent, why="the lead moved while the read ran")
        return self.done(value={"rows": result.ok.rows, "position": result.ok.position})

    def _place(self, *, job: Job, lead: Lead, tried: set[str]) -> str | None:
        """The least weight among the fit replicas of the share that the route selects."""
        database = job.bound.database
        route = self.charter.route(kind=job.kind, database=database)
        near = self.charter.policy(name="site", database=database) == "near"
        # why: an operator's selector speaks of labels, so it narrows the share and never widens it
        names = [
            name
            for name in self.yard.share(database=database)
            if name not in tried
            and (name != lead.primary or route.target == "any")
            and self.yard.usable(name=name)
            and route.where.picks(labels=self.charter.backends[name].labels)
        ]

        def weight(name: str) -> tuple[int, float]:
            pool = self.yard.pool(name=name)
            far = near and self.charter.backends[name].site != self.ctx.site
            return (pool.weight if pool is not None else 0) + (1 if far else 0), self.ctx.luck.random()

        return min(names, key=weight, default=None)

    async def _replica_read(self, *, job: Job, tried: set[str]) -> HttpResponse | Fault:
        database = job.bound.database
        lead = self.view.lead(database=database)
        if lead is None:
            return Fault(kind=Kind.noLead, why=f"{database}: nobody leads yet")
        policy = "liveAge" if job.kind == "live" else "freshAge"
        age_us = self.charter.amount(name=policy, database=database)
        # why: a session taken over has left its floor with the stall that was lost; all that it had committed is
        # at or below any position of the primary's from after that
        since_us = max(job.start_us - age_us, job.bound.taken_us if job.kind == "fresh" else 0)
        floor = self.samples.floor(database=database, term=lead.term, since_us=since_us)
        name = None if floor is None else self._place(job=job, lead=lead, tried=tried)
        if name is None or floor is None:
            # why: with no sample or no replica left the primary can still tell, and nobody else can
            return await self._primary_read(job=job, tried=tried)
        if job.kind == "fresh":
            floor = max(floor, job.bound.floor)
        result = await self._once(name=name, job=job, term=lead.term, tried=tried)
        if result.is_error():
            return result.error
        reply = result.ok
        if not reply.ran:
            return self._denied(reply=reply)
        if reply.term != lead.term or reply.position < floor:
            self.ctx.counters.add(name="reads.stale")
            return Fault(kind=Kind.tooStale, why=f"{name} is behind")
        if not self.view.current:
            return Fault(kind=Kind.notCurrent, why="the view ran out while the read ran")
        return self.done(value={"rows": reply.rows, "position": reply.position})

    async def _begin(self, *, job: Job) -> HttpResponse:
        session = job.bound
        if session.transaction is not None:
            return self.deny(kind=Kind.inTransaction, why="a transaction is open already")
        session.lost = False
        return await self._rounds(job=job, one=self._begin_once)

    async def _begin_once(self, *, job: Job, tried: set[str]) -> HttpResponse | Fault:
        session = job.bound
        found = self._lead_for(database=session.database, writes=True)
        if found.is_error():
            return found.error
        lead = found.ok
        pool = self.yard.pool(name=lead.primary)
        assert pool is not None
        taken = await pool.take(wait_us=self._left_us(job=job))
        if taken.is_error():
            return taken.error
        channel = taken.ok
        result = await self.pass_to(
            channel=channel, job=job, step="begin", term=lead.term, wait_us=self._left_us(job=job)
        )
        if result.is_error() or not result.ok.ran:
            # why: a begin whose answer was lost leaves nothing behind once its channel is closed
            pool.give(channel=channel, keep=False)
            if result.is_error():
                pool.blame()
                return Fault(kind=Kind.noBackend, why=result.error.why)
            return self._denied(reply=result.ok)
        session.transaction = Transaction(
            pool=pool, channel=channel, term=lead.term, database=session.database, used_us=self.ctx.now_us()
        )
        return self.done()

    def _lose(self, *, session: Session, why: str) -> HttpResponse:
        self.sessions.abandon(session=session)
        session.lost = False
        return self.deny(kind=Kind.transactionLost, why=why)

    def _holds(self, *, transaction: Transaction) -> bool:
        return self.yard.reachable(name=transaction.pool.name) and self.book.holds(
            database=transaction.database, term=transaction.term
        )

    async def _pass_open(self, *, job: Job, transaction: Transaction, step: str) -> Result[Reply, Fault]:
        """A step of an open transaction, over the channel that is its own."""
        if not self._holds(transaction=transaction):
            return Result.Error(Fault(kind=Kind.wireUnsent, why="the lead moved"))
        left_us = self._left_us(job=job)
        result = await self.pass_to(
            channel=transaction.channel, job=job, step=step, term=transaction.term, wait_us=left_us
        )
        transaction.used_us = self.ctx.now_us()
        if result.is_error():
            transaction.pool.blame()
        return result

    async def _in_transaction(self, *, job: Job) -> HttpResponse:
        session = job.bound
        transaction = session.transaction
        assert transaction is not None
        result = await self._pass_open(job=job, transaction=transaction, step="in")
        if result.is_error():
            return self._lose(session=session, why=f"{result.error.why}; nothing of the transaction was kept")
        if not result.ok.ran and (result.ok.reason in NOT_RUN or result.ok.reason == "noTransaction"):
            return self._lose(session=session, why=f"{result.ok.why}; nothing of the transaction was kept")
        if not result.ok.ran:
            return self.deny(kind=Kind.statementDenied, why=result.ok.why)
        # why: what was read inside the transaction must be as new as any other read of the primary
        if result.ok.term != transaction.term or not self._holds(transaction=transaction):
            return self._lose(session=session, why="the lead moved; nothing of the transaction was kept")
        # why: a client must be able to tell that what it wrote is not kept until it commits
        return self.done(value={"rows": result.ok.rows, "transaction": True})

    def _end(self, *, session: Session, transaction: Transaction, result: Result[Reply, Fault]) -> None:
        """The transaction is over; its channel goes on only if the backend has said so."""
        session.transaction = None
        transaction.pool.give(channel=transaction.channel, keep=result.is_ok() and result.ok.ran)

    async def _commit(self, *, job: Job) -> HttpResponse:
        session = job.bound
        transaction = session.transaction
        assert transaction is not None
        result = await self._pass_open(job=job, transaction=transaction, step="commit")
        self._end(session=session, transaction=transaction, result=result)
        if result.is_error() and result.error.kind == Kind.wireUnsent:
            return self.deny(kind=Kind.transactionLost, why=f"{result.error.why}; the commit was never sent")
        if result.is_error():
            return self._unknown(why=f"the answer to the commit was lost: {result.error.why}")
        if not result.ok.ran:
            return self.deny(kind=Kind.transactionLost, why=f"{result.ok.why}; nothing was kept")
        return await self._acknowledge(job=job, reply=result.ok, term=transaction.term)

    async def _rollback(self, *, job: Job) -> HttpResponse:
        session = job.bound
        transaction = session.transaction
        assert transaction is not None
        result = await self._pass_open(job=job, transaction=transaction, step="rollback")
        # why: closing the channel rolls back as surely as the word does, so a rollback is always done
        self._end(session=session, transaction=transaction, result=result)
        return self.done()
