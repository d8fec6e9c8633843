"""Shared by single statements and transactions: choice of the primary, one run on a backend, acknowledgement."""

from expression import Result

from ...config.configuration import Configuration
from ...failover.database_primary import SETTLED, DatabasePrimary
from ...membership.heartbeat_table import HeartbeatTable
from ...runtime.context import Context
from ...runtime.errors import CinderstairError, ErrorCode
from ...runtime.http_response import HttpResponse
from ..commit_watermarks import CommitWatermarks
from ..connection_pools import ConnectionPools
from ..forward_mixin import FULL, NOT_RUN, ForwardMixin, Reply
from ..request import Request
from ..samples import Samples
from ..sessions import Sessions
from ..view import View
from .retry_mixin import RetryMixin

# the least time, if it has that much left, that a read waits for one backend before another one is tried
MIN_READ_WAIT_US = 250_000


class ForwardBase(RetryMixin, ForwardMixin):
    """Runs requests on backends; reports an outcome as known only where the replies prove it."""

    def __init__(
        self,
        *,
        ctx: Context,
        view: View,
        connection_pools: ConnectionPools,
        heartbeat_table: HeartbeatTable,
        samples: Samples,
        commit_watermarks: CommitWatermarks,
        sessions: Sessions,
    ) -> None:
        self.ctx = ctx
        self.view = view
        self.connection_pools = connection_pools
        self.heartbeat_table = heartbeat_table
        self.samples = samples
        self.commit_watermarks = commit_watermarks
        self.sessions = sessions

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; the route filter has rejected requests without one."""
        configuration = self.view.configuration
        if configuration is None:
            raise LookupError("no configuration is in force")
        return configuration

    def _assignment_for(self, *, database: str, writes: bool) -> Result[DatabasePrimary, CinderstairError]:
        """The primary assignment for new requests of a database.

        :returns: the assignment; NO_PRIMARY without a usable primary, MOVING during a switchover, NOT_IN_SYNC where a
            write could not be acknowledged.
        """
        assignment = self.view.assignment(database=database)
        if assignment is None:
            return Result.Error(
                CinderstairError(code=ErrorCode.NO_PRIMARY, reason=f"{database}: no primary has been assigned yet")
            )
        # during a planned switchover reads continue, while new writes wait for its end
        if not assignment.serves or (writes and assignment.state != SETTLED):
            return Result.Error(
                CinderstairError(
                    code=ErrorCode.MOVING, reason=f"{database}: a switchover to {assignment.primary} is in progress"
                )
            )
        if not self.connection_pools.usable(name=assignment.primary):
            return Result.Error(
                CinderstairError(
                    code=ErrorCode.NO_PRIMARY, reason=f"{database}: the primary {assignment.primary} is not usable"
                )
            )
        # a write that could not be acknowledged is rejected before it is sent
        if writes and not any(self.heartbeat_table.healthy(name=name) for name in assignment.in_sync):
            return Result.Error(
                CinderstairError(code=ErrorCode.NOT_IN_SYNC, reason=f"{database}: no in-sync replica is healthy")
            )
        unconnected = [name for name in assignment.confirmers if not self.connection_pools.open(name=name)]
        if writes and unconnected:
            return Result.Error(
                CinderstairError(
                    code=ErrorCode.NOT_IN_SYNC,
                    reason=f"{database}: no channels are allowed yet to the replica {unconnected[0]}",
                )
            )
        return Result.Ok(assignment)

    async def _run_once(
        self, *, name: str, request: Request, term: int, tried: set[str]
    ) -> Result[Reply, CinderstairError]:
        """Runs a statement outside of transactions on one backend, which is added to `tried`.

        :returns: the reply; an error of the pool or connection; NOT_CURRENT where the wait outlasted the view.
        """
        pool = self.connection_pools.pool(name=name)
        tried.add(name)
        if pool is None:
            return Result.Error(
                CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"{name} is not in this HTTP proxy's subset")
            )
        taken = await pool.acquire(wait_us=self._left_us(request=request))
        if taken.is_error():
            return Result.Error(taken.error)
        connection = taken.ok
        # the view, the term or the backend's health may have changed during the wait for a channel
        if not self.view.current or not self.connection_pools.usable(name=name):
            pool.release(connection=connection)
            return Result.Error(
                CinderstairError(
                    code=ErrorCode.NOT_CURRENT,
                    reason="the view expired or the backend became unusable during the wait for a channel",
                )
            )
        result = await self.send_step(
            connection=connection,
            request=request,
            step="alone",
            term=term,
            wait_us=self._reply_wait_us(request=request),
        )
        pool.release(connection=connection, keep=result.is_ok())
        if result.is_error():
            pool.record_error()
            # a read has no effects, so a lost reply to it leaves no unknown outcome
            if request.kind != "write":
                return Result.Error(
                    CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"{result.error.reason}; nothing was written")
                )
        return result

    def _reply_wait_us(self, *, request: Request) -> int:
        left_us = self._left_us(request=request)
        if request.kind == "write":
            return left_us
        # a read may be retried on another backend, so a silent one must not use up all of its time
        return max(left_us // 2, min(left_us, MIN_READ_WAIT_US))

    def _rejected(self, *, reply: Reply) -> HttpResponse | CinderstairError:
        """Maps a backend's refusal: an error where the request was not run and may be retried, else a response."""
        if reply.reason in NOT_RUN:
            code = ErrorCode.NO_BACKEND if reply.reason == FULL else ErrorCode.NO_PRIMARY
            return CinderstairError(code=code, reason=reply.message)
        return self.reject(kind=ErrorCode.STATEMENT_DENIED, reason=reply.message)

    def _unknown(self, *, reason: str) -> HttpResponse:
        return self.reject(kind=ErrorCode.OUTCOME_UNKNOWN, reason=reason)

    async def _acknowledge(self, *, request: Request, reply: Reply, term: int) -> HttpResponse:
        """Acknowledges a write once all confirming replicas hold it; otherwise the outcome is unknown."""
        database = request.bound.database
        if reply.term != term:
            return self._unknown(reason=f"the primary answered in term {reply.term} instead of {term}")
        if not reply.wrote:
            # nothing was written, so it is enough that the rows were read in the term in force
            if not self.commit_watermarks.term_in_force(database=database, term=term):
                return self.reject(
                    kind=ErrorCode.NOT_CURRENT, reason="the primary changed or the view expired; nothing was written"
                )
            return self.done(value={"rows": reply.rows})
        wait_us = self.configuration.amount(name="commitWait", database=database)
        until_us = min(request.until_us, self.ctx.now_us() + wait_us)
        if not await self.commit_watermarks.durable(
            database=database, term=term, position=reply.position, until_us=until_us
        ):
            return self._unknown(reason="the write ran, but not all in-sync replicas are known to hold it")
        request.bound.floor = max(request.bound.floor, reply.position)
        self.ctx.counters.add(name="commits.acknowledged")
        return self.done(value={"rows": reply.rows, "position": reply.position})
