"""The table of open sessions."""

from reactivex.subject import Subject

from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from .session import Session

SWEEP_EVERY_US = 500_000
MAX_SESSIONS = 20_000


class Sessions(CommandQueueMixin):
    """Owns the open sessions, and closes those that are idle for too long.

    An abandoned transaction is ended by closing its channel, upon which the backend rolls it back.
    """

    def __init__(self, *, ctx: Context, idle_transaction_us: int, idle_session_us: int) -> None:
        self.ctx = ctx
        self.idle_session_us = idle_session_us
        self.closed: Subject[Session] = Subject()
        self.idle_transaction_us = idle_transaction_us
        self.open: dict[str, Session] = {}
        self.open_queue()
        self.every(every_us=SWEEP_EVERY_US, command=self._sweep, name="sweep")

    def add(self, *, database: str) -> Session | None:
        """Opens a session; None where MAX_SESSIONS are open."""
        if len(self.open) >= MAX_SESSIONS:
            return None
        # the id also authorizes the client, so it must not be guessable
        ident = f"{self.ctx.name}.{self.ctx.rng.getrandbits(96):024x}"
        session = Session(ident=ident, database=database, used_us=self.ctx.now_us())
        session.tag = session.next_tag(rng=self.ctx.rng)
        self.open[ident] = session
        return session

    def find(self, *, ident: str) -> Session | None:
        """The open session with an id; None where there is none."""
        return self.open.get(ident)

    def close(self, *, session: Session) -> None:
        """Closes a session, abandons its transaction, and publishes it on `closed`."""
        self.open.pop(session.ident, None)
        self.abandon(session=session)
        self.closed.on_next(session)

    def abandon(self, *, session: Session) -> None:
        """Ends a session's transaction by closing its channel, and sets `lost`."""
        transaction = session.transaction
        if transaction is not None:
            session.transaction = None
            session.lost = True
            transaction.pool.release(connection=transaction.connection, keep=False)
            self.ctx.counters.add(name="transactions.abandoned")

    def _sweep(self) -> None:
        now_us = self.ctx.now_us()
        for session in list(self.open.values()):
            if session.busy:
                continue
            transaction = session.transaction
            if transaction is not None and now_us - transaction.used_us > self.idle_transaction_us:
                self.abandon(session=session)
            if now_us - session.used_us > self.idle_session_us:
                self.close(session=session)
        self.ctx.counters.gauge(name="sessions.open", value=len(self.open))
