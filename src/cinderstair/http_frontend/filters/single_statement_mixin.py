"""Statements outside of transactions: writes, reads of the primary, reads of replicas."""

from ...failover.database_primary import DatabasePrimary
from ...runtime.errors import CinderstairError, ErrorCode
from ...runtime.http_response import HttpResponse
from ..request import Request
from .forward_base import ForwardBase


class SingleStatementMixin(ForwardBase):
    """One attempt of each kind of statement, for the retry loop."""

    async def _write(self, *, request: Request, tried: set[str]) -> HttpResponse | CinderstairError:
        database = request.bound.database
        found = self._assignment_for(database=database, writes=True)
        if found.is_error():
            return found.error
        assignment = found.ok
        result = await self._run_once(name=assignment.primary, request=request, term=assignment.term, tried=tried)
        if result.is_error():
            if result.error.code == ErrorCode.WIRE_UNSURE:
                return self._unknown(reason=f"the answer was lost: {result.error.reason}")
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
        # the answer counts only if nobody else can have led at the moment at which it ran
        if result.ok.term != assignment.term or not self.commit_watermarks.term_in_force(
            database=database, term=assignment.term
        ):
            return CinderstairError(code=ErrorCode.NOT_CURRENT, reason="the lead moved while the read ran")
        return self.done(value={"rows": result.ok.rows, "position": result.ok.position})

    def _choose_replica(self, *, request: Request, assignment: DatabasePrimary, tried: set[str]) -> str | None:
        """The fit replica of the least weight that the route selects; None where there is none."""
        database = request.bound.database
        route = self.configuration.route(kind=request.kind, database=database)
        near = self.configuration.policy(name="site", database=database) == "near"
        # an operator's selector speaks of labels, so it narrows the share and never widens it
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
            return CinderstairError(code=ErrorCode.NO_LEAD, reason=f"{database}: nobody leads yet")
        policy = "liveAge" if request.kind == "live" else "freshAge"
        age_us = self.configuration.amount(name=policy, database=database)
        # a session taken over has left its floor with the HTTP proxy that was lost; all that it had committed is
        # at or below any position of the primary's from after that
        since_us = max(request.start_us - age_us, request.bound.taken_over_us if request.kind == "fresh" else 0)
        floor = self.samples.floor(database=database, term=assignment.term, since_us=since_us)
        name = None if floor is None else self._choose_replica(request=request, assignment=assignment, tried=tried)
        if name is None or floor is None:
            # with no sample or no replica left the primary can still tell, and nobody else can
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
            return CinderstairError(code=ErrorCode.TOO_STALE, reason=f"{name} is behind")
        if not self.view.current:
            return CinderstairError(code=ErrorCode.NOT_CURRENT, reason="the view ran out while the read ran")
        return self.done(value={"rows": reply.rows, "position": reply.position})
