"""Steps that replay recorded HTTP requests and compare the answers byte for byte."""

import asyncio
import json
import random
import re
from pathlib import Path
from typing import Any

from behave import given, then
from common import new_world, run
from forward_steps import given_proxies
from frozen_data import check_same, check_same_list, load
from stage import Stage

from cinderstair.http_frontend.reject_mixin import RejectMixin
from cinderstair.pooler.forward_record import ForwardRequest, ForwardStep
from cinderstair.pooler.statement import Statement, Verb
from cinderstair.runtime.context import Context
from cinderstair.runtime.counters import Counters
from cinderstair.runtime.dispatcher import Dispatcher
from cinderstair.runtime.errors import ErrorCode
from cinderstair.runtime.http_request import HttpRequest
from cinderstair.runtime.http_response import HttpResponse
from cinderstair.runtime.message_types import MessageType
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.real_net import RealNet
from cinderstair.runtime.traces import Traces
from cinderstair.runtime.unpacker import Unpacker
from cinderstair.simulation.fleet import free_ports
from cinderstair.simulation.sim_net import SimNet
from cinderstair.simulation.virtual_loop import SimProcess
from cinderstair.simulation.world import World

SOURCES = Path(__file__).resolve().parents[2]
SEED = 21
ANSWER_WAIT_US = 8_000_000
HANDLE = re.compile(r"[A-Za-z0-9_.-]+\.\d+-[0-9a-f]{8}")
VARYING = re.compile(r'"(ageUs|opened|closed|open|waiting|position|received|applied)":\d+')
SPAN_VARYING = re.compile(r'"(traceId|spanId|startTimeUnixNano|endTimeUnixNano)":"\w+"')
NUMBER = re.compile(r"(: ?)\d+")


def masked(*, text: str) -> str:
    """The text without what is random or depends on the time."""
    return VARYING.sub(r'"\1":N', HANDLE.sub("HANDLE", text))


def shown(*, response: HttpResponse) -> dict[str, Any]:
    """An answer in the form in which it is recorded."""
    return {
        "status": response.status,
        "headers": dict(response.headers),
        "body": masked(text=response.body.decode()),
    }


# -- error kinds --


class Denier(RejectMixin):
    """Gives the answers that every filter gives."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx


def denials(*, context: Any, kinds: list[str]) -> dict[str, Any]:
    """The answer for each error kind, by the kind's word on the wire."""
    stage = Stage(context=context)
    denier = Denier(ctx=stage.ctx)
    found = {word: shown(response=denier.reject(kind=ErrorCode(word), reason="because")) for word in kinds}
    details = {"retryAfterUs": 2_500_000, "elsewhere": ["10.0.0.1:1"]}
    busy = denier.reject(kind=ErrorCode("crowded"), reason="because", details=details)
    return {**found, "crowded with details": shown(response=busy)}


def denial_counters(*, context: Any) -> list[str]:
    """The names of the counters that count denials."""
    stage = Stage(context=context)
    denier = Denier(ctx=stage.ctx)
    for kind in ErrorCode:
        denier.reject(kind=kind, reason="because")
    denier.done()
    return sorted(stage.ctx.counters.snapshot())


@then("the frozen answer for each error kind is given again")
def then_kinds(context: Any) -> None:
    recorded = load(name="http/error_kinds")
    words = [kind.value for kind in ErrorCode]
    check_same(recorded=recorded, found=denials(context=context, kinds=words))


@then("the frozen counters of denials are counted again")
def then_denial_counters(context: Any) -> None:
    check_same_list(recorded=load(name="http/denial_counters"), found=denial_counters(context=context))


# -- requests to a running system --


async def exchange(*, world: World, name: str, method: str, path: str, body: bytes) -> HttpResponse:
    """One request on a connection of its own."""
    net = SimNet(network=world.network, process=SimProcess(name="operator"))
    connection = (await net.dial(address=world.http(name=name), wait_us=500_000)).ok
    request = HttpRequest(method=method, path=path, body=body)
    result = await connection.send_request(request=request, wait_us=ANSWER_WAIT_US)
    connection.close()
    return result.ok


class Replay:
    """Sends recorded requests in their order and keeps the session's newest handle."""

    def __init__(self, *, world: World) -> None:
        self.world = world
        self.session = ""
        self.before = ""

    def send(self, *, request: dict[str, Any]) -> dict[str, Any]:
        self.world.advance(for_us=request.get("after_us", 0))
        path = request["path"].replace("{session}", self.session).replace("{before}", self.before)
        response = self.world.run(
            work=exchange(
                world=self.world,
                name=request.get("daemon", "stall-0"),
                method=request["method"],
                path=path,
                body=request.get("body", "").encode(),
            )
        )
        self._keep_handle(body=response.body)
        return shown(response=response)

    def _keep_handle(self, *, body: bytes) -> None:
        value = json.loads(body)
        if "session" in value and value["session"] != self.session:
            self.before, self.session = self.session, value["session"]


def replayed(*, world: World, requests: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """The answers to recorded requests."""
    replay = Replay(world=world)
    return [replay.send(request=request) for request in requests]


def start_world(*, context: Any) -> World:
    """A system at work, the same at each run."""
    world = new_world(context=context, seed=SEED, changes={"idle_transaction_us": 2_000_000})
    world.begin()
    return world


@given("the frozen system at work")
def given_system(context: Any) -> None:
    start_world(context=context)


@given("the frozen system without a configuration")
def given_unconfigured(context: Any) -> None:
    world = new_world(context=context, seed=SEED)
    world.start_all()
    world.advance(for_us=10_000_000)


@then("the frozen requests of {name} are answered as recorded")
def then_replayed(context: Any, name: str) -> None:
    exchanges = load(name=f"http/{name}")
    found = replayed(world=context.world, requests=[each["request"] for each in exchanges])
    check_same_list(recorded=[each["answer"] for each in exchanges], found=found)


# -- what backends and the platform are sent --


def backend_bodies(*, world: World, requests: list[dict[str, Any]]) -> list[str]:
    """Every different request that front daemons send to others meanwhile, without its numbers."""
    sent: set[str] = set()

    def note(*, source: str, target: str, request: HttpRequest) -> None:
        if source in world.http_proxy_names and not request.path.startswith("/v1/"):
            body = NUMBER.sub(r"\1N", request.body.decode())
            sent.add(f"{request.method} {request.path} {body}")

    world.network.arrived = note  # type: ignore[method-assign]
    replayed(world=world, requests=requests)
    return sorted(sent)


@then("the frozen requests to backends are sent again meanwhile")
def then_backend_bodies(context: Any) -> None:
    requests = [each["request"] for name in ("session", "operators") for each in load(name=f"http/{name}")]
    found = backend_bodies(world=context.world, requests=requests)
    check_same_list(recorded=load(name="http/backend_requests"), found=found)


# -- traces --


def spans(*, world: World, requests: list[dict[str, Any]]) -> list[str]:
    """The spans that a front daemon writes meanwhile, without ids, times and the session's state."""
    lines: list[bytes] = []
    world.contexts["stall-0"].traces = Traces(service="stall-0", rng=random.Random(1), sink=lines.append)
    replayed(world=world, requests=requests)
    world.advance(for_us=2_000_000)
    return sorted({SPAN_VARYING.sub(r'"\1":"N"', line.decode().strip()) for line in lines})


@then("the frozen traces are written meanwhile")
def then_spans(context: Any) -> None:
    requests = [each["request"] for each in load(name="http/session")]
    found = spans(world=context.world, requests=requests)
    check_same_list(recorded=load(name="http/traces"), found=found)


# -- counters --


def counter_names(*, world: World) -> dict[str, list[str]]:
    """The names of the counters that a run leaves at one daemon of each kind."""
    daemons = {"front daemon": "stall-0", "disk daemon": "vault-0"}
    return {kind: sorted(world.contexts[name].counters.snapshot()) for kind, name in daemons.items()}


@then("the frozen counter names stand at its daemons after the requests of session")
def then_counters(context: Any) -> None:
    requests = [each["request"] for each in load(name="http/session")]
    replayed(world=context.world, requests=requests)
    check_same(recorded=load(name="http/counters_of_a_run"), found=counter_names(world=context.world))


def quoted_in_sources(*, names: list[str]) -> list[str]:
    """Those names that stand as whole texts in the sources."""
    files = [*SOURCES.glob("src/**/*.py"), *SOURCES.glob("platform/**/*.py")]
    text = "\n".join(file.read_text() for file in files)
    return [name for name in names if f'"{name}"' in text]


@then("each frozen counter name still stands in the sources")
def then_counter_literals(context: Any) -> None:
    names = load(name="http/counter_names")
    check_same_list(recorded=names, found=quoted_in_sources(names=names))


def record_counters(*, context: Any, numbers: list[str]) -> dict[str, list[str]]:
    """The counters that a desk adds to for each number of a record's kind."""
    stage = Stage(context=context)

    async def answer(unpacker: Unpacker) -> bytes:
        return b""

    async def count(number: int) -> list[str]:
        ctx = stage.context(name=f"daemon-{number}")
        dispatcher = Dispatcher(ctx=ctx)
        dispatcher.add_handler(message_type=number, handler=answer)
        await dispatcher.dispatch(bytes([number]))
        return sorted(ctx.counters.snapshot())

    return {number: stage.run(work=count(int(number))) for number in numbers}


@then("the frozen counters of records are counted again")
def then_record_counters(context: Any) -> None:
    recorded = load(name="http/record_counters")
    check_same(recorded=recorded, found=record_counters(context=context, numbers=list(recorded)))


def lost_question(*, context: Any) -> ForwardRequest:
    """A write whose link is lost before its answer."""
    context.backends["a"].script.append("lose")
    return ForwardRequest(
        requester="booth-1",
        step=ForwardStep.single,
        incarnation=context.forwards.incarnation,
        until_us=context.server_ctx.now_us() + 1_000_000,
        backend="a",
        service="s",
        database="db",
        statement=Statement(ident=b"id", verb=Verb.write, text=b"PUT 1 x"),
    )


def forward_counters(*, context: Any) -> list[str]:
    """What a daemon counts that is asked to run statements for another one."""
    given_proxies(context)
    ctx = context.server_ctx
    fetch = Statement(ident=b"id", verb=Verb.read, text=b"FETCH 1")
    for question in (
        ForwardRequest(requester="booth-1", step=ForwardStep.hello),
        ForwardRequest(requester="booth-1", step=ForwardStep.single, incarnation=1, backend="a", statement=fetch),
        lost_question(context=context),
    ):
        body = Packer().u8(value=MessageType.FORWARD).bytes() + question.bytes()
        context.stage.run(work=context.net.dispatcher.dispatch(body))
    return [name for name in sorted(ctx.counters.snapshot()) if name.startswith("forward.")]


@then("the frozen counters of forwarded statements are counted again")
def then_forward_counters(context: Any) -> None:
    check_same_list(recorded=load(name="http/forward_counters"), found=forward_counters(context=context))


# -- bytes on a real connection --


def raw_answer(*, context: Any) -> list[str]:
    """The lines of an answer as they leave a real socket, without date and server."""
    port = free_ports(count=1)[0]
    net = RealNet(counters=Counters())

    async def answer(request: HttpRequest) -> HttpResponse:
        body = json.dumps({"path": request.path, "body": request.body.decode()}).encode()
        return HttpResponse(status=503, body=body, headers={"Retry-After": "2"})

    async def go() -> bytes:
        await net.serve(address=f"127.0.0.1:{port}", handler=answer)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
        data = await reader.read()
        writer.close()
        await net.close()
        return data

    lines = run(context=context, work=go()).decode().split("\r\n")
    return [line for line in lines if not line.startswith(("Date:", "Server:"))]


@then("the frozen answer leaves a real socket as recorded")
def then_raw(context: Any) -> None:
    check_same_list(recorded=load(name="http/socket_answer"), found=raw_answer(context=context))
