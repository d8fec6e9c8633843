"""The writes and commits that have left for a backend, until it is known that they land no more."""

import asyncio

from ..runtime.context import Context
from .link import Link
from .reply import Reply


class InFlightWrites:
    """An answer says that a write has landed, or never will; a link that is lost says neither."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.owed: dict[str, dict[asyncio.Future[Reply], tuple[Link, int]]] = {}
        self.lost_us: dict[str, int] = {}

    def sent(self, *, database: str, link: Link, answer: asyncio.Future[Reply]) -> None:
        """A write of its own, or a commit, has left."""
        self.owed.setdefault(database, {})[answer] = (link, self.ctx.now_us())
        answer.add_done_callback(lambda done: self._ended(database=database, answer=done))

    def _ended(self, *, database: str, answer: asyncio.Future[Reply]) -> None:
        self.owed[database].pop(answer)
        if answer.cancelled() or answer.exception() is not None:
            # why: it may lie at the backend, received and not yet run, for all that this end can say
            self.lost_us[database] = self.ctx.now_us()

    def may_land(self, *, database: str, within_us: int) -> bool:
        """Whether anything may still take effect, where a lost link's bytes may for so many microseconds."""
        if self.owed.get(database):
            return True
        lost_us = self.lost_us.get(database)
        return lost_us is not None and self.ctx.now_us() < lost_us + within_us

    def give_up(self, *, databases: frozenset[str] | None, owed_us: int) -> None:
        """Closes the links that have owed an answer for so long; None: whatever the database."""
        before_us = self.ctx.now_us() - owed_us
        links = [
            link
            for database, owed in self.owed.items()
            if databases is None or database in databases
            for link, sent_us in owed.values()
            if sent_us <= before_us and link.open
        ]
        for link in links:
            self.ctx.counters.add(name="writes.given_up")
            link.close()
