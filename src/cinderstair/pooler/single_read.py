"""Runs a read outside any transaction, hedged on a second backend if the first is slow."""

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

# A backend that has not answered by then is probably overloaded or down, so a second one runs the read too.
HEDGE_DELAY_US = 260_000
MAX_PARALLEL_READS = 2
MAX_READ_FAILURES = 2 * MAX_ATTEMPTS
# Expected time until a read can run where the error has no `left_us`.
DEFAULT_WAIT_US = 50_000

ReadTask = asyncio.Task[Reply | CinderstairError]


class HedgedRead:
    """The progress of one read: the running attempts, and the results of failed ones."""

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
        """Whether another attempt may be started now."""
        return len(self.running) < MAX_PARALLEL_READS and self.failures < MAX_READ_FAILURES

    async def wait(self, *, now_us: int) -> set[ReadTask]:
        """Waits until an attempt ends, the hedge delay has passed or the deadline is reached.

        :returns: the attempts that have ended.
        """
        left_us = self.until_us - now_us
        wait_us = min(left_us, HEDGE_DELAY_US) if len(self.running) < MAX_PARALLEL_READS else left_us
        done, self.running = await asyncio.wait(
            self.running, timeout=max(0, wait_us) / 1_000_000, return_when=asyncio.FIRST_COMPLETED
        )
        return done

    def record_result(self, *, result: Reply | CinderstairError) -> Reply | None:
        """Records the result of an attempt.

        :returns: the reply for the client if it is final, else None.
        """
        if isinstance(result, Reply):
            # A single statement leaves no open transaction, whatever state a backend reports after a failure.
            result.state = State.idle
            if not after_read(reply=result).allowed:
                return result
            self.failed_reply = result
        else:
            self.fault = result
        self.failures += 1
        return None


class SingleReadMixin(ReadCandidatesMixin):
    """Sends a read to one backend after another, at most MAX_PARALLEL_READS at once; the first final reply wins."""

    async def _read(self, *, statement: Statement, route: DatabaseRoute, arrived_us: int, until_us: int) -> Reply:
        """Runs a read.

        :param arrived_us: when the read arrived; its maximum age counts from then.
        :param until_us: the deadline, by this proxy's clock.
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
                    await self.router.view.next_answer(until_us=until_us)
                    read.fault = None
                    continue
                done = await read.wait(now_us=now_us)
                for task in done:
                    reply = read.record_result(result=task.result())
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
        """The refusal of a read without candidates; None if that is expected to change before the deadline.

        :param fault: why there is no candidate.
        """
        fault = (
            read.fault or fault or CinderstairError(code=ErrorCode.NO_BACKEND, reason="no backend can serve the read")
        )
        left_us = int(fault.details.get("left_us", DEFAULT_WAIT_US))
        if read.failures < MAX_READ_FAILURES and now_us + left_us < read.until_us:
            return None
        return read.failed_reply or self._refused(fault=fault)

    async def _read_at(
        self, *, statement: Statement, route: DatabaseRoute, candidate: Candidate, until_us: int
    ) -> Reply | CinderstairError:
        """Runs the read on one backend; an error means that the backend gave no reply."""
        pool, at_least = candidate
        acquired = await self._acquire(pool=pool, route=route, until_us=until_us)
        if acquired.is_error():
            return acquired.error
        link = acquired.ok
        was_primary = is_primary_pool(router=self.router, pool=pool, service=route.service)
        # Without a position only the current primary may serve it, which may have changed while waiting for a link.
        if at_least is None and not (was_primary and self._on_same_service(route=route)):
            pool.release(link=link)
            return CinderstairError(
                code=ErrorCode.NO_PRIMARY,
                reason=f"{route.service}: the primary or the placement changed during the wait for a link",
            )
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
        """Sends the read on a link and releases the link."""
        pool = candidate.pool
        future = self._send(link=link, statement=statement, at_least=candidate.at_least)
        try:
            reply = await asyncio.shield(future)
        except ConnectionError:
            pool.release(link=link)
            return CinderstairError(code=ErrorCode.NO_RESPONSE, reason="the link was lost before the reply to a read")
        except asyncio.CancelledError:
            # Closing the link would interrupt a working backend and require a new link.
            pool.release_answered(link=link, answer=future)
            raise
        pool.release(link=link)
        return reply
