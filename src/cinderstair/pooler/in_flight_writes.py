"""Writes and commits that were sent to backends and may still take effect."""

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
    """Tracks sent writes by database until their outcome is final.

    An answered write has taken effect or never will. A write whose link was lost may still take effect for a while.

    `unanswered`: by database, the writes without an answer. `lost_us`: by database, when a link with an unanswered
    write was last lost, or such a write was last cancelled.
    """

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.unanswered: dict[str, dict[asyncio.Future[Reply], InFlightWrite]] = {}
        self.lost_us: dict[str, int] = {}

    def sent(self, *, database: str, link: Link, answer: asyncio.Future[Reply]) -> None:
        """Registers a single write or a commit that was sent on `link`.

        :param answer: fails with an exception where the link is lost.
        """
        self.unanswered.setdefault(database, {})[answer] = InFlightWrite(link, self.ctx.now_us())
        answer.add_done_callback(lambda done: self._ended(database=database, answer=done))

    def _ended(self, *, database: str, answer: asyncio.Future[Reply]) -> None:
        self.unanswered[database].pop(answer)
        if answer.cancelled() or answer.exception() is not None:
            # The backend may have received the write and not run it yet.
            self.lost_us[database] = self.ctx.now_us()

    def may_take_effect(self, *, database: str, within_us: int) -> bool:
        """Whether any write to the database may still take effect.

        :param within_us: how long after the loss of its link a write may still take effect.
        """
        if self.unanswered.get(database):
            return True
        lost_us = self.lost_us.get(database)
        return lost_us is not None and self.ctx.now_us() < lost_us + within_us

    def abandon(self, *, databases: frozenset[str] | None, older_than_us: int) -> None:
        """Closes the links on which writes have been unanswered for at least `older_than_us`.

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
