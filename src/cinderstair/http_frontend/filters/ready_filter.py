"""Decides whether this HTTP proxy may serve: it needs a current view, a configuration, a proxy id and a backend."""

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

# addresses of other proxies in a response
MAX_ALTERNATIVES = 3


@dataclass(frozen=True, slots=True)
class NotReady:
    """Why an HTTP proxy can't serve requests."""

    code: ErrorCode
    reason: str


class ReadyFilter(RejectMixin):
    """Rejects requests with a deadline while this HTTP proxy isn't ready.

    `draining` is set by a planned stop, `drained_by` by a maintenance window (its name), and `isolated` while no
    backend answers.
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
        """Whether sessions are to be handed over: for a stop, for a window, or without any backend."""
        return self.draining or bool(self.drained_by) or self.isolated

    def unready(self) -> NotReady | None:
        """Why requests can't be served now; None while ready."""
        if self.draining:
            return NotReady(ErrorCode.DRAINING, "this HTTP proxy is emptying")
        if self.drained_by:
            return NotReady(ErrorCode.DRAINING, f"this HTTP proxy is drained by {self.drained_by}")
        if self.isolated:
            return NotReady(ErrorCode.NO_BACKEND, "this HTTP proxy gets no answer from any backend")
        if not self.view.current:
            return NotReady(ErrorCode.NOT_CURRENT, "this HTTP proxy's view of the register is not current")
        if self.view.configuration is None:
            return NotReady(ErrorCode.NO_CONFIGURATION, "no configuration has been accepted yet")
        if self.view.proxy_ids.id_of(name=self.ctx.name) is None:
            return NotReady(ErrorCode.NOT_CURRENT, "this HTTP proxy has no proxy id yet")
        return None

    def elsewhere(self) -> dict[str, Any]:
        """Response details with addresses of other HTTP proxies, at random, for the client to use instead."""
        others = [member.http for member in self.membership.alive(role="stall")]
        self.ctx.rng.shuffle(others)
        return {"elsewhere": others[:MAX_ALTERNATIVES]}

    async def answer(self, *, request: Request) -> HttpResponse | None:
        """Rejects a request with a deadline while not ready; open transactions may still end while draining."""
        if request.verb not in TIMED_VERBS:
            return None
        not_ready = self.unready()
        # while draining, an open transaction may be completed, but nothing new may begin
        if not_ready is not None and not (self.leaving and request.verb in ("statement", "commit", "rollback")):
            return self.reject(kind=not_ready.code, reason=not_ready.reason, details=self.elsewhere())
        return None
