"""Answers proxies: all that changed since they last asked, and how old this controller's knowledge is."""

from collections.abc import Callable

from ..consensus.register_view import RegisterView
from ..consensus.versioned_value import VersionedValue
from ..failover.shard_state import Vote
from ..membership.announcement import GONE, Announcement
from ..membership.heartbeat_table import HeartbeatTable
from ..membership.relay_record import (
    RelayAnswer,
    RelayedBackend,
    RelayedValue,
    read_relay_question,
)
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.message_types import MessageType
from ..runtime.unpacker import Unpacker
from .sample_board import SampleBoard

TIMER_PERIOD_US = 100_000
FORGET_US = 30_000_000
KEEP_US = 60_000_000
Shorten = Callable[[str, bytes], bytes]


class Relay:
    """Numbers every change by an edition of its own. An asker that knows another relay gets everything."""

    def __init__(
        self,
        *,
        ctx: Context,
        dispatcher: Dispatcher,
        view: RegisterView,
        heartbeat_table: HeartbeatTable[Announcement],
        controllers: Callable[[], tuple[str, ...]],
        on_link_failure: Callable[[str, str], None],
        shorten: Shorten,
    ) -> None:
        self.ctx = ctx
        self.view = view
        self.heartbeat_table = heartbeat_table
        self.controllers = controllers
        self.on_link_failure = on_link_failure
        self.shorten = shorten
        self.source = ctx.rng.getrandbits(62) | 1
        self.edition = 1
        self.board = SampleBoard(ctx=ctx)
        self.value_editions: dict[str, int] = {}
        self.backends: dict[str, tuple[int, RelayedBackend]] = {}
        self.proxies: dict[str, tuple[int, int, Vote]] = {}
        self.reported: tuple[str, ...] = ()
        self.reported_edition = 0
        dispatcher.add_handler(message_type=MessageType.RELAY, handler=self.answer)
        view.changes.subscribe(self._value_changed)
        ctx.timer(every_us=TIMER_PERIOD_US).subscribe(lambda _: self.look())

    def _value_changed(self, key: str) -> None:
        self.edition += 1
        self.value_editions[key] = self.edition

    def look(self) -> None:
        """Takes from the news what proxies have to know; a heartbeat that says nothing new is none of it."""
        now_us = self.ctx.now_us()
        self.board.look()
        for name, heard in list(self.heartbeat_table.best.items()):
            heartbeat = heard.heartbeat
            if heartbeat.state == GONE and now_us - heard.born_us > FORGET_US:
                continue
            quiet = self.heartbeat_table.quiet(name=name)
            known = self.backends.get(name)
            if known is not None and known[1].quiet == quiet and same(known[1].announcement, heartbeat):
                continue
            self.edition += 1
            self.backends[name] = (self.edition, RelayedBackend(announcement=heartbeat, quiet=quiet))
        for name, (_, entry) in list(self.backends.items()):
            if entry.announcement.state == GONE and self.heartbeat_table.age_us(name=name) > FORGET_US:
                del self.backends[name]
        if self.controllers() != self.reported:
            self.edition += 1
            self.reported, self.reported_edition = self.controllers(), self.edition

    async def answer(self, unpacker: Unpacker) -> bytes:
        question = read_relay_question(unpacker=unpacker)
        if question.brief:
            # why: whoever looks for the nearest controller asks them all, and is none of the proxies of most
            return RelayAnswer(
                source=self.source, edition=self.edition, age_us=self._age_us(), whole=False, site=self.ctx.site
            ).bytes()
        self.proxies[question.proxy] = (self.ctx.now_us(), question.turn, question.vote)
        for name in question.troubled:
            self.on_link_failure(name, question.proxy)
        same_life = question.source == self.source
        if same_life:
            # why: moments that another life of this controller has given out say nothing by this one's clock
            self.board.tell(samples=question.samples)
        whole = not same_life or question.edition > self.edition
        since = 0 if whole else question.edition
        values = tuple(
            self._value(key=key, found=found)
            for key, found in self.view.known.items()
            if whole or self.value_editions.get(key, 0) > since
        )
        backends = tuple(entry for edition, entry in self.backends.values() if edition > since)
        self.ctx.counters.add(name="relay.whole" if whole else "relay.changes")
        return RelayAnswer(
            source=self.source,
            edition=self.edition,
            age_us=self._age_us(),
            whole=whole,
            values=values,
            backends=backends,
            controllers=self.reported if whole or self.reported_edition > since else (),
            answered_us=self.ctx.now_us(),
            samples=self.board.given(wanted=question.wanted, known=same_life),
            ask=self.board.missing(wanted=question.wanted),
        ).bytes()

    def _age_us(self) -> int:
        return max(0, self.ctx.now_us() - self.view.as_of_us)

    def _value(self, *, key: str, found: VersionedValue) -> RelayedValue:
        return RelayedValue(key=key, ballot=found.ballot, value=self.shorten(key, found.value))

    def seen(self, *, within_us: int) -> list[tuple[str, int, int, Vote]]:
        """The proxies that asked lately: how long ago, and how they vote on which proposal of a shard map."""
        now_us = self.ctx.now_us()
        self.proxies = {name: entry for name, entry in self.proxies.items() if now_us - entry[0] < KEEP_US}
        return [
            (name, now_us - at_us, turn, vote)
            for name, (at_us, turn, vote) in self.proxies.items()
            if now_us - at_us <= within_us
        ]


def same(one: Announcement, other: Announcement) -> bool:
    """Whether two announcements say the same of everything that proxies act on."""
    return (one.state, one.leads, one.address, one.service) == (
        other.state,
        other.leads,
        other.address,
        other.service,
    )
