"""Statements outside of transactions: writes, primary reads and replica reads."""

from ...failover.database_primary import DatabasePrimary
from ...runtime.errors import CinderstairError, ErrorCode
from ...runtime.http_response import HttpResponse
from ..request import Request
from .forward_base import ForwardBase


class SingleStatementMixin(ForwardBase):
    """One attempt for each kind of statement, run by the retry loop."""

    async def _write(self, *, request: Request, tried: set[str]) -> HttpResponse | CinderstairError:
        database = request.bound.database
        found = self._assignment_for(database=database, writes=True)
        if found.is_error():
            return found.error
        assignment = found.ok
        result = await self._run_once(name=assignment.primary, request=request, term=assignment.term, tried=tried)
        if result.is_error():
            if result.error.code == ErrorCode.NO_RESPONSE:
                return self._unknown(reason=f"the reply of {assignment.primary} was lost: {result.error.reason}")
            return result.error
        reply = result.ok
        if not reply.ran:
            return self._rejected(reply=reply)
        return await self._acknowledge(request=request, reply=reply, term=assignment.term)

    async def _primary_read(self, *, request: Request, tried: set[str]) -> HttpResponse | CinderstairError:
        database = request.bound.database
        found = self._assignment_for(database=database, writes=False)
        if found.is_error():
            return found.error
        assignment = found.ok
        result = await self._run_once(name=assignment.primary, request=request, term=assignment.term, tried=tried)
        if result.is_error():
            return result.error
        if not result.ok.ran:
            return self._rejected(reply=result.ok)
        # the rows are valid only if no other backend can have been primary when the read ran
        if result.ok.term != assignment.term or not self.commit_watermarks.term_in_force(
            database=database, term=assignment.term
        ):
            return CinderstairError(
                code=ErrorCode.NOT_CURRENT, reason="the primary changed or the view expired during the read"
            )
        return self.done(value={"rows": result.ok.rows, "position": result.ok.position})

    def _choose_replica(self, *, request: Request, assignment: DatabasePrimary, tried: set[str]) -> str | None:
        """The usable replica of the least weight among those that the route selects; None where there is none."""
        database = request.bound.database
        route = self.configuration.route(kind=request.kind, database=database)
        near = self.configuration.policy(name="site", database=database) == "near"
        # a route's selector filters the subset by labels; it never adds backends to it
        names = [
            name
            for name in self.connection_pools.subset_of(database=database)
            if name not in tried
            and (name != assignment.primary or route.target == "any")
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
        assignment = self.view.assignment(database=database)
        if assignment is None:
            return CinderstairError(code=ErrorCode.NO_PRIMARY, reason=f"{database}: no primary has been assigned yet")
        policy = "liveAge" if request.kind == "live" else "freshAge"
        age_us = self.configuration.amount(name=policy, database=database)
        # a session that was taken over may have lost its latest floor with the former proxy; samples from after the
        # takeover are at or above everything that the session had committed
        since_us = max(request.start_us - age_us, request.bound.taken_over_us if request.kind == "fresh" else 0)
        floor = self.samples.floor(database=database, term=assignment.term, since_us=since_us)
        name = None if floor is None else self._choose_replica(request=request, assignment=assignment, tried=tried)
        if name is None or floor is None:
            # without a sample or a replica left only the primary can serve the read
            return await self._primary_read(request=request, tried=tried)
        if request.kind == "fresh":
            floor = max(floor, request.bound.floor)
        result = await self._run_once(name=name, request=request, term=assignment.term, tried=tried)
        if result.is_error():
            return result.error
        reply = result.ok
        if not reply.ran:
            return self._rejected(reply=reply)
        if reply.term != assignment.term or reply.position < floor:
            self.ctx.counters.add(name="reads.stale")
            return CinderstairError(
                code=ErrorCode.TOO_STALE,
                reason=f"{name} is at {reply.position} in term {reply.term}; "
                f"the read needs {floor} in term {assignment.term}",
            )
        if not self.view.current:
            return CinderstairError(code=ErrorCode.NOT_CURRENT, reason="the view expired during the read")
        return self.done(value={"rows": reply.rows, "position": reply.position})
