"""Bugs that are patched into the code under test, each against one guarantee, to prove that its checker works."""

import json
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from expression import Ok

from ..config.check import check_configuration
from ..config.configuration import CONFIGURATION_KEY
from ..consensus.store import Store
from ..failover import database_assignments
from ..failover.database_primary_monitor import DatabasePrimaryMonitor
from ..http_frontend import connection_pools, view
from ..http_frontend.commit_watermarks import CommitWatermarks
from ..http_frontend.configuration_store import AcceptedConfiguration, ConfigurationStore
from ..http_frontend.filters import session_filter
from ..http_frontend.filters.forward_filter import ForwardFilter
from ..http_frontend.filters.session_state_filter import SessionStateFilter
from ..http_frontend.forward_mixin import ForwardMixin
from ..http_frontend.handover import Handover
from ..http_frontend.http_proxy import HttpProxy
from ..http_frontend.pool import Pool
from ..http_frontend.reject_mixin import RejectMixin
from ..http_frontend.samples import Samples
from ..http_frontend.session import Session
from ..http_frontend.session_replicator import SessionReplicator
from ..http_frontend.session_token import SessionToken, Tag, parse_session_token
from ..http_frontend.sessions import Sessions
from ..http_frontend.view import View
from ..maintenance.drain_targets import DrainTargets
from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.peer_client import PeerClient

Patches = list[Any]


def ack_before_replication() -> Patches:
    """Acknowledges a commit as soon as the primary has it, before replication."""

    async def durable(self: Any, **_: Any) -> bool:
        return True

    return [patch.object(CommitWatermarks, "durable", durable)]


def view_never_expires() -> Patches:
    """Treats a view as current forever, after its lease too."""
    return [patch.object(View, "current", property(lambda self: True))]


def promote_without_waiting() -> Patches:
    """Settles a new primary without waiting until older views have expired."""
    return [patch.object(database_assignments, "VIEW_MARGIN_US", -60_000_000)]


def resend_unknown_write() -> Patches:
    """Resends a write whose response was lost."""

    def unknown(self: Any, *, reason: str) -> Any:
        return CinderstairError(code=ErrorCode.NO_BACKEND, reason=reason)

    return [patch.object(ForwardFilter, "_unknown", unknown)]


def unknown_reported_as_lost() -> Patches:
    """Reports a write of unknown outcome as rolled back."""

    def unknown(self: Any, *, reason: str) -> Any:
        return self.reject(kind=ErrorCode.TRANSACTION_LOST, reason=reason)

    return [patch.object(ForwardFilter, "_unknown", unknown)]


def unbounded_staleness() -> Patches:
    """Accepts reads from replicas of any staleness."""
    return [patch.object(Samples, "floor", lambda self, **_: 0)]


def ignore_draining_backend() -> Patches:
    """Ignores that a backend reports that it drains."""
    return [patch.object(HeartbeatTable, "healthy", lambda self, *, name: not self.silent(name=name))]


def no_version_check() -> Patches:
    """Writes a configuration without comparing versions."""

    class UncheckedStore(ConfigurationStore):
        async def submit(self, *, raw: bytes) -> Any:
            checked = check_configuration(raw=raw)
            found = await self.register.change(key=CONFIGURATION_KEY, decide=lambda _: Ok(raw))
            if checked.is_error() or found.is_error():
                return checked
            return Ok(AcceptedConfiguration(configuration=checked.ok, found=found.ok))

    return [patch.object(ConfigurationStore, "submit", UncheckedStore.submit)]


def register_replica_not_persistent() -> Patches:
    """Lets a register replica respond without saving its state."""
    return [patch.object(Store, "save", lambda self, *, entries: None)]


def pool_open_transaction() -> Patches:
    """Returns the connection of an abandoned transaction to the pool without a rollback."""

    def abandon(self: Any, *, session: Any) -> None:
        transaction, session.transaction = session.transaction, None
        if transaction is not None:
            transaction.pool.release(connection=transaction.connection, keep=True)

    return [patch.object(Sessions, "abandon", abandon)]


def alter_statement_text() -> Patches:
    """Changes the text of forwarded statements."""
    original = ForwardMixin.send_step

    async def send_step(self: Any, *, request: Any, **rest: Any) -> Any:
        if request.body.get("text", "").startswith("list"):
            request.body["text"] = request.body["text"] + " "
        return await original(self, request=request, **rest)

    return [patch.object(ForwardMixin, "send_step", send_step)]


def shared_session_values() -> Patches:
    """Shares one set of session values among all sessions."""
    shared: dict[str, Any] = {}
    original = SessionStateFilter._change

    async def change(self: Any, *, request: Any, values: Any, prepared: Any) -> Any:
        shared.update(values)
        return await original(self, request=request, values=shared, prepared=prepared)

    return [patch.object(SessionStateFilter, "_change", change)]


def ignore_windows() -> Patches:
    """Makes open windows select nothing."""
    return [patch.object(view, "drain_targets", lambda **_: DrainTargets())]


def drop_sessions_on_drain() -> Patches:
    """Drops the sessions of a draining HTTP proxy instead of handing them over."""

    async def hand_over_all(self: Any) -> int:
        self.sessions.open.clear()
        return 0

    # Session replicas would restore them
    return [*no_session_replicas(), patch.object(Handover, "hand_over_all", hand_over_all)]


def ignore_peer_version() -> Patches:
    """Sends records in the newest protocol version, whatever the peer supports."""
    return [patch.object(PeerClient, "version", lambda self, *, address: self.ctx.protocol_versions.highest)]


def never_fail_over() -> Patches:
    """Never finds a reason for a failover."""

    async def move_reason(self: Any, **_: Any) -> None:
        return None

    return [patch.object(DatabasePrimaryMonitor, "move_reason", move_reason)]


def no_read_your_writes() -> Patches:
    """Forgets a session's own commits, so that its reads may miss them."""
    return [patch.object(Session, "floor", property(lambda self: 0, lambda self, value: None))]


def no_configuration_check() -> Patches:
    """Accepts configurations without checking them."""

    async def submit(self: Any, *, raw: bytes) -> Any:
        found = await self.register.change(key=CONFIGURATION_KEY, decide=lambda _: Ok(raw))
        configuration = SimpleNamespace(version=0, warnings=())
        return Ok(SimpleNamespace(configuration=configuration, found=found.ok)) if found.is_ok() else found

    return [patch.object(ConfigurationStore, "submit", submit)]


def configuration_rollback() -> Patches:
    """Accepts and applies an older configuration over a newer one."""
    original = View._apply_configuration

    def apply(self: Any, *, raw: bytes) -> bool:
        self.configuration = None
        return original(self, raw=raw)

    return [*no_version_check(), patch.object(View, "_apply_configuration", apply)]


def reformat_configuration() -> Patches:
    """Returns a configuration reformatted instead of byte for byte."""
    original = ConfigurationStore.fetch

    async def fetch(self: Any) -> Any:
        found = await original(self)
        return Ok(json.dumps(json.loads(found.ok), indent=1).encode()) if found.is_ok() else found

    return [patch.object(ConfigurationStore, "fetch", fetch)]


def ignore_silent_backend() -> Patches:
    """Never considers a backend silent."""
    return [
        patch.object(HeartbeatTable, "silent", lambda self, *, name: False),
        patch.object(HeartbeatTable, "age_us", lambda self, *, name: 0),
    ]


def delayed_rejections() -> Patches:
    """Delays rejections until 90 % of the deadline has passed."""
    original = HttpProxy.answer

    async def answer(self: Any, http: Any) -> Any:
        response = await original(self, http)
        if response.status >= 400 and http.body:
            await self.ctx.sleep(duration_us=json.loads(http.body).get("timeLeftUs", 0) * 9 // 10)
        return response

    return [patch.object(HttpProxy, "answer", answer)]


def no_retry_after() -> Patches:
    """Omits the Retry-After header of rejections."""
    original = RejectMixin.reject

    def reject(self: Any, **rest: Any) -> Any:
        response = original(self, **rest)
        return replace(response, headers={})

    return [patch.object(RejectMixin, "reject", reject)]


def stop_without_drain() -> Patches:
    """Stops an HTTP proxy without draining it."""

    async def drain(self: Any) -> None:
        self.ready.draining = True

    return [patch.object(HttpProxy, "drain", drain)]


def alter_params() -> Patches:
    """Changes the parameters of forwarded statements."""
    original = ForwardMixin.send_step

    async def send_step(self: Any, *, request: Any, **rest: Any) -> Any:
        if request.body.get("params"):
            request.body["params"] = [str(each).upper() for each in request.body["params"]]
        return await original(self, request=request, **rest)

    return [patch.object(ForwardMixin, "send_step", send_step)]


def drop_prepared_on_handover() -> Patches:
    """Hands sessions over without their prepared statements."""
    original = Handover._hand_over

    async def hand(self: Any, *, session: Any) -> None:
        session.prepared.clear()
        await original(self, session=session)

    return [patch.object(Handover, "_hand_over", hand)]


def wait_for_dead_backend() -> Patches:
    """Lets requests wait for a dead backend until their deadline."""
    return [patch.object(Pool, "abort_requests", lambda self: None)]


def ignore_connection_share() -> Patches:
    """Lets every HTTP proxy use a backend's whole connection limit instead of its share."""
    return [patch.object(connection_pools, "allotment", lambda *, cap, user_ids, http_proxy_id: cap)]


def no_session_replicas() -> Patches:
    """Acknowledges session changes without replicating them."""

    async def replicate(self: Any, *, session: Any, until_us: int) -> bool:
        session.replica_holder = "nobody"
        return True

    return [patch.object(SessionReplicator, "replicate", replicate)]


class AnyTag(Tag):
    """A session tag that equals every other one."""

    def __eq__(self, other: object) -> bool:
        return True

    def __ne__(self, other: object) -> bool:
        return False

    __hash__ = Tag.__hash__


def ignore_session_token_tag() -> Patches:
    """Serves a session or its replica for any token of its id, outdated ones included."""

    def read(*, text: str) -> SessionToken:
        return SessionToken(parse_session_token(text=text).ident, AnyTag(0, ""))

    return [patch.object(session_filter, "parse_session_token", read)]


def keep_stale_replicas() -> Patches:
    """Never tells an HTTP proxy to delete a session replica."""

    async def touch_member(self: Any, **_: Any) -> None:
        return None

    return [
        patch.object(SessionReplicator, "forget", lambda self, **_: None),
        patch.object(SessionReplicator, "_touch_member", touch_member),
    ]


def open_all_connections() -> Patches:
    """Opens all connections at once when the limit of a pool grows."""
    original = Pool.resize

    async def fill(*, pool: Pool) -> None:
        for taken in [await pool.acquire(wait_us=1_000_000, priority=True) for _ in range(pool.limit - pool.open)]:
            if taken.is_ok():
                pool.release(connection=taken.ok)

    def resize(self: Any, *, limit: int) -> None:
        original(self, limit=limit)
        if limit > self.open:
            self.ctx.spawn(work=fill(pool=self), name="fill")

    return [patch.object(Pool, "resize", resize)]


SEEDED_BUGS: dict[str, Callable[[], Patches]] = {
    each.__name__: each
    for each in (
        ack_before_replication,
        view_never_expires,
        promote_without_waiting,
        resend_unknown_write,
        unknown_reported_as_lost,
        unbounded_staleness,
        ignore_draining_backend,
        no_version_check,
        register_replica_not_persistent,
        pool_open_transaction,
        alter_statement_text,
        shared_session_values,
        ignore_windows,
        drop_sessions_on_drain,
        ignore_peer_version,
        never_fail_over,
        no_read_your_writes,
        no_configuration_check,
        configuration_rollback,
        reformat_configuration,
        ignore_silent_backend,
        delayed_rejections,
        no_retry_after,
        stop_without_drain,
        alter_params,
        drop_prepared_on_handover,
        wait_for_dead_backend,
        ignore_connection_share,
        no_session_replicas,
        ignore_session_token_tag,
        keep_stale_replicas,
        open_all_connections,
    )
}


@contextmanager
def apply_seeded_bug(*, name: str) -> Iterator[None]:
    """Applies one seeded bug within the context; an empty name changes nothing."""
    with ExitStack() as stack:
        for each in SEEDED_BUGS[name]() if name else []:
            stack.enter_context(each)
        yield
