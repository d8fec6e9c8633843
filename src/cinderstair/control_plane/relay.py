"""Answers proxies: all that changed since they last asked, and how old this controller's knowledge is."""

from collections.abc import Callable
from dataclasses import dataclass

from ..consensus.register_view import RegisterView
from ..consensus.versioned_value import VersionedValue
from ..failover.shard_state import Vote
from ..membership.announcement import GONE, Announcement
from ..membership.heartbeat_table import HeartbeatTable
from ..membership.relay_record import (
    RelayAnswer,
    RelayedBackend,
    RelayedValue,
    RelayQuestion,
    read_relay_question,
)
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.message_types import MessageType
from ..runtime.unpacker import Unpacker
from .position_samples import PositionSamples
from .proxy_contact import ProxyContact

TIMER_PERIOD_US = 100_000
FORGET_US = 30_000_000
KEEP_US = 60_000_000
Shorten = Callable[[str, bytes], bytes]


@dataclass(frozen=True, kw_only=True)
class BackendRevision:
    """What proxies are told of a backend, and the revision with which it last changed."""

    revision: int
    backend: RelayedBackend


@dataclass(frozen=True, kw_only=True)
class ProxyQuestion:
    """When a proxy last asked, and its vote on the shard map of proposal number `proposal`."""

    at_us: int
    proposal: int
    vote: Vote


class Relay:
    """Numbers every change by a revision of its own; an asker that knows another relay gets everything.

    :param on_link_failure: called with a backend and the proxy that can't reach it.
    :param shorten: turns a key's value into the form in which proxies get it.
    """

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
        self.revision = 1
        self.position_samples = PositionSamples(ctx=ctx)
        self.value_revisions: dict[str, int] = {}
        self.backends: dict[str, BackendRevision] = {}
        self.proxies: dict[str, ProxyQuestion] = {}
        self.relayed_controllers: tuple[str, ...] = ()
        self.controllers_revision = 0
        dispatcher.add_handler(message_type=MessageType.RELAY, handler=self.answer)
        view.changes.subscribe(self._on_value_change)
        ctx.timer(every_us=TIMER_PERIOD_US).subscribe(lambda _: self.refresh())

    def _on_value_change(self, key: str) -> None:
        self.revision += 1
        self.value_revisions[key] = self.revision

    def refresh(self) -> None:
        """Takes over what has changed of the backends and the controllers since the last turn."""
        self.position_samples.expire()
        self._refresh_backends()
        self._forget_backends()
        controllers = self.controllers()
        if controllers != self.relayed_controllers:
            self.revision += 1
            self.relayed_controllers, self.controllers_revision = controllers, self.revision

    def _refresh_backends(self) -> None:
        now_us = self.ctx.now_us()
        for name, received in self.heartbeat_table.newest.items():
            announcement = received.heartbeat
            if announcement.state == GONE and now_us - received.observed_at_us > FORGET_US:
                continue
            backend = RelayedBackend(announcement=announcement, silent=self.heartbeat_table.silent(name=name))
            known = self.backends.get(name)
            if known is None or not same_for_proxies(known.backend, backend):
                self.revision += 1
                self.backends[name] = BackendRevision(revision=self.revision, backend=backend)

    def _forget_backends(self) -> None:
        for name, entry in list(self.backends.items()):
            gone = entry.backend.announcement.state == GONE
            if gone and self.heartbeat_table.age_us(name=name) > FORGET_US:
                del self.backends[name]

    async def answer(self, unpacker: Unpacker) -> bytes:
        """Answers one question of a proxy; ValueError where the record is none."""
        question = read_relay_question(unpacker=unpacker)
        if question.brief:
            # a proxy that looks for the nearest controller asks them all, and becomes a user of only one
            return RelayAnswer(
                source=self.source, revision=self.revision, age_us=self._age_us(), full=False, site=self.ctx.site
            ).bytes()
        self._take_question(question=question)
        return self._changes_for(question=question).bytes()

    def _take_question(self, *, question: RelayQuestion) -> None:
        self.proxies[question.proxy] = ProxyQuestion(
            at_us=self.ctx.now_us(), proposal=question.proposal, vote=question.vote
        )
        for name in question.suspected:
            self.on_link_failure(name, question.proxy)
        # moments given out by an earlier process of this controller mean nothing by this one's clock
        if question.source == self.source:
            self.position_samples.add(samples=question.samples)

    def _changes_for(self, *, question: RelayQuestion) -> RelayAnswer:
        same_source = question.source == self.source
        full = not same_source or question.revision > self.revision
        since = 0 if full else question.revision
        self.ctx.counters.add(name="relay.whole" if full else "relay.changes")
        return RelayAnswer(
            source=self.source,
            revision=self.revision,
            age_us=self._age_us(),
            full=full,
            values=tuple(
                self._value(key=key, found=found)
                for key, found in self.view.known.items()
                if full or self.value_revisions.get(key, 0) > since
            ),
            backends=tuple(entry.backend for entry in self.backends.values() if entry.revision > since),
            controllers=self.relayed_controllers if full or self.controllers_revision > since else (),
            answered_us=self.ctx.now_us(),
            samples=self.position_samples.newer_than(wanted=question.wanted, same_source=same_source),
            ask=self.position_samples.assign_asks(wanted=question.wanted),
        )

    def _age_us(self) -> int:
        return max(0, self.ctx.now_us() - self.view.as_of_us)

    def _value(self, *, key: str, found: VersionedValue) -> RelayedValue:
        return RelayedValue(key=key, ballot=found.ballot, value=self.shorten(key, found.value))

    def recent_proxies(self, *, within_us: int) -> list[ProxyContact]:
        """The proxies that asked within the given span."""
        now_us = self.ctx.now_us()
        self.proxies = {name: entry for name, entry in self.proxies.items() if now_us - entry.at_us < KEEP_US}
        return [
            ProxyContact(name=name, age_us=now_us - entry.at_us, proposal=entry.proposal, vote=entry.vote)
            for name, entry in self.proxies.items()
            if now_us - entry.at_us <= within_us
        ]


def same_for_proxies(one: RelayedBackend, other: RelayedBackend) -> bool:
    """Whether two entries agree in everything that proxies act on."""
    first, second = one.announcement, other.announcement
    return (
        one.silent == other.silent
        and first.state == second.state
        and first.is_primary == second.is_primary
        and first.address == second.address
        and first.service == second.service
    )
