"""Bugs patched into the code under test or a stand-in, to show that each checker detects its breach."""

import json
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from types import MappingProxyType
from typing import Any
from unittest.mock import patch

from expression import Ok

from ...config.service_plan import PLAN_KEY, ServicePlan, read_service_plan
from ...control_plane import plan_store
from ...control_plane.announcer import Announcer
from ...control_plane.plan_store import PlanStore
from ...control_plane.position_samples import PositionSamples
from ...failover.successor_check import SuccessorCheck
from ...pooler.commit_acknowledgement import CommitAcknowledgement
from ...pooler.link_pool import LinkPool
from ...pooler.relayed_view import RelayedView
from ...pooler.router import Router
from ...pooler.sample_pool import SamplePool
from ...pooler.session import Session
from ...runtime.errors import ErrorCode
from ..sim_disk import SimDisk
from . import forward_bugs, replica_record_bugs, shard_bugs
from .repository import add_adapter_to_path

Patches = list[Any]


def unsolicited_answer() -> Patches:
    """Each answer to a client is followed by one that it did not request."""
    from adapter import client_connection

    encode = client_connection.encode
    return [patch.object(client_connection, "encode", lambda reply: encode(reply) + b"READY I -\r\n")]


def altered_text() -> Patches:
    """Proxies alter the text of statements."""
    from adapter import backend_link

    text_for = backend_link.text_for

    def altered(*, statement: Any, alias: bytes) -> bytes:
        return text_for(statement=statement, alias=alias) + b"1"

    return [patch.object(backend_link, "text_for", altered)]


def rollback_commits() -> Patches:
    """Transactions that should be rolled back are committed."""
    from adapter.backend_link import BackendLink

    return [patch.object(BackendLink, "rollback", lambda self: self._ask(b"ASK - COMMIT"))]


def wrong_service() -> Patches:
    """A fifth of a database's sessions are routed to a random service."""
    route = Session.route

    def wrong(self: Any) -> Any:
        found = route(self)
        plan = self.router.view.plan
        if found is None or self.router.ctx.rng.random() > 0.2:
            return found
        return replace(found, service=self.router.ctx.rng.choice(sorted(plan.services)))

    return [patch.object(Session, "route", wrong)]


def rows_duplicated() -> Patches:
    """An answer's rows are sent twice."""
    from adapter import client_connection

    encode = client_connection.encode

    def doubled(reply: Any) -> bytes:
        reply.rows = reply.rows * 2
        return encode(reply)

    return [patch.object(client_connection, "encode", doubled)]


def session_values_not_replayed() -> Patches:
    """A link serves a session without the session's values being set on it."""
    return [patch.object(Session, "_replay_values", lambda self, *, link: None)]


def links_shared() -> Patches:
    """A link that one session uses is given to others as well."""

    def pick(self: Any, *, values: Any) -> Any:
        links = [link for link, _ in self.borrowed.values() if link.open] or [link for link in self.idle if link.open]
        return links[0] if links else None

    return [patch.object(LinkPool, "_pick", pick)]


def unknown_write_retried() -> Patches:
    """A write with an unknown outcome is sent once more."""
    write = Session._write

    async def twice(self: Any, **named: Any) -> Any:
        reply = await write(self, **named)
        return await write(self, **named) if reply.fault == ErrorCode.OUTCOME_UNKNOWN else reply

    return [patch.object(Session, "_write", twice)]


def unknown_outcome_reported_aborted() -> Patches:
    """A write with an unknown outcome is reported to the client as ABORTED."""
    from adapter import error_words

    patched_words = MappingProxyType({**error_words.WORD_BY_CODE, ErrorCode.OUTCOME_UNKNOWN: b"ABORTED"})
    return [patch.object(error_words, "WORD_BY_CODE", patched_words)]


def view_never_expires() -> Patches:
    """A proxy's view of primaries never expires."""
    return [patch.object(RelayedView, "current", property(lambda self: True))]


def reads_unguarded() -> Patches:
    """Replicas are read without the position that their log must have reached."""
    from adapter.backend_link import BackendLink

    send, begin = BackendLink.send, BackendLink.begin

    def unguarded(self: Any, *, statement: Any, at_least: Any = None, alias: bytes = b"") -> Any:
        return send(self, statement=statement, alias=alias)

    def begin_unguarded(self: Any, *, read_only: bool, at_least: Any) -> Any:
        return begin(self, read_only=read_only, at_least=None)

    return [patch.object(BackendLink, "send", unguarded), patch.object(BackendLink, "begin", begin_unguarded)]


def old_samples_taken_as_new() -> Patches:
    """Position samples of other proxies are repeated, and count as taken when the controller's answer arrived."""
    newer_than = PositionSamples.newer_than

    def repeated(self: Any, *, wanted: Any, same_source: bool) -> Any:
        return newer_than(self, wanted=wanted, same_source=False)

    return [
        patch.object(PositionSamples, "newer_than", repeated),
        patch.object(SamplePool, "_at_us", lambda self, *, requested_us, age_us: self.ctx.now_us()),
    ]


def own_commits_ignored() -> Patches:
    """Reads don't require the session's own commits."""
    required_position = Router.required_position

    def without(self: Any, *, route: Any, arrived_us: int, own_position: Any) -> Any:
        return required_position(self, route=route, arrived_us=arrived_us, own_position=None)

    return [patch.object(Router, "required_position", without)]


def least_current_replica_promoted() -> Patches:
    """The replica with the shortest log is promoted."""
    write_fence = SuccessorCheck._write_fence

    async def least(self: Any, *, service: Any, assignment: Any, successor: Any) -> Any:
        members = self.failover.members.of_service(service=service.name)
        states = await self.failover.poller.states(members=members)
        worst = min(states, key=lambda name: states[name].received)
        worse = replace(successor, name=worst, fence=states[worst].received)
        return await write_fence(self, service=service, assignment=assignment, successor=worse)

    return [patch.object(SuccessorCheck, "_write_fence", least)]


def successor_unchecked() -> Patches:
    """A successor is promoted as soon as it is assigned, while proxies still act on the old assignment."""

    async def complete(self: Any, *, service: Any, assignment: Any) -> Any:
        longest = self.fencing.held[service.name].longest
        return await self._write_fence(service=service, assignment=assignment, successor=longest)

    return [patch.object(SuccessorCheck, "complete", complete)]


def late_commits_acknowledged() -> Patches:
    """A commit is acknowledged whenever its backend confirms it, also after the backend was replaced."""

    async def allowed(self: Any, **named: Any) -> bool:
        return True

    return [patch.object(CommitAcknowledgement, "allowed", allowed)]


def drain_drops_connections() -> Patches:
    """A planned stop closes every connection, including those with requests in flight."""
    from adapter.client_connection import ClientConnection

    return [patch.object(ClientConnection, "idle", property(lambda self: True))]


def drain_ignored() -> Patches:
    """Proxies send a draining backend as much work as before."""
    return [patch.object(Router, "_follow_backend_state", lambda self, *, name, is_primary: None)]


def plan_never_updated() -> Patches:
    """A proxy keeps the first configuration that it received."""
    apply = RelayedView._apply

    def once(self: Any, *, key: str, value: bytes) -> None:
        if key != "plan" or self.plan is None:
            apply(self, key=key, value=value)

    return [patch.object(RelayedView, "_apply", once)]


def plan_alternates() -> Patches:
    """A proxy switches between its last two configurations at random."""
    from cinderstair.pooler.proxy import Proxy

    on_timer = Proxy._on_timer

    def back(self: Any) -> None:
        on_timer(self)
        older = self.__dict__.setdefault("older", [])
        if self.view.plan is not None and self.view.plan not in older:
            older.append(self.view.plan)
        if len(older) > 1:
            self.view.plan = self.ctx.rng.choice(older[-2:])

    return [patch.object(Proxy, "_on_timer", back)]


def invalid_plan_acknowledged() -> Patches:
    """An invalid configuration is acknowledged."""
    from adapter.control_api import DONE, ControlApi

    put = ControlApi._put_settings

    async def took(self: Any, *, body: bytes) -> Any:
        answer = await put(self, body=body)
        return DONE if answer.status == 400 else answer

    return [patch.object(ControlApi, "_put_settings", took)]


def older_plan_accepted() -> Patches:
    """An older configuration replaces a newer one."""
    read = plan_store.read_service_plan

    def as_of_nothing(*, data: bytes) -> Any:
        return replace(read(data=data), version=0, accepted=())

    return [patch.object(plan_store, "read_service_plan", as_of_nothing)]


def conflicting_plan_confirmed() -> Patches:
    """A configuration is acknowledged although its version was confirmed with another content."""
    return [patch.object(ServicePlan, "digest_of", lambda self, *, version: None)]


def repeated_plan_refused() -> Patches:
    """A confirmed configuration is refused when it is sent again."""
    return [patch.object(ServicePlan, "digest_of", lambda self, *, version: b"another")]


def confirmed_without_majority() -> Patches:
    """A controller acknowledges a backend's draining without replicating it to a majority."""

    async def confirm_locally(self: Any, *, announcement: Any) -> bool:
        self.heartbeat_table.receive(heartbeat=announcement)
        return True

    return [patch.object(Announcer, "replicate", confirm_locally)]


def read_without_majority() -> Patches:
    """A controller returns the configuration that it knows, without reading from a majority."""

    async def from_view(self: Any) -> Any:
        return Ok(read_service_plan(data=self.view.known[PLAN_KEY].value).document)

    return [patch.object(PlanStore, "fetch", from_view)]


def altered_read_back() -> Patches:
    """The configuration read back has the same meaning, but other bytes."""
    fetch = PlanStore.fetch

    async def altered(self: Any) -> Any:
        found = await fetch(self)
        return Ok(json.dumps(json.loads(found.ok), indent=1).encode()) if found.is_ok() else found

    return [patch.object(PlanStore, "fetch", altered)]


def disk_reads_empty() -> Patches:
    """Reads from the disk find no file."""
    return [patch.object(SimDisk, "read", lambda self, *, name: None)]


FAULTS: dict[str, Callable[[], Patches]] = {
    each.__name__: each
    for each in (
        unsolicited_answer,
        altered_text,
        rollback_commits,
        wrong_service,
        rows_duplicated,
        session_values_not_replayed,
        links_shared,
        unknown_write_retried,
        unknown_outcome_reported_aborted,
        view_never_expires,
        reads_unguarded,
        own_commits_ignored,
        old_samples_taken_as_new,
        least_current_replica_promoted,
        successor_unchecked,
        late_commits_acknowledged,
        drain_drops_connections,
        drain_ignored,
        plan_never_updated,
        plan_alternates,
        invalid_plan_acknowledged,
        older_plan_accepted,
        altered_read_back,
        conflicting_plan_confirmed,
        repeated_plan_refused,
        confirmed_without_majority,
        read_without_majority,
        disk_reads_empty,
        forward_bugs.forwards_unchecked,
        forward_bugs.lost_forwards_reported_unsent,
        forward_bugs.forward_values_not_replayed,
        forward_bugs.link_limits_raised_at_once,
        replica_record_bugs.unheard_replicas_uncounted,
        replica_record_bugs.departures_unrecorded,
        replica_record_bugs.departed_replicas_forgotten,
        replica_record_bugs.returned_primary_waited_for,
        replica_record_bugs.commits_before_pause_ignored,
        replica_record_bugs.fence_never_withdrawn,
        shard_bugs.old_map_writes_continue,
        shard_bugs.map_switched_without_closing,
        shard_bugs.samples_from_before_handover,
        shard_bugs.handover_copied_twice,
        shard_bugs.in_flight_writes_ignored,
        shard_bugs.lapsed_proxy_ends_transactions,
    )
}


@contextmanager
def switched_in(*, name: str) -> Iterator[None]:
    """Runs its body with one seeded bug; an empty name patches nothing."""
    add_adapter_to_path()
    with ExitStack() as stack:
        for each in FAULTS[name]() if name else []:
            stack.enter_context(each)
        yield
