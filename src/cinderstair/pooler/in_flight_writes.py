"""The writes and commits that were sent to a backend, until it is known that they can no longer take effect."""

import asyncio
from typing import NamedTuple

from ..runtime.context import Context
from .link import Link
from .reply import Reply


class InFlightWrite(NamedTuple):
    """The link on which a write was sent, and when, by this proxy's clock."""

    link: Link
    sent_us: int


class InFlightWrites:
    """An answer means that a write has taken effect or never will; a lost link means neither.

    `unanswered`: by database, the writes on whose answers somebody waits. `lost_us`: when a database's last link with
    an unanswered write was lost.
    """

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.unanswered: dict[str, dict[asyncio.Future[Reply], InFlightWrite]] = {}
        self.lost_us: dict[str, int] = {}

    def sent(self, *, database: str, link: Link, answer: asyncio.Future[Reply]) -> None:
        """Notes that a single write or a commit was sent."""
        self.unanswered.setdefault(database, {})[answer] = InFlightWrite(link, self.ctx.now_us())
        answer.add_done_callback(lambda done: self._ended(database=database, answer=done))

    def _ended(self, *, database: str, answer: asyncio.Future[Reply]) -> None:
        self.unanswered[database].pop(answer)
        if answer.cancelled() or answer.exception() is not None:
            # The backend may have received the write and not run it yet.
            self.lost_us[database] = self.ctx.now_us()

    def may_take_effect(self, *, database: str, within_us: int) -> bool:
        """Whether any write may still take effect.

        :param within_us: for how long after a link was lost the bytes sent on it may take effect.
        """
        if self.unanswered.get(database):
            return True
        lost_us = self.lost_us.get(database)
        return lost_us is not None and self.ctx.now_us() < lost_us + within_us

    def abandon(self, *, databases: frozenset[str] | None, older_than_us: int) -> None:
        """Closes the links whose writes were sent at least so long ago.

        :param databases: the databases concerned; None for all.
        """
        before_us = self.ctx.now_us() - older_than_us
        links = [
            write.link
            for database, writes in self.unanswered.items()
            if databases is None or database in databases
            for write in writes.values()
            if write.sent_us <= before_us and write.link.open
        ]
        for link in links:
            self.ctx.counters.add(name="writes.given_up")
            link.close()
