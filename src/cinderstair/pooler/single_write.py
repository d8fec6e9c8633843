"""Runs a write outside any transaction, with retries that never apply it twice."""

import asyncio
from dataclasses import dataclass

from ..config.service_plan import DatabaseRoute
from ..runtime.errors import CinderstairError, ErrorCode
from .link import Link
from .link_execution import await_reply, is_primary_pool
from .link_pool import LinkPool
from .reply import Reply, State, refusal
from .resend import Resend, after_unsent, after_write
from .session_base import MAX_ATTEMPTS, RETRY_PAUSE_US, CommitPosition, SessionBase
from .statement import Statement


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteAttempt:
    """The result of one attempt. `reply` is set if the statement was sent, or if no other attempt may follow.

    `fault` is the client's error if the write was not run and no attempt is left; None keeps the previous one.
    """

    resend: Resend
    reply: Reply | None = None
    fault: CinderstairError | None = None


class SingleWriteMixin(SessionBase):
    """Sends a write to the primary, and sends it again only if `Resend` allows it."""

    async def _write(self, *, statement: Statement, route: DatabaseRoute, until_us: int) -> Reply:
        """Runs a write. A refusal says whether the write was not run or its outcome is unknown.

        :param until_us: the deadline, by this proxy's clock.
        """
        fault = CinderstairError(code=ErrorCode.NO_BACKEND, reason="no primary took the write")
        for attempt in range(MAX_ATTEMPTS):
            route = await self._route_after_move(route=route, until_us=until_us)
            result = await self._attempt_write(statement=statement, route=route, until_us=until_us)
            fault = result.fault or fault
            if result.resend is Resend.PRIMARY_CHANGED:
                continue
            if result.reply is not None:
                last_attempt = attempt + 1 == MAX_ATTEMPTS
                if not result.resend.allowed or last_attempt or self.ctx.now_us() + RETRY_PAUSE_US >= until_us:
                    return result.reply
                self.router.view.pull_now()
            await self._pause(attempt=attempt, until_us=until_us)
        return self._refused(fault=fault)

    async def _route_after_move(self, *, route: DatabaseRoute, until_us: int) -> DatabaseRoute:
        """The route after a move of the database to another service; waits only if its end is expected in time."""
        while True:
            moving = self.router.shards.fault(database=route.database)
            left_us = 0 if moving is None else int(moving.details["left_us"])
            if moving is None or self.ctx.now_us() + left_us >= until_us:
                return self.route() or route
            await self.router.view.next_answer(until_us=until_us)

    async def _attempt_write(self, *, statement: Statement, route: DatabaseRoute, until_us: int) -> WriteAttempt:
        """Sends the write to the primary once, or returns the reason why it was not sent."""
        moving = self.router.shards.fault(database=route.database)
        if moving is not None:
            return WriteAttempt(resend=Resend.GIVE_UP, reply=self._refused(fault=moving))
        primary = await self.router.primary(service=route.service, until_us=until_us)
        if primary.is_error():
            return WriteAttempt(resend=Resend.GIVE_UP, reply=self._refused(fault=primary.error))
        pool = primary.ok
        acquired = await self._acquire(pool=pool, route=route, until_us=until_us)
        if acquired.is_error():
            fault = acquired.error
            resend = after_unsent(fault=fault)
            return WriteAttempt(
                resend=resend, reply=None if resend.allowed else self._refused(fault=fault), fault=fault
            )
        link = acquired.ok
        # The primary may have changed while waiting for a link, and a write must not reach a former primary.
        is_primary = is_primary_pool(router=self.router, pool=pool, service=route.service)
        if not (is_primary and self._on_same_service(route=route)):
            pool.release(link=link)
            return WriteAttempt(resend=Resend.PRIMARY_CHANGED)
        reply = await self._write_on(link=link, pool=pool, statement=statement, route=route, until_us=until_us)
        resend = after_write(reply=reply)
        if reply is None:
            return WriteAttempt(resend=resend, reply=refusal(kind=ErrorCode.OUTCOME_UNKNOWN))
        fault = CinderstairError(code=ErrorCode.OVERLOADED, reason="the backend did not run the write")
        return WriteAttempt(resend=resend, reply=reply, fault=fault)

    async def _write_on(
        self, *, link: Link, pool: LinkPool, statement: Statement, route: DatabaseRoute, until_us: int
    ) -> Reply | None:
        """Sends the write on a link and releases the link.

        :returns: None if the link was lost or no reply came in time: the write may have taken effect.
        """
        requested_us = self.ctx.now_us()
        reached_before = self.router.freshness(service=route.service).newest_position
        future = self._send(link=link, statement=statement, at_least=None)
        try:
            reply = await await_reply(ctx=self.ctx, future=future, until_us=until_us)
        except ConnectionError:
            pool.release(link=link)
            return None
        except asyncio.CancelledError:
            pool.release(link=link, keep=False)
            raise
        if reply is None:
            pool.release_answered(link=link, answer=future)
            return None
        pool.release(link=link)
        self.router.record_reply(pool=pool, service=route.service, requested_us=requested_us, reply=reply)
        reply = await self._acknowledgeable(
            pool=pool, service=route.service, reply=reply, until_us=until_us, reached_before=reached_before
        )
        if not reply.not_run and reply.fault is None and reply.position is not None:
            self.last_commit = CommitPosition(route.service, reply.position)
        # A single statement leaves no open transaction, whatever state a backend reports after a failure.
        reply.state = State.idle
        return reply
