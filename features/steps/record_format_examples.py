"""Example values of all types that are sent between daemons or stored in the register or on disk."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cinderstair.config.service_plan import (
    AcceptedVersion,
    Consistency,
    DatabaseRoute,
    Service,
    ServicePlan,
    read_service_plan,
)
from cinderstair.config.shard_map import ShardMap, read_shard_map
from cinderstair.consensus.ballot import Ballot, read_ballot
from cinderstair.consensus.cell import Cell
from cinderstair.consensus.durable_state import DurableState, apply_entry, cell_entry, ident_entry, roster_entry
from cinderstair.consensus.roster import Roster, Voter, read_roster, read_voter, write_voter
from cinderstair.failover.assignment_notice import (
    AssignmentNotice,
    ControllerReceipt,
    ProxyReceipt,
    read_controller_receipt,
    read_proxy_receipt,
)
from cinderstair.failover.database_primary import CLOSING, MOVING, SETTLED, DatabasePrimary, read_database_primary
from cinderstair.failover.proxy_addresses import ProxyAddress, ProxyAddresses, read_proxy_addresses
from cinderstair.failover.proxy_ids import ProxyId, ProxyIds, read_proxy_ids
from cinderstair.failover.service_primary import PrimaryState, ServicePrimary, read_service_primary
from cinderstair.failover.shard_state import ShardPhase, ShardState, Vote, read_shard_state
from cinderstair.http_frontend.session import Session, read_session
from cinderstair.http_frontend.session_token import UNMARKED, SessionToken, Tag, parse_session_token
from cinderstair.maintenance.window_states import Stage as WindowStage
from cinderstair.maintenance.window_states import WindowState, WindowStates, read_window_states
from cinderstair.membership.announcement import GONE, Announcement, read_announcement
from cinderstair.membership.heartbeat import EMPTYING, READY, STARTING, Heartbeat, read_heartbeat
from cinderstair.membership.member import Member, Standing, read_member
from cinderstair.membership.pooled_sample import PooledSample, ReportedSample, WantedSample
from cinderstair.membership.relay_record import (
    RelayAnswer,
    RelayedBackend,
    RelayedValue,
    RelayQuestion,
    read_relay_answer,
    read_relay_question,
    read_relayed_value,
)
from cinderstair.pooler.forward_record import (
    ForwardRequest,
    ForwardResponse,
    ForwardStep,
    Outcome,
    read_forward_request,
    read_forward_response,
)
from cinderstair.pooler.reply import Reply, State
from cinderstair.pooler.statement import Statement, Verb
from cinderstair.runtime.errors import ErrorCode
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.position import Position
from cinderstair.runtime.unpacker import Unpacker

# records contain a session's age, so the examples are encoded and decoded at the same time
NOW_US = 50_000_000
SESSION_TAG = Tag(4, "0badcafe")


@dataclass(frozen=True, kw_only=True)
class Example:
    """A value with the functions that encode and decode it."""

    value: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


def encode_part(value: Any) -> bytes:
    """Encodes a value that is always part of a larger record."""
    packer = Packer()
    value.write(packer=packer)
    return packer.bytes()


def decode_all(*, data: bytes, read: Callable[[Unpacker], Any], version: int = 1) -> Any:
    """Decodes such a part, and fails if bytes are left over."""
    unpacker = Unpacker(data=data, version=version)
    found = read(unpacker)
    unpacker.done()
    return found


def announcement(*, state: str, is_primary: bool = False) -> Announcement:
    return Announcement(
        name="db-1",
        number=7,
        service="alpha",
        address="10.3.0.1:5432",
        site="near",
        state=state,
        is_primary=is_primary,
        capacity=12,
    )


def heartbeat(*, state: str) -> Heartbeat:
    return Heartbeat(
        name="db-1", incarnation=3, number=9, site="near", state=state, is_primary=True, term=4, position=1_234
    )


def member(*, standing: Standing) -> Member:
    return Member(
        name="pooler-1",
        role="stall",
        site="near",
        records="10.2.0.1:7200",
        http="10.2.0.1:8080",
        incarnation=5,
        standing=standing,
    )


def roster(*, epoch: int) -> Roster:
    voters = [Voter(ident=0x10 + n, name=f"replica-{n}", address=f"10.1.0.{n}:7100") for n in (1, 2, 3)]
    return Roster(epoch=epoch, voters=tuple(voters))


def plan() -> ServicePlan:
    kinds = (Consistency.primary, Consistency.bounded, Consistency.session)
    routes = [
        DatabaseRoute(
            database=f"database-{number}",
            service="alpha" if number else "beta",
            consistency=consistency,
            time_limit_us=250_000 + number,
            rank=number,
            max_age_us=1_000_000 * number,
        )
        for number, consistency in enumerate(kinds)
    ]
    services = [
        Service(name="alpha", link_cap=40, confirmations=1),
        Service(name="beta", link_cap=8, confirmations=2),
    ]
    return ServicePlan(
        version=9,
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        idle_transaction_limit_us=30_000_000,
        document=b'{"version": 9}',
        accepted=(
            AcceptedVersion(version=8, digest=b"\x01\x02\x03\x04"),
            AcceptedVersion(version=9, digest=b"\x05\x06\x07\x08"),
        ),
    )


def database_primary(*, state: str) -> DatabasePrimary:
    return DatabasePrimary(
        term=6,
        primary="db-1",
        incarnation=2,
        state=state,
        in_sync=("db-2", "db-3"),
        joining=("db-4",),
        successors=("db-5",),
        planned=state == CLOSING,
    )


def service_primary(*, state: PrimaryState) -> ServicePrimary:
    return ServicePrimary(
        term=6, primary="db-2", state=state, fence=Position(5, 4_096), ready_in_us=700_000, planned=True, revision=8
    )


def shard_state(*, phase: ShardPhase) -> ShardState:
    return ShardState(
        phase=phase,
        current=ShardMap(version=1, placements={"orders": "alpha"}),
        following=ShardMap(version=2, placements={"orders": "beta", "reports": "beta"}, agree_percent=75),
        ready_in_us=900_000,
        proposal=3,
        in_flight_us=2_900_000,
        reason="too few agreed",
    )


def window_states() -> WindowStates:
    stages = (WindowStage.booked, WindowStage.open, WindowStage.ended)
    return WindowStates(
        states=tuple(
            WindowState(name=f"window-{n}", starts_us=1_000 + n, ends_us=2_000 + n, stage=stage)
            for n, stage in enumerate(stages)
        )
    )


def relay_question(*, vote: Vote) -> RelayQuestion:
    return RelayQuestion(
        proxy="pooler-1",
        site="near",
        source=0x1234,
        revision=17,
        suspected=("db-1", "db-2"),
        proposal=3,
        vote=vote,
        samples=(ReportedSample(service="alpha", term=6, moment_us=77, position=Position(6, 99)),),
        wanted=(WantedSample(service="beta", revision=4),),
        brief=vote == Vote.silent,
    )


def relay_answer() -> RelayAnswer:
    return RelayAnswer(
        source=0x1234,
        revision=18,
        age_us=150_000,
        full=True,
        values=(RelayedValue(key="service/alpha", ballot=Ballot(5, 6), value=b"\x07\x08"),),
        backends=(RelayedBackend(announcement=announcement(state=READY, is_primary=True), silent=True),),
        controllers=("10.1.0.1:7100", "10.1.0.2:7100"),
        answered_us=88,
        samples=(PooledSample(service="beta", term=2, age_us=400, position=Position(2, 50), revision=5),),
        ask=("alpha",),
        site="far",
    )


def forward_request(*, step: ForwardStep, verb: Verb) -> ForwardRequest:
    return ForwardRequest(
        requester="pooler-2",
        step=step,
        incarnation=0x55,
        until_us=999_000,
        connection=12,
        backend="db-1",
        service="alpha",
        database="orders",
        rank=2,
        read_only=True,
        at_least=Position(6, 100),
        values={b"zone": b"UTC"},
        statement=Statement(ident=b"q1", verb=verb, text=b"SELECT 1", name=b"n", content=b"c", writes=True),
        shape=b"SELECT ?",
        connections=(12, 13),
    )


def forward_response(*, outcome: Outcome, state: State, fault: ErrorCode | None) -> ForwardResponse:
    reply = Reply(
        rows=[b"row-1", b"row-2"],
        stamp=b"stamp",
        fault=fault,
        native=b"native words",
        not_run=True,
        retriable=True,
        state=state,
        position=None if fault is None else Position(6, 101),
        retry_after_us=5_000,
    )
    return ForwardResponse(incarnation=0x55, now_us=998_000, outcome=outcome, reply=reply, unknown=(13,))


def session(*, tagged: bool = True) -> Session:
    return Session(
        ident="pooler-1.00aa",
        database="orders",
        values={"zone": "UTC", "limit": 5},
        prepared={"find": "SELECT ?"},
        floor=77,
        used_us=NOW_US - 250_000,
        tag=SESSION_TAG if tagged else UNMARKED,
        previous_tag=Tag(3, "00c0ffee") if tagged else UNMARKED,
    )


def first_version_session(*, tagged: bool) -> Session:
    """Returns the session as version 1 of the protocol carries it, without age and previous tag."""
    found = session(tagged=tagged)
    found.used_us, found.previous_tag = NOW_US, UNMARKED
    return found


def session_example(*, value: Session, version: int) -> Example:
    return Example(
        value=value,
        encode=lambda each: each.write(packer=Packer(), version=version, now_us=NOW_US).bytes(),
        decode=lambda data: decode_all(
            data=data, read=lambda u: read_session(unpacker=u, now_us=NOW_US), version=version
        ),
    )


def disk_entry_example(*, value: DurableState, encode: Callable[[DurableState], bytes]) -> Example:
    """Returns the example of a log entry of a replica, which is applied to an empty state."""

    def decode(data: bytes) -> DurableState:
        state = DurableState()
        assert not apply_entry(state=state, entry=data)
        return state

    return Example(value=value, encode=encode, decode=decode)


def bytes_example(*, value: Any, read: Callable[[bytes], Any]) -> Example:
    """Returns the example of a type that encodes a whole record or register value."""
    return Example(value=value, encode=lambda each: each.bytes(), decode=read)


def part_example(*, value: Any, read: Callable[[Unpacker], Any]) -> Example:
    """Returns the example of a type that encodes part of a record."""
    return Example(value=value, encode=encode_part, decode=lambda data: decode_all(data=data, read=read))


def voter_example() -> Example:
    def encode(voter: Voter) -> bytes:
        packer = Packer()
        write_voter(packer=packer, voter=voter)
        return packer.bytes()

    return Example(
        value=roster(epoch=1).voters[0],
        encode=encode,
        decode=lambda data: decode_all(data=data, read=lambda u: read_voter(unpacker=u)),
    )


def token_example(*, value: SessionToken) -> Example:
    return Example(
        value=value,
        encode=lambda each: str(each).encode(),
        decode=lambda data: parse_session_token(text=data.decode()),
    )


def shard_examples() -> dict[str, Example]:
    shard_map = ShardMap(version=4, placements={"orders": "alpha", "reports": "beta"}, agree_percent=60)
    phases = {"steady": ShardPhase.steady, "proposed": ShardPhase.proposed, "closing": ShardPhase.closing}
    found = {"shard map": part_example(value=shard_map, read=lambda u: read_shard_map(unpacker=u))}
    for name, phase in phases.items():
        state = shard_state(phase=phase)
        found[f"shard state, {name}"] = bytes_example(value=state, read=lambda data: read_shard_state(data=data))
    return found


def primary_examples() -> dict[str, Example]:
    found = {}
    for name, state in {"settled": SETTLED, "closing": CLOSING, "moving": MOVING}.items():
        value = database_primary(state=state)
        found[f"database lead, {name}"] = bytes_example(
            value=value, read=lambda data: read_database_primary(data=data)
        )
    states = {"settled": PrimaryState.settled, "closing": PrimaryState.closing, "moving": PrimaryState.moving}
    for name, number in states.items():
        example_value = service_primary(state=number)
        found[f"service lead, {name}"] = bytes_example(
            value=example_value, read=lambda data: read_service_primary(data=data)
        )
    return found


def register_examples() -> dict[str, Example]:
    """Returns an example of each type of register value."""
    proxy_ids = ProxyIds(names=(ProxyId(0, "pooler-1"), ProxyId(2, "pooler-3")))
    proxy_addresses = ProxyAddresses(
        addresses={
            "pooler-1": ProxyAddress(site="near", records="10.2.0.1:7200"),
            "pooler-2": ProxyAddress(site="far"),
        }
    )
    return {
        "voter list": bytes_example(value=roster(epoch=3), read=lambda data: read_roster(data=data)),
        "service configuration": bytes_example(value=plan(), read=lambda data: read_service_plan(data=data)),
        "slot table": bytes_example(value=proxy_ids, read=lambda data: read_proxy_ids(data=data)),
        "place table": bytes_example(value=proxy_addresses, read=lambda data: read_proxy_addresses(data=data)),
        "window stages": bytes_example(value=window_states(), read=lambda data: read_window_states(data=data)),
        **primary_examples(),
        **shard_examples(),
    }


def disk_examples() -> dict[str, Example]:
    """Returns an example of each kind of entry in a replica's log and slots."""
    cell = Cell(promised=Ballot(9, 3), accepted=Ballot(8, 2), value=b"kept")
    voters = roster(epoch=2).bytes()
    return {
        "disk entry, one key": disk_entry_example(
            value=DurableState(cells={"plan": cell}),
            encode=lambda state: b"".join(cell_entry(key=key, cell=each) for key, each in state.cells.items()),
        ),
        "disk entry, voter list": disk_entry_example(
            value=DurableState(roster=voters), encode=lambda state: roster_entry(data=state.roster)
        ),
        "disk entry, identity": disk_entry_example(
            value=DurableState(ident=0x1122334455667788), encode=lambda state: ident_entry(ident=state.ident)
        ),
    }


def membership_examples() -> dict[str, Example]:
    standings = {
        "alive": Standing.alive,
        "suspect": Standing.suspect,
        "left": Standing.left,
        "dead": Standing.dead,
    }
    found = {
        f"member, {name}": part_example(value=member(standing=standing), read=lambda u: read_member(unpacker=u))
        for name, standing in standings.items()
    }
    for name, state in {"ready": READY, "emptying": EMPTYING, "gone": GONE}.items():
        example_value = announcement(state=state)
        found[f"announcement, {name}"] = part_example(
            value=example_value, read=lambda u: read_announcement(unpacker=u)
        )
    for name, state in {"ready": READY, "emptying": EMPTYING, "starting": STARTING}.items():
        found[f"beat, {name}"] = part_example(value=heartbeat(state=state), read=lambda u: read_heartbeat(unpacker=u))
    return found


def relay_examples() -> dict[str, Example]:
    votes = {"silent": Vote.silent, "agrees": Vote.agrees, "disagrees": Vote.disagrees, "closed": Vote.closed}
    found = {
        f"relay question, {name}": part_example(
            value=relay_question(vote=vote), read=lambda u: read_relay_question(unpacker=u)
        )
        for name, vote in votes.items()
    }
    found["relay answer"] = bytes_example(value=relay_answer(), read=lambda data: read_relay_answer(data=data))
    return found


def notice_examples() -> dict[str, Example]:
    assignment = ServicePrimary(term=7, primary="db-2", state=PrimaryState.moving, fence=Position(6, 41), revision=3)
    value = RelayedValue(key="service/alpha", ballot=Ballot(9, 0x55), value=assignment.bytes())
    return {
        "assignment notice": part_example(
            value=AssignmentNotice(value=value),
            read=lambda u: AssignmentNotice(value=read_relayed_value(u)),
        ),
        "controller receipt": bytes_example(
            value=ControllerReceipt(proxies=("pooler-1", "pooler-2")),
            read=lambda data: read_controller_receipt(data=data),
        ),
        "proxy receipt": bytes_example(
            value=ProxyReceipt(running_us=5_000_000, acknowledged=Position(6, 41), acknowledged_ago_us=1_500),
            read=lambda data: read_proxy_receipt(data=data),
        ),
        "proxy receipt, with lower bounds": bytes_example(
            value=ProxyReceipt(
                running_us=5_000_000,
                acknowledged=Position(6, 41),
                acknowledged_ago_us=1_500,
                acknowledged_least=Position(6, 30),
                reached_before=(Position(6, 38), Position(6, 39)),
            ),
            read=lambda data: read_proxy_receipt(data=data),
        ),
    }


def forward_examples() -> dict[str, Example]:
    steps = {
        "hello": (ForwardStep.hello, Verb.begin),
        "single": (ForwardStep.single, Verb.write),
        "begin": (ForwardStep.begin, Verb.begin_read),
        "next": (ForwardStep.next, Verb.commit),
        "rollback": (ForwardStep.rollback, Verb.rollback),
        "close": (ForwardStep.close, Verb.read),
        "position": (ForwardStep.position, Verb.execute),
        "keep": (ForwardStep.keep, Verb.set_value),
        "next, prepare": (ForwardStep.next, Verb.prepare),
        "next, forget": (ForwardStep.next, Verb.forget),
    }
    found = {}
    for name, (step, verb) in steps.items():
        request = forward_request(step=step, verb=verb)
        found[f"forward question, {name}"] = bytes_example(
            value=request, read=lambda data: decode_all(data=data, read=lambda u: read_forward_request(unpacker=u))
        )
    responses = {
        "answered": forward_response(outcome=Outcome.answered, state=State.open, fault=None),
        "not sent": forward_response(outcome=Outcome.not_sent, state=State.idle, fault=ErrorCode.NO_BACKEND),
        "lost": forward_response(outcome=Outcome.lost, state=State.failed, fault=ErrorCode.OUTCOME_UNKNOWN),
    }
    for name, response in responses.items():
        found[f"forward answer, {name}"] = bytes_example(
            value=response, read=lambda data: read_forward_response(data=data)
        )
    return found


def session_examples() -> dict[str, Example]:
    return {
        "session, version 1": session_example(value=first_version_session(tagged=True), version=1),
        "session without a tag, version 1": session_example(value=first_version_session(tagged=False), version=1),
        "session, version 2": session_example(value=session(), version=2),
        "session handle": token_example(value=SessionToken("pooler-1.00aa", SESSION_TAG)),
        "session handle without a tag": token_example(value=SessionToken("pooler-1.00aa", UNMARKED)),
    }


def ballot_example() -> Example:
    return part_example(value=Ballot(5, 6), read=lambda u: read_ballot(unpacker=u))


def all_examples() -> dict[str, Example]:
    """Returns all examples by their names in the recorded data."""
    return {
        "ballot": ballot_example(),
        "voter": voter_example(),
        **register_examples(),
        **disk_examples(),
        **membership_examples(),
        **relay_examples(),
        **notice_examples(),
        **forward_examples(),
        **session_examples(),
    }
