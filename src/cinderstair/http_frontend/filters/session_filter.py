"""Finds the session of a request, and ensures that a session runs one request at a time."""

from ...runtime.context import Context
from ...runtime.errors import ErrorCode
from ...runtime.http_response import HttpResponse
from ..handover import Handover
from ..reject_mixin import RejectMixin
from ..request import Request
from ..session import Session
from ..session_token import SessionToken, parse_session_token
from ..sessions import Sessions
from .ready_filter import ReadyFilter


class SessionFilter(RejectMixin):
    """Binds a request to its session, or rejects it with what is known about the session."""

    def __init__(self, *, ctx: Context, sessions: Sessions, ready: ReadyFilter, handover: Handover) -> None:
        self.ctx = ctx
        self.sessions = sessions
        self.ready = ready
        self.handover = handover

    async def answer(self, *, request: Request) -> HttpResponse | None:
        """Sets `request.session` and marks it busy; `HttpProxy.answer` clears the mark."""
        if not request.session_id:
            return None
        handle = parse_session_token(text=request.session_id)
        session = self.sessions.find(ident=handle.ident)
        # the client knows a later state: another proxy took the session over while this one was paused or cut off
        if (
            session is not None
            and handle.tag.revision >= session.tag.revision
            and not session.accepts(tag=handle.tag)
        ):
            self.sessions.close(session=session)
            session = None
        if session is None:
            return await self._find_elsewhere(request=request, handle=handle)
        if handle.tag != session.tag:
            return self._on_old_token(request=request, handle=handle, session=session)
        if session.busy:
            return self.reject(kind=ErrorCode.SESSION_BUSY, reason="another request of this session is in flight")
        not_ready = self.ready.unready()
        if not_ready is not None and session.transaction is None and request.verb != "close":
            return self.reject(kind=not_ready.code, reason=not_ready.reason, details=self.ready.elsewhere())
        request.session = session
        session.busy = True
        session.used_us = self.ctx.now_us()
        return None

    async def _find_elsewhere(self, *, request: Request, handle: SessionToken) -> HttpResponse:
        """Answers for a session that is not open here: where it is, that it was taken over, or that it is unknown."""
        search = await self.handover.find(handle=handle)
        if search.address:
            reason = "the session is at another HTTP proxy"
            return self.reject(
                kind=ErrorCode.SESSION_ELSEWHERE, reason=reason, details={"elsewhere": [search.address]}
            )
        if search.session is not None:
            return self._reject_old_token(
                request=request, session=search.session, reason="its HTTP proxy was lost; it was taken over here"
            )
        # the session is unknown only once all proxies that may have it have answered
        if search.incomplete:
            return self.reject(
                kind=ErrorCode.SESSION_NOT_LOCATED, reason="not found yet; some HTTP proxies have not answered"
            )
        # a new session is never opened silently, or the loss of values and transaction would go unnoticed
        return self.reject(kind=ErrorCode.UNKNOWN_SESSION, reason="no such session here; it is gone, open a new one")

    def _on_old_token(self, *, request: Request, handle: SessionToken, session: Session) -> HttpResponse:
        """Answers for a handle whose tag is not the newest one."""
        if handle.tag != session.previous_tag:
            return self.reject(
                kind=ErrorCode.UNKNOWN_SESSION, reason="the handle is out of date; the session has changed since"
            )
        # the client missed a change, so it must not continue in a transaction begun before
        if not session.busy:
            self.sessions.abandon(session=session)
            session.lost = False
        return self._reject_old_token(
            request=request, session=session, reason="the answer that told of its newest handle was lost"
        )

    def _reject_old_token(self, *, request: Request, session: Session, reason: str) -> HttpResponse:
        """Rejects a request with an old handle and returns the new one; nothing runs until the client uses that."""
        if request.verb == "close":
            self.sessions.close(session=session)
            return self.done()
        details = {"session": session.handle}
        # the lost HTTP proxy may have sent the commit, which can't be determined here
        if request.verb == "commit":
            reason = f"{reason}; its commit may have been kept, or not"
            return self.reject(kind=ErrorCode.OUTCOME_UNKNOWN, reason=reason, details=details)
        reason = f"{reason}; an open transaction is gone, and nothing of it was kept unless its commit was sent"
        return self.reject(kind=ErrorCode.HANDLE_SUPERSEDED, reason=reason, details=details)
