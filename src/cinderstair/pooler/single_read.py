"""Runs a read that stands outside any transaction, on a second backend too where the first is slow."""

import asyncio

from ..config.service_plan import DatabaseRoute
from ..runtime.errors import CinderstairError, ErrorCode
from .link import Link
from .link_execution import is_primary_pool, record_reply
from .read_candidates import Candidate, CandidateSequence, ReadCandidatesMixin
from .reply import Reply, State, refusal
from .resend import after_read
from .session_base import MAX_ATTEMPTS
from .statement import Statement

# A backend that has not answered by then is probably overloaded or dead; two run the read from then on.
HEDGE_DELAY_US = 260_000
MAX_PARALLEL_READS = 2
MAX_READ_FAILURES = 2 * MAX_ATTEMPTS
# How long a change that lets the read run is expected to take where the fault names no time.
DEFAULT_WAIT_US = 50_000

ReadTask = asyncio.Task[Reply | CinderstairError]


class HedgedRead:
    """The progress of one read: the attempts under way, and how earlier ones failed."""

    __slots__ = ("statement", "arrived_us", "until_us", "running", "sequence", "failures", "fault", "failed_reply")

    def __init__(self, *, statement: Statement, arrived_us: int, until_us: int) -> None:
        self.statement = statement
        self.arrived_us = arrived_us
        self.until_us = until_us
        self.running: set[ReadTask] = set()
        self.sequence = CandidateSequence()
        self.failures = 0
        self.fault: CinderstairError | None = None
        self.failed_reply: Reply | None = None

    @property
    def may_start(self) -> bool:
        """Whether another backend may be tried now."""
        return len(self.running) < MAX_PARALLEL_READS and self.failures < MAX_READ_FAILURES

    async def wait(self, *, now_us: int) -> set[ReadTask]:
        """Waits for an attempt to end, or for the moment at which the read should be hedged."""
        left_us = self.until_us - now_us
        wait_us = min(left_us, HEDGE_DELAY_US) if len(self.running) < MAX_PARALLEL_READS else left_us
        done, self.running = await asyncio.wait(
            self.running, timeout=max(0, wait_us) / 1_000_000, return_when=asyncio.FIRST_COMPLETED
        )
        return done

    def take(self, *, result: Reply | CinderstairError) -> Reply | None:
        """Notes how an attempt ended.

        :returns: the client's reply where it is final, else None.
        """
        if isinstance(result, Reply):
            # A single statement leaves no transaction behind, whatever state a backend reports after a failure.
            result.state = State.idle
            if not after_read(reply=result).allowed:
                return result
            self.failed_reply = result
        else:
            self.fault = result
        self.failures += 1
        return None


class SingleReadMixin(ReadCandidatesMixin):
    """Offers a read to one backend after another; the first final reply counts."""

    async def _read(self, *, statement: Statement, route: DatabaseRoute, arrived_us: int, until_us: int) -> Reply:
        """Runs a read.

        :param arrived_us: when the read arrived, which its maximum age counts from.
        :param until_us: the moment, by this proxy's clock, from which on the client is not kept waiting.
        """
        read = HedgedRead(statement=statement, arrived_us=arrived_us, until_us=until_us)
        try:
            while True:
                now_us = self.ctx.now_us()
                route = self.route() or route
                candidates = self._read_candidates(route=route, arrived_us=arrived_us)
                if candidates.found and read.may_start:
                    self._start_read(read=read, route=route, candidates=candidates.found)
                elif not read.running:
                    refused = self._refused_read(read=read, fault=candidates.fault, now_us=now_us)
                    if refused is not None:
                        return refused
                    await self.router.view.change(until_us=until_us)
                    read.fault = None
                    continue
                done = await read.wait(now_us=now_us)
                for task in done:
                    reply = read.take(result=task.result())
                    if reply is not None:
                        return reply
                if self.ctx.now_us() >= until_us:
                    return refusal(kind=ErrorCode.TIME_LEFT_SPENT)
                if done and not read.running:
                    await self._pause(attempt=min(read.failures, MAX_ATTEMPTS) - 1, until_us=until_us)
        finally:
            for task in read.running:
                task.cancel()

    def _start_read(self, *, read: HedgedRead, route: DatabaseRoute, candidates: list[Candidate]) -> None:
        candidate = read.sequence.next(candidates=candidates)
        work = self._read_at(statement=read.statement, route=route, candidate=candidate, until_us=read.until_us)
        read.running.add(self.ctx.spawn(work=work, name="read"))

    def _refused_read(self, *, read: HedgedRead, fault: CinderstairError | None, now_us: int) -> Reply | None:
        """The refusal of a read that no backend can take; None where that should change in time.

        :param fault: why there is no candidate.
        """
        fault = read.fault or fault or CinderstairError(code=ErrorCode.NO_BACKEND, reason="no backend to read from")
        left_us = int(fault.details.get("left_us", DEFAULT_WAIT_US))
        if read.failures < MAX_READ_FAILURES and now_us + left_us < read.until_us:
            return None
        return read.failed_reply or self._refused(fault=fault)

    async def _read_at(
        self, *, statement: Statement, route: DatabaseRoute, candidate: Candidate, until_us: int
    ) -> Reply | CinderstairError:
        """Runs the read at one backend; an error means that it gave no answer."""
        pool, at_least = candidate
        acquired = await self._acquire(pool=pool, route=route, until_us=until_us)
        if acquired.is_error():
            return acquired.error
        link = acquired.ok
        was_primary = is_primary_pool(router=self.router, pool=pool, service=route.service)
        # Without a position only the current primary will do, and it may have changed during the wait for a link.
        if at_least is None and not (was_primary and self._on_same_service(route=route)):
            pool.release(link=link)
            return CinderstairError(code=ErrorCode.NO_PRIMARY, reason="the lead moved meanwhile")
        requested_us = self.ctx.now_us()
        reply = await self._read_on(link=link, statement=statement, candidate=candidate)
        if isinstance(reply, Reply):
            record_reply(
                router=self.router,
                pool=pool,
                service=route.service,
                requested_us=requested_us,
                was_primary=was_primary,
                reply=reply,
            )
        return reply

    async def _read_on(self, *, link: Link, statement: Statement, candidate: Candidate) -> Reply | CinderstairError:
        """Sends the read on a link and gives the link back."""
        pool = candidate.pool
        future = self._send(link=link, statement=statement, at_least=candidate.at_least)
        try:
            reply = await asyncio.shield(future)
        except ConnectionError:
            pool.release(link=link)
            return CinderstairError(code=ErrorCode.NO_RESPONSE, reason="the link was lost")
        except asyncio.CancelledError:
            # Closing the link would interrupt a working backend and cost a new link.
            pool.release_answered(link=link, answer=future)
            raise
        pool.release(link=link)
        return reply
