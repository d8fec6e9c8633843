"""Answers proxies with all changes since their last question and the age of this controller's register view."""

from collections.abc import Callable
from dataclasses import dataclass

from ..consensus.register_view import RegisterView
from ..consensus.versioned_value import VersionedValue
from ..failover.recorded_replicas import REPLICAS_PREFIX
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
GONE_RETENTION_US = 30_000_000
QUESTION_RETENTION_US = 60_000_000
Shorten = Callable[[str, bytes], bytes]


@dataclass(frozen=True, kw_only=True)
class BackendRevision:
    """A backend's relayed state, and the revision at which it last changed."""

    revision: int
    backend: RelayedBackend


@dataclass(frozen=True, kw_only=True)
class ProxyQuestion:
    """When a proxy last asked, and its vote on proposal number `proposal` of the shard map."""

    at_us: int
    proposal: int
    vote: Vote


class Relay:
    """Owns the revisions of all relayed values, backends and controllers, and each proxy's last question.

    Revisions are valid for one process of one controller, identified by `source`. A proxy that names another source,
    or a revision later than the newest, gets the full state instead of changes.

    :param on_link_failure: called with the names of a backend and of the proxy that can't reach it.
    :param shorten: called with a key and its value; returns the value in the form that is relayed to proxies.
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
        if not _relayed(key=key):
            return
        self.revision += 1
        self.value_revisions[key] = self.revision

    def refresh(self) -> None:
        """Assigns revisions to changes of backends and controllers since the last call; drops expired entries."""
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
            if announcement.state == GONE and now_us - received.observed_at_us > GONE_RETENTION_US:
                continue
            backend = RelayedBackend(announcement=announcement, silent=self.heartbeat_table.silent(name=name))
            known = self.backends.get(name)
            if known is None or not same_for_proxies(known.backend, backend):
                self.revision += 1
                self.backends[name] = BackendRevision(revision=self.revision, backend=backend)

    def _forget_backends(self) -> None:
        for name, entry in list(self.backends.items()):
            gone = entry.backend.announcement.state == GONE
            if gone and self.heartbeat_table.age_us(name=name) > GONE_RETENTION_US:
                del self.backends[name]

    async def answer(self, unpacker: Unpacker) -> bytes:
        """Answers a proxy's question; raises ValueError for a malformed record."""
        question = read_relay_question(unpacker=unpacker)
        if question.brief:
            # a proxy that selects the nearest controller asks them all, and will use only one of them
            return RelayAnswer(
                source=self.source, revision=self.revision, age_us=self._age_us(), full=False, site=self.ctx.site
            ).bytes()
        self._record_question(question=question)
        return self._changes_for(question=question).bytes()

    def _record_question(self, *, question: RelayQuestion) -> None:
        self.proxies[question.proxy] = ProxyQuestion(
            at_us=self.ctx.now_us(), proposal=question.proposal, vote=question.vote
        )
        for name in question.suspected:
            self.on_link_failure(name, question.proxy)
        # sample times issued by an earlier process of this controller are not comparable with this process's clock
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
                self._relayed_value(key=key, found=found)
                for key, found in self.view.known.items()
                if _relayed(key=key) and (full or self.value_revisions.get(key, 0) > since)
            ),
            backends=tuple(entry.backend for entry in self.backends.values() if entry.revision > since),
            controllers=self.relayed_controllers if full or self.controllers_revision > since else (),
            answered_us=self.ctx.now_us(),
            samples=self.position_samples.newer_than(wanted=question.wanted, same_source=same_source),
            ask=self.position_samples.assign_asks(wanted=question.wanted),
        )

    def _age_us(self) -> int:
        return max(0, self.ctx.now_us() - self.view.as_of_us)

    def _relayed_value(self, *, key: str, found: VersionedValue) -> RelayedValue:
        return RelayedValue(key=key, ballot=found.ballot, value=self.shorten(key, found.value))

    def recent_proxies(self, *, within_us: int) -> list[ProxyContact]:
        """The proxies that asked within the last `within_us`; drops questions older than `QUESTION_RETENTION_US`."""
        now_us = self.ctx.now_us()
        self.proxies = {
            name: entry for name, entry in self.proxies.items() if now_us - entry.at_us < QUESTION_RETENTION_US
        }
        return [
            ProxyContact(name=name, age_us=now_us - entry.at_us, proposal=entry.proposal, vote=entry.vote)
            for name, entry in self.proxies.items()
            if now_us - entry.at_us <= within_us
        ]


def _relayed(*, key: str) -> bool:
    """Whether proxies use the register's key."""
    return not key.startswith(REPLICAS_PREFIX)


def same_for_proxies(one: RelayedBackend, other: RelayedBackend) -> bool:
    """Whether two entries are equal in every field that proxies use."""
    first, second = one.announcement, other.announcement
    return (
        one.silent == other.silent
        and first.state == second.state
        and first.is_primary == second.is_primary
        and first.address == second.address
        and first.service == second.service
    )
