"""Finds the session that a job is for; one job of a session at a time."""

from ...pitch.context import Context
from ...pitch.httpresponse import HttpResponse
from ...pitch.kind import Kind
from ..denymixin import DenyMixin
from ..handover import Handover
from ..job import Job
from ..sessions import Sessions
from .readyfilter import ReadyFilter


class SessionFilter(DenyMixin):
    def __init__(self, *, ctx: Context, sessions: Sessions, ready: ReadyFilter, handover: Handover) -> None:
        self.ctx = ctx
        self.sessions = sessions
        self.ready = ready
        self.handover = handover

    async def answer(self, *, job: Job) -> HttpResponse | None:
        if not job.sessionId:
            return None
        session = self.sessions.find(ident=job.sessionId)
        if session is None and (where := await self.handover.find(ident=job.sessionId)):
            why = "the session was handed to another stall"
            return self.deny(kind=Kind.sessionElsewhere, why=why, details={"elsewhere": [where]})
        # why: a session is never quietly opened anew; its values and transaction would be gone unnoticed
        if session is None:
            return self.deny(kind=Kind.unknownSession, why="no such session here; it is gone, open a new one")
        if session.busy:
            return self.deny(kind=Kind.sessionBusy, why="another job of this session is under way")
        reason = self.ready.unready()
        if reason is not None and session.transaction is None and job.verb != "close":
            return self.deny(kind=reason[0], why=reason[1], details=self.ready.elsewhere())
        job.session = session
        session.busy = True
        session.usedUs = self.ctx.nowUs()
        return None
