"""Real request handlers on a fixed seed, and the requests that are recorded with their answers."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from expression import Error, Ok, Result
from record_format_examples import (
    NOW_US,
    announcement,
    encode_part,
    forward_request,
    plan,
    relay_question,
    roster,
    session,
)
from stage import FakeDialer, ReportedView, Stage

from cinderstair.consensus.ballot import Ballot
from cinderstair.consensus.durable_state import ident_entry
from cinderstair.consensus.register_replica import RegisterReplica
from cinderstair.consensus.roster import Voter, write_voter
from cinderstair.consensus.store import Store
from cinderstair.control_plane.controller import Controller
from cinderstair.failover.backend_control import BackendState
from cinderstair.failover.shard_state import Vote
from cinderstair.http_frontend.filters.ready_filter import ReadyFilter
from cinderstair.http_frontend.handover import Handover
from cinderstair.http_frontend.session_replicas import SessionReplicas
from cinderstair.http_frontend.session_replicator import SessionReplicator
from cinderstair.http_frontend.sessions import Sessions
from cinderstair.membership.announcement import Announcement
from cinderstair.membership.heartbeat import READY
from cinderstair.membership.member import Member
from cinderstair.membership.membership import Membership
from cinderstair.pooler.forward_record import ForwardStep
from cinderstair.pooler.forward_server import ForwardServer
from cinderstair.pooler.router import Router
from cinderstair.pooler.statement import Verb
from cinderstair.runtime.context import Context
from cinderstair.runtime.dispatcher import Dispatcher
from cinderstair.runtime.errors import CinderstairError, ErrorCode
from cinderstair.runtime.message_types import MessageType
from cinderstair.runtime.net import RecordHandler
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.position import Position
from cinderstair.runtime.protocol_versions import add_version_header
from cinderstair.runtime.settings import Settings
from cinderstair.runtime.unpacker import Unpacker
from cinderstair.simulation.sim_disk import SimDisk

ADDRESS = "10.1.0.1:7100"
SEEDS = (ADDRESS, "10.1.0.2:7100", "10.1.0.3:7100")
PROPOSER = 0x77
SECOND_VERSION = 2
EPOCH = 3
LEASE_US = 1_500_000
# leases that other replicas granted before this one became a voter have expired by then
OTHER_LEASES_US = 2_100_000
RELAY_PAUSE_US = 500_000


@dataclass(frozen=True, kw_only=True)
class Request:
    """A record sent to a daemon after a pause; its header states the protocol version."""

    name: str
    data: bytes
    pause_us: int = 0


class DispatcherNet:
    """A network that passes records to dispatchers by address and keeps all records with their answers."""

    def __init__(self) -> None:
        self.dispatchers: dict[str, Dispatcher] = {}
        self.exchanges: list[tuple[bytes, bytes]] = []

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        dispatcher = self.dispatchers.get(address)
        if dispatcher is None:
            return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason="no daemon at this address"))
        try:
            answer = await dispatcher.dispatch(body)
        except ValueError:
            # a rejected record gets no answer
            self.exchanges.append((body, b""))
            return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason="no answer"))
        self.exchanges.append((body, answer))
        return Ok(answer)

    async def listen(self, *, address: str, handler: RecordHandler) -> None:
        """Does nothing; tests add dispatchers themselves."""


class ReachableBackends:
    """A backend control for which all backends are reachable replicas."""

    async def state(self, *, backend: Announcement, wait_us: int) -> Result[BackendState, CinderstairError]:
        return Ok(BackendState(is_primary=False, term=1, received=Position(1, 5), term_held=1))


def settings() -> Settings:
    return Settings(name="replica-1", site="near", records=ADDRESS, seeds=SEEDS)


def disk_with_identity() -> SimDisk:
    """Creates a disk with the identity of the first voter."""
    disk = SimDisk(rng=Random(1))
    store = Store(disk=disk).open().ok
    store.save(entries=[ident_entry(ident=roster(epoch=EPOCH).voters[0].ident)])
    return disk


def replica_dispatcher(*, stage: Stage) -> Dispatcher:
    """Starts a register replica that has an identity and no roster."""
    stage.ctx.disk = disk_with_identity()
    register_replica = RegisterReplica(ctx=stage.ctx, settings=settings(), halt=lambda reason: None)
    opened = stage.call(call=register_replica.open)
    assert opened.is_ok(), opened
    return register_replica.dispatcher


def control_dispatcher(*, stage: Stage) -> Dispatcher:
    """Starts a controller that reaches all backends and no other daemon than itself."""
    net = DispatcherNet()
    stage.ctx.net = net
    stage.ctx.disk = disk_with_identity()
    backends: Any = ReachableBackends()
    control = Controller(
        ctx=stage.ctx,
        settings=settings(),
        control=backends,
        promoter=backends,
        halt=lambda reason: None,
        silent_after_us=3_000_000,
        proxy_lease_us=2_000_000,
    )
    started = stage.run(work=control.start())
    assert started.is_ok(), started
    net.dispatchers[ADDRESS] = control.register_replica.dispatcher
    return control.register_replica.dispatcher


@dataclass(frozen=True, kw_only=True)
class HttpProxy:
    """The session components of an HTTP proxy; they make no use of its view of the register."""

    dispatcher: Dispatcher
    membership: Membership
    sessions: Sessions
    ready: ReadyFilter
    session_replicator: SessionReplicator
    handover: Handover


def http_proxy(*, ctx: Context, me: Member) -> HttpProxy:
    """Creates an HTTP proxy without sessions. Needs a running loop."""
    dispatcher = Dispatcher(ctx=ctx)
    membership = Membership(ctx=ctx, dispatcher=dispatcher, me=me, seeds=())
    sessions = Sessions(ctx=ctx, idle_transaction_us=10_000_000, idle_session_us=86_400_000_000)
    no_view: Any = None
    ready = ReadyFilter(ctx=ctx, view=no_view, membership=membership)
    replicas = SessionReplicas(ctx=ctx, dispatcher=dispatcher, sessions=sessions, ready=ready)
    session_replicator = SessionReplicator(ctx=ctx, membership=membership, sessions=sessions)
    handover = Handover(
        ctx=ctx,
        dispatcher=dispatcher,
        membership=membership,
        sessions=sessions,
        ready=ready,
        session_replicas=replicas,
        session_replicator=session_replicator,
    )
    return HttpProxy(
        dispatcher=dispatcher,
        membership=membership,
        sessions=sessions,
        ready=ready,
        session_replicator=session_replicator,
        handover=handover,
    )


def session_dispatcher(*, stage: Stage, draining: bool = False) -> Dispatcher:
    """Creates an HTTP proxy that holds one session."""
    me = Member(name="pooler-9", role="stall", site="near", records=ADDRESS, http="", incarnation=1)
    proxy = stage.call(call=lambda: http_proxy(ctx=stage.ctx, me=me))
    proxy.ready.draining = draining
    held = session()
    held.ident = "pooler-9.00bb"
    proxy.sessions.open[held.ident] = held
    return proxy.dispatcher


def draining_dispatcher(*, stage: Stage) -> Dispatcher:
    """Creates an HTTP proxy that holds one session and is draining."""
    return session_dispatcher(stage=stage, draining=True)


def forward_server(*, stage: Stage) -> Dispatcher:
    """Creates a proxy that serves forwarded statements and has no links."""
    dispatcher = Dispatcher(ctx=stage.ctx)
    reported = ReportedView(stage=stage)

    def build() -> None:
        router = Router(ctx=stage.ctx, view=reported.view, dialer=FakeDialer(backends={}), distance=lambda site: 0)
        ForwardServer(ctx=stage.ctx, router=router, dispatcher=dispatcher)

    stage.call(call=build)
    return dispatcher


def vote_request(*, kind: int, key: str, round: int, epoch: int = EPOCH, value: bytes | None = None) -> bytes:
    packer = Packer().u8(value=kind).u32(value=epoch).text(value=key)
    Ballot(round, PROPOSER).write(packer=packer)
    return (packer if value is None else packer.blob(value=value)).bytes()


def read_request(*, key: str) -> bytes:
    return Packer().u8(value=MessageType.READ).u32(value=EPOCH).text(value=key).bytes()


def lease_request(*, holder: int, length_us: int) -> bytes:
    packer = Packer().u8(value=MessageType.LEASE).u32(value=EPOCH).text(value="slots")
    return packer.u64(value=holder).u64(value=length_us).bytes()


def vector_request(*, version: int) -> bytes:
    packer = Packer().u8(value=MessageType.VECTOR).u32(value=EPOCH)
    if version > 1:
        packer.many(values=[(0x99, 5)], each=lambda p, e: p.u64(value=e[0]).u64(value=e[1]))
    return packer.bytes()


def join_request(*, voter: Voter) -> bytes:
    packer = Packer().u8(value=MessageType.JOIN_REQUEST)
    write_voter(packer=packer, voter=voter)
    return packer.bytes()


def adopt_request(*, epoch: int) -> bytes:
    return Packer().u8(value=MessageType.ADOPT).blob(value=roster(epoch=epoch).bytes()).bytes()


def handshake_request(*, lowest: int, highest: int) -> bytes:
    return Packer().u8(value=MessageType.HANDSHAKE).u8(value=lowest).u8(value=highest).text(value="pooler-1").bytes()


def in_version_2(data: bytes) -> bytes:
    """Adds the header of protocol version 2 to a record."""
    return add_version_header(version=SECOND_VERSION, body=data)


def replica_requests() -> list[Request]:
    """Returns all record types that a register replica answers, ordered so that each kind of answer occurs."""
    client = Voter(ident=0, name="", address="")
    return [
        Request(name="hello, no voters yet", data=join_request(voter=roster(epoch=EPOCH).voters[1])),
        Request(name="prepare, no vote", data=vote_request(kind=MessageType.PREPARE, key="plan", round=1, epoch=0)),
        Request(name="adopt", data=adopt_request(epoch=EPOCH)),
        Request(name="adopt an older one, version 2", data=in_version_2(adopt_request(epoch=EPOCH - 1))),
        Request(name="prepare", data=vote_request(kind=MessageType.PREPARE, key="plan", round=5)),
        Request(name="prepare, beaten", data=vote_request(kind=MessageType.PREPARE, key="plan", round=4)),
        Request(name="accept", data=vote_request(kind=MessageType.ACCEPT, key="plan", round=5, value=plan().bytes())),
        Request(
            name="accept, beaten", data=vote_request(kind=MessageType.ACCEPT, key="plan", round=4, value=b"late")
        ),
        Request(
            name="prepare, version 2", data=in_version_2(vote_request(kind=MessageType.PREPARE, key="plan", round=6))
        ),
        Request(
            name="prepare, older voters",
            data=vote_request(kind=MessageType.PREPARE, key="plan", round=9, epoch=EPOCH - 1),
        ),
        Request(
            name="prepare, newer voters",
            data=vote_request(kind=MessageType.PREPARE, key="plan", round=9, epoch=EPOCH + 1),
        ),
        Request(
            name="accept, version 2",
            data=in_version_2(vote_request(kind=MessageType.ACCEPT, key="service/alpha", round=7, value=b"v")),
        ),
        Request(name="read", data=read_request(key="plan")),
        Request(name="read, nothing there", data=read_request(key="slots")),
        Request(name="read, version 2", data=in_version_2(read_request(key="service/alpha"))),
        Request(name="vector, version 1", data=vector_request(version=1)),
        Request(name="vector, version 2", data=in_version_2(vector_request(version=SECOND_VERSION))),
        Request(name="lease, too early", data=lease_request(holder=8, length_us=LEASE_US)),
        Request(name="lease", data=lease_request(holder=8, length_us=LEASE_US), pause_us=OTHER_LEASES_US),
        Request(name="lease, held by another", data=lease_request(holder=9, length_us=LEASE_US)),
        Request(name="lease, given back, version 2", data=in_version_2(lease_request(holder=8, length_us=0))),
        Request(name="hello", data=join_request(voter=roster(epoch=EPOCH).voters[2])),
        Request(name="hello of an asker, version 2", data=in_version_2(join_request(voter=client))),
        Request(name="parley", data=handshake_request(lowest=1, highest=2)),
        Request(name="parley, nothing in common", data=handshake_request(lowest=8, highest=9)),
        Request(
            name="read, a version that is not spoken",
            data=add_version_header(version=9, body=read_request(key="plan")),
        ),
    ]


def text_request(*, kind: int, texts: tuple[str, ...]) -> bytes:
    packer = Packer().u8(value=kind)
    for text in texts:
        packer.text(value=text)
    return packer.bytes()


def heartbeats_request(*, known: tuple[tuple[int, int], ...]) -> bytes:
    packer = Packer().u8(value=MessageType.HEARTBEATS)
    return packer.many(values=known, each=lambda p, e: p.u64(value=e[0]).u64(value=e[1])).bytes()


def probe_request() -> bytes:
    other = Member(
        name="pooler-1", role="stall", site="near", records="10.2.0.1:7200", http="10.2.0.1:8080", incarnation=5
    )
    packer = Packer().u8(value=MessageType.PROBE)
    return packer.many(values=[other], each=lambda p, each: each.write(packer=p)).bytes()


def relay_request(*, vote: Vote) -> bytes:
    return bytes([MessageType.RELAY]) + encode_part(relay_question(vote=vote))


def control_requests() -> list[Request]:
    """Returns all record types that a controller answers in addition to those of a replica."""
    announce = bytes([MessageType.ANNOUNCE]) + encode_part(announcement(state=READY))
    empty_requests = {"booths": MessageType.PROXIES, "places": MessageType.PROXY_ADDRESSES}
    return [
        Request(name="probe", data=probe_request()),
        Request(name="probe, version 2", data=in_version_2(probe_request())),
        Request(name="probe for", data=text_request(kind=MessageType.PROBE_FOR, texts=(ADDRESS,))),
        Request(name="news, none yet", data=heartbeats_request(known=())),
        Request(name="announce", data=in_version_2(announce)),
        Request(name="news", data=heartbeats_request(known=((0x99, 5),))),
        Request(name="opinion", data=in_version_2(text_request(kind=MessageType.OPINION, texts=("db-1",)))),
        Request(name="suspect", data=in_version_2(text_request(kind=MessageType.SUSPECT, texts=("db-1",)))),
        Request(name="relay, brief", data=in_version_2(relay_request(vote=Vote.silent)), pause_us=RELAY_PAUSE_US),
        Request(name="relay, whole", data=in_version_2(relay_request(vote=Vote.agrees))),
        Request(
            name="place",
            data=text_request(kind=MessageType.ANNOUNCE_ADDRESS, texts=("pooler-1", "near", "10.2.0.1:7200")),
        ),
        *(Request(name=name, data=in_version_2(bytes([kind]))) for name, kind in empty_requests.items()),
    ]


def operator_requests() -> list[Request]:
    """Returns the records of operators' tools; their answers contain a message for people."""
    unreadable = b"no document"
    return [
        Request(name="status", data=bytes([MessageType.CONTROLLER])),
        Request(name="shards, as they stand", data=Packer().u8(value=MessageType.SHARDS).blob(value=b"").bytes()),
        Request(name="shards, refused", data=Packer().u8(value=MessageType.SHARDS).blob(value=unreadable).bytes()),
        Request(
            name="shards plan, refused",
            data=Packer().u8(value=MessageType.SHARDS_PLAN).blob(value=unreadable).bytes(),
        ),
        Request(name="shards abandon", data=Packer().u8(value=MessageType.SHARDS_ABANDON).u64(value=2).bytes()),
        Request(name="shards progress", data=bytes([MessageType.SHARDS_PROGRESS])),
        Request(name="shards progress, version 2", data=in_version_2(bytes([MessageType.SHARDS_PROGRESS]))),
    ]


def session_record(*, head: Packer, version: int, ident: str) -> bytes:
    sent = session()
    sent.ident = ident
    return sent.write(packer=head, version=version, now_us=NOW_US).bytes()


def session_replica_request(*, ident: str, number: int) -> bytes:
    head = Packer().u8(value=MessageType.REPLICA).u64(value=0x31).u64(value=number)
    return in_version_2(session_record(head=head, version=SECOND_VERSION, ident=ident))


def touch_request() -> bytes:
    named = [("pooler-1.00aa", 4), ("pooler-1.00cc", 1)]
    packer = Packer().u8(value=MessageType.TOUCH).u64(value=0x31).u64(value=9)
    return in_version_2(packer.many(values=named, each=lambda p, e: p.text(value=e[0]).u64(value=e[1])).bytes())


def seek_requests(*, ident: str) -> list[Request]:
    """Returns the same request in both protocol versions; version 1 has the whole session token in one text."""
    held = session()
    held.ident = ident
    first_version = text_request(kind=MessageType.SEEK, texts=(held.handle,))
    packer = (
        Packer().u8(value=MessageType.SEEK).text(value=ident).u64(value=held.tag.revision).text(value=held.tag.mark)
    )
    return [
        Request(name=f"seek {ident}, version 1", data=first_version),
        Request(name=f"seek {ident}, version 2", data=in_version_2(packer.bytes())),
    ]


def handover_requests(*, ident: str) -> list[Request]:
    first_version = session_record(head=Packer().u8(value=MessageType.HANDOVER), version=1, ident=ident)
    later = session_record(head=Packer().u8(value=MessageType.HANDOVER), version=SECOND_VERSION, ident=ident)
    return [
        Request(name=f"handover {ident}, version 1", data=first_version),
        Request(name=f"handover {ident}, version 2", data=in_version_2(later)),
    ]


def session_requests() -> list[Request]:
    """Returns all record types about sessions, such that each kind of answer occurs."""
    forget = Packer().u8(value=MessageType.FORGET).u64(value=0x31).text(value="pooler-1.00aa").u64(value=4).bytes()
    return [
        Request(name="copy", data=session_replica_request(ident="pooler-1.00aa", number=1)),
        Request(name="copy, alive here", data=session_replica_request(ident="pooler-9.00bb", number=2)),
        Request(name="touch", data=touch_request()),
        *seek_requests(ident="pooler-1.00aa"),
        *seek_requests(ident="pooler-9.00bb"),
        *handover_requests(ident="pooler-9.00bb"),
        Request(name="forget", data=in_version_2(forget)),
        *seek_requests(ident="pooler-1.00dd"),
    ]


def draining_requests() -> list[Request]:
    return [*handover_requests(ident="pooler-1.00aa"), Request(name="touch, leaving", data=touch_request())]


def forward_requests() -> list[Request]:
    steps = {"hello": ForwardStep.hello, "single, another life": ForwardStep.single}
    return [
        Request(
            name=name,
            data=in_version_2(bytes([MessageType.FORWARD]) + forward_request(step=step, verb=Verb.read).bytes()),
        )
        for name, step in steps.items()
    ]


@dataclass(frozen=True, kw_only=True)
class Dialogue:
    """A handler and the requests sent to it in order.

    `has_message`: the second text of its answers is a message for people, which is not compared.
    """

    make: Callable[..., Dispatcher]
    requests: Callable[[], list[Request]]
    has_message: bool = False


DIALOGUES = {
    "register replica": Dialogue(make=replica_dispatcher, requests=replica_requests),
    "control daemon": Dialogue(make=control_dispatcher, requests=control_requests),
    "operator": Dialogue(make=control_dispatcher, requests=operator_requests, has_message=True),
    "front end": Dialogue(make=session_dispatcher, requests=session_requests),
    "front end that stops": Dialogue(make=draining_dispatcher, requests=draining_requests),
    "pooler": Dialogue(make=forward_server, requests=forward_requests),
}


def without_message(*, answer: bytes) -> bytes:
    """Removes the message from an answer to an operator, as its wording may change."""
    version, body = (answer[:1], answer[1:]) if answer[0] & 0x80 else (b"", answer)
    unpacker = Unpacker(data=body)
    kind = unpacker.text()
    unpacker.text()
    return version + Packer().text(value=kind).bytes() + body[unpacker.offset :]


def handler_answers(*, stage: Stage, dialogue: Dialogue, request_data: list[bytes]) -> list[bytes]:
    """Sends records to a new handler, with the pauses of the dialogue's requests; returns the answers."""
    dispatcher = dialogue.make(stage=stage)
    found = []
    for data, request in zip(request_data, dialogue.requests(), strict=True):
        stage.advance(for_us=request.pause_us)
        answer = stage.run(work=dispatcher.dispatch(data))
        found.append(without_message(answer=answer) if dialogue.has_message else answer)
    return found
