"""The state of one client's session, and helpers shared by all kinds of statements."""

import asyncio
from typing import NamedTuple

from expression import Result

from ..config.service_plan import DatabaseRoute
from ..runtime.context import Context
from ..runtime.error_responses import ERROR_RESPONSES
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.position import Position
from .link import Link
from .link_execution import ensure_prepared
from .link_pool import LinkPool
from .reply import Reply, State, refusal
from .router import Router
from .session_replay import replay_values
from .statement import PreparedStatement, Statement, Verb
from .transaction import Transaction

MAX_ATTEMPTS = 4
# The proxy's own answer must reach the client within the client's time limit.
REPLY_MARGIN_US = 30_000
RETRY_PAUSE_US = 15_000


class CommitPosition(NamedTuple):
    """The log position of a commit. Positions in the logs of different services are not comparable."""

    service: str
    position: Position


class SessionBase:
    """Holds a session's values, prepared statements, last commit and open transaction.

    `last_commit` is None until a write of this session has committed.
    """

    def __init__(self, *, ctx: Context, router: Router, database: str) -> None:
        self.ctx = ctx
        self.router = router
        self.database = database
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, PreparedStatement] = {}
        self.state = State.idle
        self.last_commit: CommitPosition | None = None
        self.transaction: Transaction | None = None
        self.busy = False

    # -- refusals --

    def _failed(self, *, kind: ErrorCode, retry_after_us: int = 0) -> Reply:
        """The refusal of a statement that was not run; an open transaction fails.

        :param retry_after_us: when the client may retry, in microseconds; 0: not stated.
        """
        state = State.idle if self.transaction is None else State.failed
        return refusal(kind=kind, state=state, retry_after_us=retry_after_us)

    def _refused(self, *, fault: CinderstairError) -> Reply:
        """The refusal for an error; its retry time is the error's `left_us`, or else the default of its code."""
        retry_after_us = int(fault.details.get("left_us", ERROR_RESPONSES[fault.code].retry_after_us))
        return self._failed(kind=fault.code, retry_after_us=retry_after_us)

    # -- routing --

    def route(self) -> DatabaseRoute | None:
        """The current route of this session's database; None if the database is not configured."""
        return self.router.route(database=self.database)

    def _on_same_service(self, *, route: DatabaseRoute) -> bool:
        """Whether the database is still placed on the service of `route` and is not being moved."""
        now = self.route()
        return (
            now is not None and now.service == route.service and not self.router.shards.fault(database=self.database)
        )

    async def _acquire(
        self, *, pool: LinkPool, route: DatabaseRoute, until_us: int
    ) -> Result[Link, CinderstairError]:
        """Borrows a link, preferably one that already has this session's values.

        Errors: those of `LinkPool.acquire`.
        """
        return await pool.acquire(values=self.values, rank=route.rank, until_us=until_us, database=self.database)

    async def _pause(self, *, attempt: int, until_us: int) -> None:
        """Waits before a retry, with exponential backoff and jitter, but at most until `until_us`."""
        wait_us = self.ctx.rng.randrange(RETRY_PAUSE_US, RETRY_PAUSE_US << (attempt + 1))
        await self.ctx.sleep(duration_us=max(0, min(wait_us, until_us - self.ctx.now_us())))

    # -- sending on a link --

    def _writes(self, *, statement: Statement) -> bool:
        """Whether the statement changes data."""
        if statement.verb == Verb.execute:
            return self.prepared[statement.name].writes
        return statement.verb == Verb.write

    def _replay_values(self, *, link: Link) -> None:
        """Sends this session's values on a link that is borrowed exclusively."""
        replay_values(link=link, values=self.values)

    def _send(self, *, link: Link, statement: Statement, at_least: Position | None) -> asyncio.Future[Reply]:
        """Sends a statement, preceded by the session's values and the prepared statement that it executes.

        :param at_least: the log position that the backend must have reached; None for any.
        """
        self._replay_values(link=link)
        alias = b""
        if statement.verb == Verb.execute:
            alias = ensure_prepared(router=self.router, link=link, prepared=self.prepared[statement.name])
        reply = link.send(statement=statement, at_least=at_least, alias=alias)
        if self._takes_effect(statement=statement):
            self.router.shards.in_flight.sent(database=self.database, link=link, answer=reply)
        return reply

    async def _acknowledgeable(
        self, *, pool: LinkPool, service: str, reply: Reply, until_us: int, reached_before: Position
    ) -> Reply:
        """The reply to a write or a commit, or an unknown outcome where its commit may be lost in a failover.

        :param until_us: the deadline, by this proxy's clock.
        :param reached_before: see `CommitAcknowledgement.allowed`.
        """
        if reply.not_run or reply.fault is not None:
            return reply
        allowed = await self.router.commit_acknowledgement.allowed(
            service=service,
            backend=pool.backend.name,
            position=reply.position,
            until_us=until_us,
            reached_before=reached_before,
        )
        return reply if allowed else refusal(kind=ErrorCode.OUTCOME_UNKNOWN)

    def _takes_effect(self, *, statement: Statement) -> bool:
        """Whether the statement makes changes visible to other sessions: a single write, or a read-write commit."""
        if self.transaction is None:
            return self._writes(statement=statement)
        return statement.verb == Verb.commit and not self.transaction.read_only
