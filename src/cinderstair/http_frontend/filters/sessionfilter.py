"""Finds the session that a job is for; one job of a session at a time."""

from ...runtime.context import Context
from ...runtime.httpresponse import HttpResponse
from ...runtime.kind import Kind
from ..denymixin import DenyMixin
from ..handle import Handle, read_handle
from ..handover import Handover
from ..job import Job
from ..session import Session
from ..sessions import Sessions
from .readyfilter import ReadyFilter


class SessionFilter(DenyMixin):
    def __init__(self, *, ctx: Context, sessions: Sessions, ready: ReadyFilter, handover: Handover) -> None:
        self.ctx = ctx
        self.sessions = sessions
        self.ready = ready
        self.handover = handover

    async def answer(self, *, job: Job) -> HttpResponse | None:
        if not job.session_id:
            return None
        handle = read_handle(text=job.session_id)
        session = self.sessions.find(ident=handle.ident)
        # why: the client was promised a later state than the one here, so this stall was away for too long
        if session is not None and handle.tag.edition >= session.tag.edition and not session.known(tag=handle.tag):
            self.sessions.close(session=session)
            session = None
        if session is None:
            return await self._elsewhere(job=job, handle=handle)
        if handle.tag != session.tag:
            return self._older(job=job, handle=handle, session=session)
        if session.busy:
            return self.deny(kind=Kind.sessionBusy, why="another job of this session is under way")
        reason = self.ready.unready()
        if reason is not None and session.transaction is None and job.verb != "close":
            return self.deny(kind=reason[0], why=reason[1], details=self.ready.elsewhere())
        job.session = session
        session.busy = True
        session.used_us = self.ctx.now_us()
        return None

    async def _elsewhere(self, *, job: Job, handle: Handle) -> HttpResponse:
        """The session is not here: where it is, or what became of it."""
        sought = await self.handover.find(handle=handle)
        if sought.where:
            why = "the session is at another stall"
            return self.deny(kind=Kind.sessionElsewhere, why=why, details={"elsewhere": [sought.where]})
        if sought.session is not None:
            return self._renamed(job=job, session=sought.session, why="its stall was lost; it was taken over here")
        # why: final only when everyone who might have it has said no
        if sought.unsure:
            return self.deny(kind=Kind.sessionSought, why="not found yet; some stalls have not answered")
        # why: a session is never quietly opened anew; its values and transaction would be gone unnoticed
        return self.deny(kind=Kind.unknownSession, why="no such session here; it is gone, open a new one")

    def _older(self, *, job: Job, handle: Handle, session: Session) -> HttpResponse:
        """A handle that is not the newest one."""
        if handle.tag != session.was:
            return self.deny(kind=Kind.unknownSession, why="a handle from before; the session has gone on")
        # why: nobody may go on in the middle of what it does not know to be over
        if not session.busy:
            self.sessions.abandon(session=session)
            session.lost = False
        return self._renamed(job=job, session=session, why="the answer that told of its newest handle was lost")

    def _renamed(self, *, job: Job, session: Session, why: str) -> HttpResponse:
        """Nothing is run before the client knows the handle, so it can't mistake what is gone for what is here."""
        if job.verb == "close":
            self.sessions.close(session=session)
            return self.done()
        details = {"session": session.handle}
        # why: a commit may have been sent before, by the stall that was lost, and nobody here can know
        if job.verb == "commit":
            why = f"{why}; its commit may have been kept, or not"
            return self.deny(kind=Kind.outcomeUnknown, why=why, details=details)
        why = f"{why}; an open transaction is gone, and nothing of it was kept unless its commit was sent"
        return self.deny(kind=Kind.handleOld, why=why, details=details)
