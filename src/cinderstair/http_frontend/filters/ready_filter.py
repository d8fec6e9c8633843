"""An HTTP proxy that can't know what is in force passes nothing on."""

from typing import Any

from ...membership.membership import Membership
from ...runtime.context import Context
from ...runtime.errors import ErrorCode
from ...runtime.http_response import HttpResponse
from ..reject_mixin import RejectMixin
from ..request import Request
from ..view import View
from .deadline_filter import TIMED


class ReadyFilter(RejectMixin):
    def __init__(self, *, ctx: Context, view: View, membership: Membership) -> None:
        self.ctx = ctx
        self.view = view
        self.membership = membership
        self.draining = False
        self.emptied_by = ""
        self.blind = False

    @property
    def leaving(self) -> bool:
        """Whether sessions are to go elsewhere, for a stop or for a window."""
        return self.draining or bool(self.emptied_by) or self.blind

    def unready(self) -> tuple[ErrorCode, str] | None:
        """Why no job may pass now; None where jobs may."""
        if self.draining:
            return ErrorCode.DRAINING, "this HTTP proxy is emptying"
        if self.emptied_by:
            return ErrorCode.DRAINING, f"this HTTP proxy is emptied by {self.emptied_by}"
        if self.blind:
            return ErrorCode.NO_BACKEND, "this HTTP proxy reaches no backend"
        if not self.view.current:
            return ErrorCode.NOT_CURRENT, "this HTTP proxy's view of the register is not current"
        if self.view.configuration is None:
            return ErrorCode.NO_CONFIGURATION, "no configuration has been accepted yet"
        if self.view.proxy_ids.id_of(name=self.ctx.name) is None:
            return ErrorCode.NOT_CURRENT, "this HTTP proxy holds no slot yet"
        return None

    def elsewhere(self) -> dict[str, Any]:
        """Where else the client may go."""
        others = [member.http for member in self.membership.alive(role="stall")]
        self.ctx.rng.shuffle(others)
        return {"elsewhere": others[:3]}

    async def answer(self, *, request: Request) -> HttpResponse | None:
        if request.verb not in TIMED:
            return None
        reason = self.unready()
        # why: an open transaction may end here even while the HTTP proxy empties; nothing new may begin
        if reason is not None and not (self.leaving and request.verb in ("statement", "commit", "rollback")):
            return self.reject(kind=reason[0], why=reason[1], details=self.elsewhere())
        return None
