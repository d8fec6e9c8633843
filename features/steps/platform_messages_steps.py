"""Steps that compare what the adapter reads and writes on the platform's interfaces with recorded data."""

import json
import os
import tempfile
from typing import Any

from adapter.backend_commands import BackendCommands
from adapter.backend_dialer import BackendDialer
from adapter.backend_link import BackendLink
from adapter.client_connection import ClientConnection, encode
from adapter.control_api import ControlApi
from adapter.error_words import error_word
from adapter.http_messages import HttpRequest, HttpResponse
from adapter.http_server import HttpServerConnection
from adapter.line_splitter import LineSplitter
from adapter.operator_document import read_document
from adapter.promotion_call import PromotionCall
from adapter.proxy_role import ProxyRole
from adapter.ready_fields import format_position, parse_position
from adapter.settings_file import MachineSettings, read_machine_settings
from adapter.statements import read_statement, text_for
from adapter_common import MemoryStreams, connect
from behave import then
from client_connection_steps import FakeProxy
from control_api_steps import FakeController
from expression import Error, Ok
from frozen_data import check_same, check_same_list, load
from stage import NoNet, Stage, announcement

from cinderstair.config.service_plan import Consistency, ServicePlan
from cinderstair.pooler.reply import Reply, State, refusal
from cinderstair.pooler.statement import Statement, Verb
from cinderstair.runtime.errors import CinderstairError, ErrorCode
from cinderstair.runtime.position import Position

STATE_CODES = {"I": State.idle, "T": State.open, "E": State.failed}
VERB_NAMES = {
    Verb.begin: "begin",
    Verb.begin_read: "begin for reading",
    Verb.commit: "commit",
    Verb.rollback: "undo",
    Verb.read: "read",
    Verb.write: "write",
    Verb.set_value: "set a value",
    Verb.prepare: "name a statement",
    Verb.execute: "run a named statement",
    Verb.forget: "forget a named statement",
}
CONSISTENCY_NAMES = {
    Consistency.primary: "primary",
    Consistency.bounded: "bounded age",
    Consistency.session: "own writes",
}
ANSWER_US = 100_000


def as_bytes(*, text: str) -> bytes:
    """Decodes recorded bytes; JSON has no bytes, so each byte is recorded as the Latin-1 character of its value."""
    return text.encode("latin-1")


def as_text(*, data: bytes) -> str:
    """Encodes bytes in the recorded form."""
    return data.decode("latin-1")


# -- clients --


def error_words() -> dict[str, str]:
    """Returns the error word sent to clients, by error kind."""
    return {kind.value: as_text(data=error_word(code=kind)) for kind in ErrorCode}


@then("each error kind has the recorded error word")
def then_error_words(context: Any) -> None:
    check_same(recorded=load(name="platform/error_words"), found=error_words())


def reply_bytes(*, outcome: dict[str, Any]) -> str:
    """Encodes a reply to a client, given its outcome in the recorded form."""
    state = STATE_CODES[outcome["state"]]
    position = Position(*outcome["position"]) if outcome["position"] else None
    if "kind" in outcome:
        reply = refusal(kind=ErrorCode(outcome["kind"]), state=state, retry_after_us=outcome["come_back_us"])
        reply.position = position
    else:
        rows = [as_bytes(text=row) for row in outcome["rows"]]
        reply = Reply(rows=rows, stamp=as_bytes(text=outcome["stamp"]), state=state, position=position)
    if outcome.get("native"):
        reply.native = as_bytes(text=outcome["native"])
    return as_text(data=encode(reply))


@then("replies to clients have the recorded bytes")
def then_replies(context: Any) -> None:
    recorded = load(name="platform/replies")
    found = [reply_bytes(outcome=each["outcome"]) for each in recorded]
    check_same_list(recorded=[each["bytes"] for each in recorded], found=found)


def parsed_positions(*, texts: list[str]) -> dict[str, Any]:
    """Parses each text as a position; returns its numbers and the position formatted again."""
    found: dict[str, Any] = {}
    for text in texts:
        position = parse_position(text=as_bytes(text=text))
        numbers = None if position is None else list(position)
        found[text] = {"numbers": numbers, "written": as_text(data=format_position(position=position))}
    return found


@then("the recorded positions are parsed and formatted as recorded")
def then_positions(context: Any) -> None:
    recorded = load(name="platform/positions")
    check_same(recorded=recorded, found=parsed_positions(texts=list(recorded)))


def statement_form(*, text: str) -> dict[str, Any] | str:
    """Parses a client's statement; returns its fields and the text for the backend, or the error message."""
    try:
        statement = read_statement(ident=b"id7", text=as_bytes(text=text))
    except ValueError as error:
        return str(error)
    return {
        "kind": VERB_NAMES[statement.verb],
        "ident": as_text(data=statement.ident),
        "name": as_text(data=statement.name),
        "content": as_text(data=statement.content),
        "changes": bool(statement.writes),
        "to backend": as_text(data=text_for(statement=statement, alias=b"p7")),
    }


@then("the recorded statements are parsed and sent to backends as recorded")
def then_statements(context: Any) -> None:
    recorded = load(name="platform/statements")
    check_same(recorded=recorded, found={text: statement_form(text=text) for text in recorded})


def split_lines(*, chunks: list[str]) -> list[str]:
    """Splits chunks of bytes into lines."""
    splitter = LineSplitter()
    return [as_text(data=line) for chunk in chunks for line in splitter.feed(as_bytes(text=chunk))]


@then("the recorded chunks are split into the recorded lines")
def then_lines(context: Any) -> None:
    recorded = load(name="platform/lines")
    found = [split_lines(chunks=each["chunks"]) for each in recorded]
    check_same_list(recorded=[each["lines"] for each in recorded], found=found)


def conversation(*, context: Any, sends: list[str], configured: bool) -> list[dict[str, Any]]:
    """Sends messages to a client connection; returns what the client has received after each of them.

    If not `configured`, the proxy has no plan, and the test waits 2 s for each reply.
    """
    context.stage = Stage(context=context)
    proxy = FakeProxy(stage=context.stage)
    if not configured:
        proxy.view.plan = None
    counters: list[str] = []
    connect(context=context, make=lambda: ClientConnection(proxy=proxy, connections=set(), count=counters.append))
    found = []
    for text in sends:
        data = as_bytes(text=text)
        context.stage.call(call=lambda data=data: context.transport.feed(data))
        context.stage.advance(for_us=ANSWER_US if configured else 2_000_000)
        received = as_text(data=context.transport.take())
        found.append({"receives": received, "closed": context.transport.closing, "counted": list(counters)})
    return found


@then("the recorded conversations of clients have the recorded replies")
def then_conversations(context: Any) -> None:
    recorded = load(name="platform/client_door")
    found = [conversation(context=context, sends=each["sends"], configured=each["configured"]) for each in recorded]
    check_same_list(recorded=[each["answers"] for each in recorded], found=found)


# -- backends --


def send_all_requests(*, link: BackendLink) -> None:
    """Sends each kind of request that a link can send to its backend."""
    at = Position(3, 7)
    link.handshake(service="s1", name="srv-1")
    link.begin(read_only=False, at_least=None)
    link.begin(read_only=True, at_least=at)
    for text in (b"FETCH 1", b"PUT 1 a  b", b"COMMIT"):
        link.send(statement=read_statement(ident=b"id", text=text))
    link.send(statement=read_statement(ident=b"id", text=b"FETCH 1"), at_least=at)
    link.set_value(name=b"a", value=b"b c")
    link.prepare(alias=b"p0", shape=b"q", writes=True)
    link.prepare(alias=b"p1", shape=b"r", writes=False)
    executed = Statement(ident=b"id", verb=Verb.execute, name=b"mine", content=b"1 x")
    link.send(statement=executed, at_least=at, alias=b"p0")
    link.clear()
    link.rollback()
    link.ask_position()


def backend_request_bytes(*, context: Any) -> str:
    """Returns the bytes of all kinds of requests to a backend."""
    context.stage = Stage(context=context)
    connect(context=context, make=BackendLink)
    context.stage.call(call=lambda: send_all_requests(link=context.protocol))
    return as_text(data=context.transport.take())


@then("requests to a backend have the recorded bytes")
def then_backend_lines(context: Any) -> None:
    found = backend_request_bytes(context=context).split("\r\n")
    check_same_list(recorded=load(name="platform/backend_questions"), found=found)


def read_reply(*, context: Any, answer: str) -> dict[str, Any]:
    """Sends a read and delivers the backend's answer; returns the parsed reply in the recorded form."""
    context.stage = Stage(context=context)
    connect(context=context, make=BackendLink)
    replies: list[Any] = []
    statement = read_statement(ident=b"id", text=b"FETCH 1")
    context.stage.call(call=lambda: replies.append(context.protocol.send(statement=statement)))
    context.stage.call(call=lambda: context.transport.feed(as_bytes(text=answer)))
    context.stage.advance(for_us=1_000)
    if not replies[0].done() or replies[0].exception() is not None:
        return {"answered": False}
    reply: Reply = replies[0].result()
    return {
        "answered": True,
        "rows": [as_text(data=row) for row in reply.rows],
        "stamp": as_text(data=reply.stamp),
        "kind": None if reply.fault is None else reply.fault.value,
        "native": as_text(data=reply.native),
        "was not run": reply.not_run,
        "may be tried elsewhere": reply.retriable,
        "state": next(state_code for state_code, state in STATE_CODES.items() if state == reply.state),
        "position": None if reply.position is None else list(reply.position),
    }


@then("the recorded replies of a backend are parsed as recorded")
def then_backend_answers(context: Any) -> None:
    recorded = load(name="platform/backend_answers")
    check_same(recorded=recorded, found={text: read_reply(context=context, answer=text) for text in recorded})


def command_bytes(*, context: Any) -> dict[str, str]:
    """Returns the bytes sent to a backend for each command; the backend does not reply."""
    found = {}
    for name in ("state", "pause", "step down"):
        stage = Stage(context=context)
        streams = MemoryStreams(script=["READY I 3.5\\r\\n + silence"])
        commands = BackendCommands(ctx=stage.ctx, dialer=BackendDialer(ctx=stage.ctx, streams=streams))
        backend = announcement(name="srv-1", service="s1")
        calls = {
            "state": lambda of=commands, to=backend: of.state(backend=to, wait_us=300_000),
            "pause": lambda of=commands, to=backend: of.pause(backend=to, wait_us=300_000, term=4),
            "step down": lambda of=commands, to=backend: of.step_down(backend=to, wait_us=300_000, term=5),
        }
        stage.run(work=calls[name]())
        found[name] = as_text(data=streams.transports[0].sent)
    return found


@then("commands to a backend have the recorded bytes")
def then_commands(context: Any) -> None:
    check_same(recorded=load(name="platform/backend_commands"), found=command_bytes(context=context))


# -- HTTP interfaces --


def control_exchange(*, context: Any, exchange: dict[str, Any]) -> dict[str, Any]:
    """Returns the control API's response to a request, and the heartbeats and departures it passed on."""
    stage = Stage(context=context)
    controller = FakeController()
    controller.has_majority = exchange.get("in_touch", True)
    if "kind" in exchange:
        failure = Error(CinderstairError(code=ErrorCode(exchange["kind"]), reason="because"))
        controller.submits = controller.document = failure
    elif "document" in exchange:
        controller.document = Ok(as_bytes(text=exchange["document"]))
    closer_addresses = {"yard-b": "10.2.0.2:5001"}
    api = ControlApi(controller=controller, closer_address=lambda site: closer_addresses.get(site, ""))  # type: ignore[arg-type]
    body = as_bytes(text=exchange.get("body", ""))
    request = HttpRequest(method=exchange["method"], target=exchange["target"], body=body)
    answer = stage.run(work=api.handle(request))
    return {
        "status": answer.status,
        "body": as_text(data=answer.body),
        "heard": [announcement_form(each=each) for each in controller.received],
        "departed": controller.deregistered,
    }


def announcement_form(*, each: Any) -> dict[str, Any]:
    """Returns a heartbeat's announcement in the recorded form."""
    return {
        "server": each.name,
        "call_count": each.number,
        "target": each.service,
        "address": each.address,
        "zone": each.site,
        "standing": each.state,
        "primary": each.is_primary,
        "call_room": each.capacity,
    }


@then("the recorded requests to the control API have the recorded responses")
def then_control_api(context: Any) -> None:
    recorded = load(name="platform/control_edge")
    found = [control_exchange(context=context, exchange=each["request"]) for each in recorded]
    check_same_list(recorded=[each["answer"] for each in recorded], found=found)


def plan_form(*, plan: ServicePlan) -> dict[str, Any]:
    """Returns a service plan in the recorded form."""
    routes = {
        name: [each.service, CONSISTENCY_NAMES[each.consistency], each.time_limit_us, each.rank, each.max_age_us]
        for name, each in plan.routes.items()
    }
    services = {name: [each.link_cap, each.confirmations] for name, each in plan.services.items()}
    return {
        "revision": plan.version,
        "routes": routes,
        "services": services,
        "rest limit": plan.idle_transaction_limit_us,
        "bytes kept": as_text(data=plan.document),
    }


def document_form(*, text: str) -> dict[str, Any] | str:
    """Parses an operator's document; returns the plan, or the error if it is refused."""
    read = read_document(raw=text.encode())
    return plan_form(plan=read.ok) if read.is_ok() else f"{read.error.code.value}: {read.error.reason}"


@then("the recorded operator documents are parsed as recorded")
def then_documents(context: Any) -> None:
    recorded = load(name="platform/operator_documents")
    check_same(recorded=recorded, found={text: document_form(text=text) for text in recorded})


def http_server_response(*, context: Any) -> str:
    """Returns the bytes of an HTTP server's response with status 409 to a PUT."""
    context.stage = Stage(context=context)

    async def handle(request: HttpRequest) -> HttpResponse:
        body = json.dumps({"error": f"{request.method} {request.target}"}).encode()
        return HttpResponse(status=409, body=body)

    connect(context=context, make=lambda: HttpServerConnection(ctx=context.stage.ctx, handle=handle))
    request = b"PUT /cinderstair/settings HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
    context.stage.call(call=lambda: context.transport.feed(request))
    context.stage.advance(for_us=ANSWER_US)
    return as_text(data=context.transport.take())


@then("a response of the HTTP server has the recorded bytes")
def then_http_response(context: Any) -> None:
    check_same_list(
        recorded=load(name="platform/edge_answer"), found=http_server_response(context=context).split("\r\n")
    )


class RecordingStreams:
    """Records the protocol served at each address instead of listening."""

    def __init__(self) -> None:
        self.served: dict[str, Any] = {}

    async def serve(self, *, address: str, protocol: Any) -> None:
        self.served[address] = protocol


class ListeningNet(NoNet):
    """A network on which listening succeeds and no record arrives."""

    async def listen(self, *, address: str, handler: Any) -> None:
        return None


class ReadyProxy:
    """A proxy that is ready and hears from controllers; also acts as its own view."""

    def __init__(self) -> None:
        self.ready = True
        self.view = self
        self.controllers_silent_us = 0


def probe_responses(*, context: Any, targets: list[str], ready: bool) -> dict[str, str]:
    """Returns the bytes of the readiness probe's response, by target."""
    context.stage = Stage(context=context)
    context.stage.ctx.net = ListeningNet()
    streams = RecordingStreams()
    machine = MachineSettings(name="b", site="yard-a", ip="10.1.0.7", seeds=("10.1.0.2:1",), ready="r:1", front="f:1")
    role = ProxyRole(context.stage.ctx, machine, streams)  # type: ignore[arg-type]
    context.stage.run(work=role.start())
    if ready:
        role.proxy = ReadyProxy()  # type: ignore[assignment]
    found = {}
    for target in targets:
        connect(context=context, make=streams.served["r:1"])
        request = f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
        context.stage.call(call=lambda data=request: context.transport.feed(data))
        context.stage.advance(for_us=ANSWER_US)
        found[target] = as_text(data=context.transport.take())
    return found


@then("the recorded readiness probes have the recorded responses")
def then_probe(context: Any) -> None:
    recorded = load(name="platform/ready_probe")
    for answer, ready in (("ready", True), ("not ready", False)):
        targets = list(recorded[answer])
        check_same(recorded=recorded[answer], found=probe_responses(context=context, targets=targets, ready=ready))


def promotion_exchange(*, context: Any, status: str) -> dict[str, str]:
    """Sends a promotion call; returns its bytes and its result for a status code or a connection failure."""
    stage = Stage(context=context, name="core-1")
    script = f"HTTP/1.1 {status} X\\r\\nContent-Length: 0\\r\\n\\r\\n" if status.isdigit() else status
    streams = MemoryStreams(script=[script])
    call = PromotionCall(ctx=stage.ctx, streams=streams, address="10.0.0.1:80")
    work = call.promote(service="s1", backend="srv-1", fence_number=12, holds=lambda: True)
    result = stage.run(work=work)
    sent = as_text(data=streams.transports[0].sent) if streams.transports else ""
    return {"sent": sent, "result": "done" if result.is_ok() else result.error.code.value}


@then("the promotion call has the recorded bytes and results")
def then_promotion(context: Any) -> None:
    recorded = load(name="platform/promotion_call")
    check_same(recorded=recorded, found={each: promotion_exchange(context=context, status=each) for each in recorded})


# -- settings --


def machine_form(*, machine: MachineSettings) -> dict[str, Any]:
    """Returns the settings of a machine by the keys of the file; times are in microseconds."""
    return {
        "node": machine.name,
        "zone": machine.site,
        "ip": machine.ip,
        "seeds": list(machine.seeds),
        "zones": machine.regions,
        "spare_ports first": machine.records_port,
        "data_folder": machine.folder,
        "addresses.front": machine.front,
        "addresses.ready": machine.ready,
        "addresses.control": machine.control,
        "provider_api.address": machine.provider,
        "first_run": machine.first_run,
        "survive": machine.losses,
        "beat_every_ms": machine.heartbeat_interval_us,
        "bounds.grace_s": machine.grace_us,
        "bounds.catch_up_s": machine.catch_up_us,
        "bounds.drain_ms": machine.drain_us,
        "own records address": machine.records,
        "records addresses of seeds": list(machine.record_seeds),
        "distances": [machine.distance(site=site) for site in ("yard-a", "yard-b", "yard-c", "yard-z")],
    }


def settings_form(*, text: str) -> dict[str, Any] | str:
    """Reads a platform settings file; returns its settings, or the reason if it is refused."""
    handle, path = tempfile.mkstemp(suffix=".toml")
    try:
        os.write(handle, text.encode())
        read = read_machine_settings(path=path)
    finally:
        os.close(handle)
        os.unlink(path)
    return machine_form(machine=read.ok) if read.is_ok() else read.error.reason.replace(path, "FILE")


@then("the recorded settings files of the platform are read as recorded")
def then_settings(context: Any) -> None:
    recorded = load(name="platform/settings_files")
    check_same(recorded=recorded, found={text: settings_form(text=text) for text in recorded})
