"""Faults switched into the code under test, or into a stand-in, to see that each checker sees."""

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
from ...failover.replica_fencing import ReplicaFencing
from ...pooler.link_pool import LinkPool
from ...pooler.relayed_view import RelayedView
from ...pooler.router import Router
from ...pooler.sample_pool import SamplePool
from ...pooler.session import Session
from ...runtime.errors import ErrorCode
from ..sim_disk import SimDisk
from . import forward_bugs, shard_bugs
from .repository import see_adapter

Patches = list[Any]


def answer_to_nothing() -> Patches:
    """Each answer to a client is followed by another."""
    from adapter import client_connection

    encode = client_connection.encode
    return [patch.object(client_connection, "encode", lambda reply: encode(reply) + b"READY I -\r\n")]


def other_text() -> Patches:
    """Backends are sent another text than the client's."""
    from adapter import backend_link

    text_for = backend_link.text_for

    def other(*, statement: Any, alias: bytes) -> bytes:
        return text_for(statement=statement, alias=alias) + b"1"

    return [patch.object(backend_link, "text_for", other)]


def commit_for_leavers() -> Patches:
    """What is to be rolled back is committed."""
    from adapter.backend_link import BackendLink

    return [patch.object(BackendLink, "rollback", lambda self: self._ask(b"ASK - COMMIT"))]


def other_service() -> Patches:
    """A database's statements go to another service now and then."""
    route = Session.route

    def wrong(self: Any) -> Any:
        found = route(self)
        plan = self.router.view.plan
        if found is None or self.router.ctx.rng.random() > 0.2:
            return found
        return replace(found, service=self.router.ctx.rng.choice(sorted(plan.services)))

    return [patch.object(Session, "route", wrong)]


def rows_kept() -> Patches:
    """An answer's rows are given twice."""
    from adapter import client_connection

    encode = client_connection.encode

    def doubled(reply: Any) -> bytes:
        reply.rows = reply.rows * 2
        return encode(reply)

    return [patch.object(client_connection, "encode", doubled)]


def any_values() -> Patches:
    """A link is not brought up to a session's values."""
    return [patch.object(Session, "_replay_values", lambda self, *, link: None)]


def shared_links() -> Patches:
    """A link that serves one session is given to others as well."""

    def pick(self: Any, *, values: Any) -> Any:
        links = [link for link, _ in self.borrowed.values() if link.open] or [link for link in self.idle if link.open]
        return links[0] if links else None

    return [patch.object(LinkPool, "_pick", pick)]


def write_again() -> Patches:
    """A write whose outcome nobody knows is sent once more."""
    write = Session._write

    async def twice(self: Any, **named: Any) -> Any:
        reply = await write(self, **named)
        return await write(self, **named) if reply.fault == ErrorCode.OUTCOME_UNKNOWN else reply

    return [patch.object(Session, "_write", twice)]


def promise_unknown() -> Patches:
    """Where nobody knows the outcome, the client is promised that nothing is kept."""
    from adapter import error_words

    mild = MappingProxyType({**error_words.WORD_BY_CODE, ErrorCode.OUTCOME_UNKNOWN: b"ABORTED"})
    return [patch.object(error_words, "WORD_BY_CODE", mild)]


def view_forever() -> Patches:
    """What a proxy knows of leads counts for ever."""
    return [patch.object(RelayedView, "current", property(lambda self: True))]


def no_guard() -> Patches:
    """Copies are read from whatever their logs have."""
    from adapter.backend_link import BackendLink

    send, begin = BackendLink.send, BackendLink.begin

    def unguarded(self: Any, *, statement: Any, at_least: Any = None, alias: bytes = b"") -> Any:
        return send(self, statement=statement, alias=alias)

    def begin_unguarded(self: Any, *, read_only: bool, at_least: Any) -> Any:
        return begin(self, read_only=read_only, at_least=None)

    return [patch.object(BackendLink, "send", unguarded), patch.object(BackendLink, "begin", begin_unguarded)]


def pooled_for_new() -> Patches:
    """What another proxy has seen is given again and again, and taken for seen when the controller's answer came."""
    newer_than = PositionSamples.newer_than

    def again(self: Any, *, wanted: Any, same_source: bool) -> Any:
        return newer_than(self, wanted=wanted, same_source=False)

    return [
        patch.object(PositionSamples, "newer_than", again),
        patch.object(SamplePool, "_at_us", lambda self, *, requested_us, age_us: self.ctx.now_us()),
    ]


def own_forgotten() -> Patches:
    """A session's own commits are not asked for."""
    required_position = Router.required_position

    def without(self: Any, *, route: Any, arrived_us: int, own_position: Any) -> Any:
        return required_position(self, route=route, arrived_us=arrived_us, own_position=None)

    return [patch.object(Router, "required_position", without)]


def worst_replica() -> Patches:
    """The copy that has received least is put in a primary's place."""
    fence = ReplicaFencing.fence

    async def least(self: Any, **named: Any) -> Any:
        successor = await fence(self, **named)
        if successor is None:
            return None
        states = await self.failover.poller.states(members=named["others"])
        worst = min(states, key=lambda name: states[name].received)
        return replace(successor, name=worst, fence=states[worst].received)

    return [patch.object(ReplicaFencing, "fence", least)]


def drop_at_stop() -> Patches:
    """A planned stop closes every connection, whatever is under way on it."""
    from adapter.client_connection import ClientConnection

    return [patch.object(ClientConnection, "idle", property(lambda self: True))]


def deaf_to_emptying() -> Patches:
    """A backend that says it is leaving gets as much as before."""
    return [patch.object(Router, "_follow_backend_state", lambda self, *, name, is_primary: None)]


def first_plan_forever() -> Patches:
    """A proxy stays with the first configuration that it heard of."""
    apply = RelayedView._apply

    def once(self: Any, *, key: str, value: bytes) -> None:
        if key != "plan" or self.plan is None:
            apply(self, key=key, value=value)

    return [patch.object(RelayedView, "_apply", once)]


def plan_back_and_forth() -> Patches:
    """A proxy falls back now and then to the configuration before."""
    from cinderstair.pooler.proxy import Proxy

    tend = Proxy._on_timer

    def back(self: Any) -> None:
        tend(self)
        older = self.__dict__.setdefault("older", [])
        if self.view.plan is not None and self.view.plan not in older:
            older.append(self.view.plan)
        if len(older) > 1:
            self.view.plan = self.ctx.rng.choice(older[-2:])

    return [patch.object(Proxy, "_on_timer", back)]


def take_anything() -> Patches:
    """A configuration that is no valid one is acknowledged."""
    from adapter.control_api import DONE, ControlApi

    put = ControlApi._put_settings

    async def took(self: Any, *, body: bytes) -> Any:
        answer = await put(self, body=body)
        return DONE if answer.status == 400 else answer

    return [patch.object(ControlApi, "_put_settings", took)]


def older_again() -> Patches:
    """An older configuration takes the place of a newer one."""
    read = plan_store.read_service_plan

    def as_of_nothing(*, data: bytes) -> Any:
        return replace(read(data=data), version=0, accepted=())

    return [patch.object(plan_store, "read_service_plan", as_of_nothing)]


def any_content_confirmed() -> Patches:
    """An order is acknowledged whose number stands for another content."""
    return [patch.object(ServicePlan, "digest_of", lambda self, *, version: None)]


def same_order_refused() -> Patches:
    """An order that was taken is refused when it is sent again."""
    return [patch.object(ServicePlan, "digest_of", lambda self, *, version: b"another")]


def confirms_alone() -> Patches:
    """A daemon acknowledges what backends say of their leaving by its own memory."""

    async def alone(self: Any, *, announcement: Any) -> bool:
        self.heartbeat_table.receive(heartbeat=announcement)
        return True

    return [patch.object(Announcer, "replicate", alone)]


def serves_alone() -> Patches:
    """A daemon gives out the configuration that it knows, without asking a majority."""

    async def known(self: Any) -> Any:
        return Ok(read_service_plan(data=self.view.known[PLAN_KEY].value).document)

    return [patch.object(PlanStore, "fetch", known)]


def altered_read_back() -> Patches:
    """What is read back says the same in other bytes."""
    fetch = PlanStore.fetch

    async def other(self: Any) -> Any:
        found = await fetch(self)
        return Ok(json.dumps(json.loads(found.ok), indent=1).encode()) if found.is_ok() else found

    return [patch.object(PlanStore, "fetch", other)]


def disks_forget() -> Patches:
    """Nothing that was written is there when it is read."""
    return [patch.object(SimDisk, "read", lambda self, *, name: None)]


FAULTS: dict[str, Callable[[], Patches]] = {
    each.__name__: each
    for each in (
        answer_to_nothing,
        other_text,
        commit_for_leavers,
        other_service,
        rows_kept,
        any_values,
        shared_links,
        write_again,
        promise_unknown,
        view_forever,
        no_guard,
        own_forgotten,
        pooled_for_new,
        worst_replica,
        drop_at_stop,
        deaf_to_emptying,
        first_plan_forever,
        plan_back_and_forth,
        take_anything,
        older_again,
        altered_read_back,
        any_content_confirmed,
        same_order_refused,
        confirms_alone,
        serves_alone,
        disks_forget,
        forward_bugs.forwards_unchecked,
        forward_bugs.forwards_promised,
        forward_bugs.forwards_any_values,
        forward_bugs.links_at_once,
        shard_bugs.old_map_writes_on,
        shard_bugs.moves_unclosed,
        shard_bugs.samples_from_before,
        shard_bugs.brought_twice,
        shard_bugs.unanswered_forgotten,
        shard_bugs.untold_ends,
    )
}


@contextmanager
def switched_in(*, name: str) -> Iterator[None]:
    """Runs what it encloses with one fault in the code; an empty name is the code as it is."""
    see_adapter()
    with ExitStack() as stack:
        for each in FAULTS[name]() if name else []:
            stack.enter_context(each)
        yield
