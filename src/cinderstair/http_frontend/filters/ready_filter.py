"""Whether this HTTP proxy may take jobs: it must know the configuration in force and reach a backend."""

from dataclasses import dataclass
from typing import Any

from ...membership.membership import Membership
from ...runtime.context import Context
from ...runtime.errors import ErrorCode
from ...runtime.http_response import HttpResponse
from ..reject_mixin import RejectMixin
from ..request import Request
from ..view import View
from .deadline_filter import TIMED_VERBS

# addresses that a client is given at most
MAX_ALTERNATIVES = 3


@dataclass(frozen=True, slots=True)
class NotReady:
    """Why an HTTP proxy can't take jobs."""

    code: ErrorCode
    reason: str


class ReadyFilter(RejectMixin):
    """Rejects timed jobs while this HTTP proxy isn't ready.

    `draining` is set by a planned stop, `emptied_by` by a maintenance window (its name), `blind` while no backend
    answers.
    """

    def __init__(self, *, ctx: Context, view: View, membership: Membership) -> None:
        self.ctx = ctx
        self.view = view
        self.membership = membership
        self.draining = False
        self.drained_by = ""
        self.isolated = False

    @property
    def leaving(self) -> bool:
        """Whether sessions are to go elsewhere, for a stop or for a window."""
        return self.draining or bool(self.drained_by) or self.isolated

    def unready(self) -> NotReady | None:
        """Why no job may pass now; None where jobs may."""
        if self.draining:
            return NotReady(ErrorCode.DRAINING, "this HTTP proxy is emptying")
        if self.drained_by:
            return NotReady(ErrorCode.DRAINING, f"this HTTP proxy is emptied by {self.drained_by}")
        if self.isolated:
            return NotReady(ErrorCode.NO_BACKEND, "this HTTP proxy reaches no backend")
        if not self.view.current:
            return NotReady(ErrorCode.NOT_CURRENT, "this HTTP proxy's view of the register is not current")
        if self.view.configuration is None:
            return NotReady(ErrorCode.NO_CONFIGURATION, "no configuration has been accepted yet")
        if self.view.proxy_ids.id_of(name=self.ctx.name) is None:
            return NotReady(ErrorCode.NOT_CURRENT, "this HTTP proxy holds no slot yet")
        return None

    def elsewhere(self) -> dict[str, Any]:
        """A response's details: the addresses of other HTTP proxies, for the client to go to."""
        others = [member.http for member in self.membership.alive(role="stall")]
        self.ctx.rng.shuffle(others)
        return {"elsewhere": others[:MAX_ALTERNATIVES]}

    async def answer(self, *, request: Request) -> HttpResponse | None:
        """Rejects a timed job; jobs that end a transaction pass while sessions are handed over."""
        if request.verb not in TIMED_VERBS:
            return None
        not_ready = self.unready()
        # an open transaction may end here even while the HTTP proxy empties; nothing new may begin
        if not_ready is not None and not (self.leaving and request.verb in ("statement", "commit", "rollback")):
            return self.reject(kind=not_ready.code, reason=not_ready.reason, details=self.elsewhere())
        return None
