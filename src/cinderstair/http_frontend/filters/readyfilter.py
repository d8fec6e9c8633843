"""A stall that can't know what is in force passes nothing on."""

from typing import Any

from ...membership.crowd import Crowd
from ...runtime.context import Context
from ...runtime.httpresponse import HttpResponse
from ...runtime.kind import Kind
from ..denymixin import DenyMixin
from ..job import Job
from ..view import View
from .timeleftfilter import TIMED


class ReadyFilter(DenyMixin):
    def __init__(self, *, ctx: Context, view: View, crowd: Crowd) -> None:
        self.ctx = ctx
        self.view = view
        self.crowd = crowd
        self.draining = False
        self.emptied_by = ""
        self.blind = False

    @property
    def leaving(self) -> bool:
        """Whether sessions are to go elsewhere, for a stop or for a window."""
        return self.draining or bool(self.emptied_by) or self.blind

    def unready(self) -> tuple[Kind, str] | None:
        """Why no job may pass now; None where jobs may."""
        if self.draining:
            return Kind.draining, "this stall is emptying"
        if self.emptied_by:
            return Kind.draining, f"this stall is emptied by {self.emptied_by}"
        if self.blind:
            return Kind.noBackend, "this stall reaches no backend"
        if not self.view.current:
            return Kind.notCurrent, "this stall's view of the register is not current"
        if self.view.charter is None:
            return Kind.noConfiguration, "no configuration has been accepted yet"
        if self.view.slots.id_of(name=self.ctx.name) is None:
            return Kind.notCurrent, "this stall holds no slot yet"
        return None

    def elsewhere(self) -> dict[str, Any]:
        """Where else the client may go."""
        others = [member.http for member in self.crowd.alive(role="stall")]
        self.ctx.luck.shuffle(others)
        return {"elsewhere": others[:3]}

    async def answer(self, *, job: Job) -> HttpResponse | None:
        if job.verb not in TIMED:
            return None
        reason = self.unready()
        # why: an open transaction may end here even while the stall empties; nothing new may begin
        if reason is not None and not (self.leaving and job.verb in ("statement", "commit", "rollback")):
            return self.deny(kind=reason[0], why=reason[1], details=self.elsewhere())
        return None
