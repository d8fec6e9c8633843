"""Answers readiness probes, backends' heartbeats and operators' requests."""

from ...config.configuration import CONFIGURATION_KEY
from ...consensus.voter_replacement import VoterReplacement
from ...failover.database_failover import DatabaseFailover
from ...membership.heartbeat import heartbeat_from_json
from ...membership.heartbeat_table import HeartbeatTable
from ...runtime.context import Context
from ...runtime.errors import ErrorCode
from ...runtime.http_response import HttpResponse, json_response
from ..configuration_store import ConfigurationStore
from ..reject_mixin import RejectMixin
from ..request import Request
from ..status_page import StatusPage
from ..view import View
from .ready_filter import ReadyFilter


class ControlFilter(RejectMixin):
    """Answers every request that isn't for a session.

    :param founding_replicas: number of voters at the founding of the register; a replacement keeps at least as many.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        view: View,
        heartbeat_table: HeartbeatTable,
        configuration_store: ConfigurationStore,
        ready: ReadyFilter,
        status: StatusPage,
        database_failover: DatabaseFailover,
        founding_replicas: int,
    ) -> None:
        self.founding_replicas = founding_replicas
        self.ctx = ctx
        self.view = view
        self.heartbeat_table = heartbeat_table
        self.configuration_store = configuration_store
        self.ready = ready
        self.status = status
        self.database_failover = database_failover

    async def answer(self, *, request: Request) -> HttpResponse | None:
        """Answers by the verb; None for requests of sessions."""
        if request.verb == "ready":
            return self._ready()
        if request.verb == "drain":
            self.ready.draining = True
            return self.done(value={"sessions": self.status.value()["sessions"]})
        if request.verb == "counters":
            return json_response(status=200, value=self.ctx.counters.snapshot())
        if request.verb == "status":
            return json_response(status=200, value=self.status.value())
        if request.verb == "beat":
            return self._heartbeat(request=request)
        if request.verb == "submit":
            return await self._submit(request=request)
        if request.verb == "fetch":
            return await self._fetch()
        if request.verb == "replaceVault":
            return await self._replace_register_replica(request=request)
        if request.verb == "override":
            return await self._override(request=request)
        return None

    def _ready(self) -> HttpResponse:
        not_ready = self.ready.unready()
        if not_ready is not None:
            return self.reject(kind=not_ready.code, reason=not_ready.reason)
        return self.done(value={"stall": self.ctx.name})

    def _heartbeat(self, *, request: Request) -> HttpResponse:
        try:
            heartbeat = heartbeat_from_json(value=request.body)
        except ValueError as error:
            return self.reject(kind=ErrorCode.MALFORMED, reason=str(error))
        self.heartbeat_table.receive(heartbeat=heartbeat)
        return self.done()

    async def _submit(self, *, request: Request) -> HttpResponse:
        result = await self.configuration_store.submit(raw=request.http.body)
        if result.is_error():
            return self.reject_with(error=result.error)
        configuration, found = result.ok.configuration, result.ok.found
        self.view.apply_own_write(key=CONFIGURATION_KEY, result=type(result).Ok(found))
        return self.done(value={"version": configuration.version, "warnings": list(configuration.warnings)})

    async def _fetch(self) -> HttpResponse:
        result = await self.configuration_store.fetch()
        if result.is_error():
            return self.reject_with(error=result.error)
        # returned byte for byte as submitted, not re-serialized
        return HttpResponse(status=200, body=result.ok)

    async def _replace_register_replica(self, *, request: Request) -> HttpResponse:
        leaves, enters = str(request.body.get("leaves")), str(request.body.get("enters"))
        candidates = await self.configuration_store.register.candidates()
        voter = candidates.get(enters)
        if voter is None:
            return self.reject(
                kind=ErrorCode.MALFORMED, reason=f"no register replica '{enters}' has greeted the seeds"
            )
        roster = self.configuration_store.register.roster
        max_voters = 0 if roster is None else max(len(roster.voters), self.founding_replicas)
        voter_replacement = VoterReplacement(ctx=self.ctx, register=self.configuration_store.register)
        result = await voter_replacement.replace_voter(leaves=leaves, enters=voter, max_voters=max_voters)
        if result.is_error():
            return self.reject_with(error=result.error)
        names = [each.name for each in result.ok.voters]
        return self.done(value={"epoch": result.ok.epoch, "vaults": names})

    async def _override(self, *, request: Request) -> HttpResponse:
        database, backend = str(request.body.get("database")), str(request.body.get("backend"))
        if request.body.get("iAcceptLoss") is not True:
            return self.reject(
                kind=ErrorCode.MALFORMED, reason="iAcceptLoss: must be true; commits may be lost by this"
            )
        result = await self.database_failover.override(database=database, backend=backend)
        if result.is_error():
            return self.reject_with(error=result.error)
        return self.done(value={"term": result.ok.term})
