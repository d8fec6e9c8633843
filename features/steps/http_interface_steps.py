"""Steps that replay recorded HTTP requests on a simulated system and compare responses, counters and traces.

Random and time-dependent parts, such as session tokens, are masked before the comparison.
"""

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
SESSION_TOKEN = re.compile(r"[A-Za-z0-9_.-]+\.\d+-[0-9a-f]{8}")
VARYING = re.compile(r'"(ageUs|opened|closed|open|waiting|position|received|applied)":\d+')
SPAN_VARYING = re.compile(r'"(traceId|spanId|startTimeUnixNano|endTimeUnixNano)":"\w+"')
NUMBER = re.compile(r"(: ?)\d+")


def mask_varying(*, text: str) -> str:
    """Replaces session tokens and numbers that depend on the time."""
    return VARYING.sub(r'"\1":N', SESSION_TOKEN.sub("HANDLE", text))


def response_form(*, response: HttpResponse) -> dict[str, Any]:
    """Returns a response in the recorded form, with varying parts masked."""
    return {
        "status": response.status,
        "headers": dict(response.headers),
        "body": mask_varying(text=response.body.decode()),
    }


# -- error kinds --


class Rejecter(RejectMixin):
    """A bare RejectMixin, which all filters use for their error responses."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx


def rejections(*, context: Any, kinds: list[str]) -> dict[str, Any]:
    """Returns the error response for each kind, by its value, and one response with details."""
    stage = Stage(context=context)
    rejecter = Rejecter(ctx=stage.ctx)
    found = {word: response_form(response=rejecter.reject(kind=ErrorCode(word), reason="because")) for word in kinds}
    details = {"retryAfterUs": 2_500_000, "elsewhere": ["10.0.0.1:1"]}
    overloaded = rejecter.reject(kind=ErrorCode("crowded"), reason="because", details=details)
    return {**found, "crowded with details": response_form(response=overloaded)}


def rejection_counters(*, context: Any) -> list[str]:
    """Returns the names of the counters after a rejection of each kind and a success."""
    stage = Stage(context=context)
    rejecter = Rejecter(ctx=stage.ctx)
    for kind in ErrorCode:
        rejecter.reject(kind=kind, reason="because")
    rejecter.done()
    return sorted(stage.ctx.counters.snapshot())


@then("each error kind has the recorded response")
def then_kinds(context: Any) -> None:
    recorded = load(name="http/error_kinds")
    words = [kind.value for kind in ErrorCode]
    check_same(recorded=recorded, found=rejections(context=context, kinds=words))


@then("rejected requests are counted by the recorded counters")
def then_denial_counters(context: Any) -> None:
    check_same_list(recorded=load(name="http/denial_counters"), found=rejection_counters(context=context))


# -- requests to a running system --


async def exchange(*, world: World, name: str, method: str, path: str, body: bytes) -> HttpResponse:
    """Sends one request on a new connection and returns the response."""
    net = SimNet(network=world.network, process=SimProcess(name="operator"))
    connection = (await net.dial(address=world.http(name=name), wait_us=500_000)).ok
    request = HttpRequest(method=method, path=path, body=body)
    result = await connection.send_request(request=request, wait_us=ANSWER_WAIT_US)
    connection.close()
    return result.ok


class Replay:
    """Sends recorded requests in order, with the session's latest token in place of `{session}`.

    `{before}` in a path stands for the token before it.
    """

    def __init__(self, *, world: World) -> None:
        self.world = world
        self.token = ""
        self.previous_token = ""

    def send(self, *, request: dict[str, Any]) -> dict[str, Any]:
        self.world.advance(for_us=request.get("after_us", 0))
        path = request["path"].replace("{session}", self.token).replace("{before}", self.previous_token)
        response = self.world.run(
            work=exchange(
                world=self.world,
                name=request.get("daemon", "stall-0"),
                method=request["method"],
                path=path,
                body=request.get("body", "").encode(),
            )
        )
        self._update_tokens(body=response.body)
        return response_form(response=response)

    def _update_tokens(self, *, body: bytes) -> None:
        value = json.loads(body)
        if "session" in value and value["session"] != self.token:
            self.previous_token, self.token = self.token, value["session"]


def replay_all(*, world: World, requests: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Sends recorded requests and returns the responses in the recorded form."""
    replay = Replay(world=world)
    return [replay.send(request=request) for request in requests]


def start_world(*, context: Any) -> World:
    """Starts a simulated system with a configuration, on a fixed seed."""
    world = new_world(context=context, seed=SEED, changes={"idle_transaction_us": 2_000_000})
    world.begin()
    return world


@given("the system used for the recording is running")
def given_system(context: Any) -> None:
    start_world(context=context)


@given("the system used for the recording has no configuration")
def given_unconfigured(context: Any) -> None:
    world = new_world(context=context, seed=SEED)
    world.start_all()
    world.advance(for_us=10_000_000)


@then("the recorded requests of {name} have the recorded responses")
def then_replayed(context: Any, name: str) -> None:
    exchanges = load(name=f"http/{name}")
    found = replay_all(world=context.world, requests=[each["request"] for each in exchanges])
    check_same_list(recorded=[each["answer"] for each in exchanges], found=found)


# -- requests to backends --


def backend_requests(*, world: World, requests: list[dict[str, Any]]) -> list[str]:
    """Replays requests; returns the distinct requests that HTTP proxies send to backends, with numbers masked."""
    sent: set[str] = set()

    def record_request(*, source: str, target: str, request: HttpRequest) -> None:
        if source in world.http_proxy_names and not request.path.startswith("/v1/"):
            body = NUMBER.sub(r"\1N", request.body.decode())
            sent.add(f"{request.method} {request.path} {body}")

    world.network.arrived = record_request  # type: ignore[method-assign]
    replay_all(world=world, requests=requests)
    return sorted(sent)


@then("the session and operator requests cause the recorded requests to backends")
def then_backend_bodies(context: Any) -> None:
    requests = [each["request"] for name in ("session", "operators") for each in load(name=f"http/{name}")]
    found = backend_requests(world=context.world, requests=requests)
    check_same_list(recorded=load(name="http/backend_requests"), found=found)


# -- traces --


def spans(*, world: World, requests: list[dict[str, Any]]) -> list[str]:
    """Replays requests; returns the distinct trace spans of an HTTP proxy, with ids and times masked."""
    lines: list[bytes] = []
    world.contexts["stall-0"].traces = Traces(service="stall-0", rng=random.Random(1), sink=lines.append)
    replay_all(world=world, requests=requests)
    world.advance(for_us=2_000_000)
    return sorted({SPAN_VARYING.sub(r'"\1":"N"', line.decode().strip()) for line in lines})


@then("the session requests cause the recorded trace spans")
def then_spans(context: Any) -> None:
    requests = [each["request"] for each in load(name="http/session")]
    found = spans(world=context.world, requests=requests)
    check_same_list(recorded=load(name="http/traces"), found=found)


# -- counters --


def counter_names(*, world: World) -> dict[str, list[str]]:
    """Returns the names of all counters of one HTTP proxy and of one controller."""
    daemons = {"front daemon": "stall-0", "disk daemon": "vault-0"}
    return {kind: sorted(world.contexts[name].counters.snapshot()) for kind, name in daemons.items()}


@then("after the requests of session its daemons have the recorded counters")
def then_counters(context: Any) -> None:
    requests = [each["request"] for each in load(name="http/session")]
    replay_all(world=context.world, requests=requests)
    check_same(recorded=load(name="http/counters_of_a_run"), found=counter_names(world=context.world))


def names_in_sources(*, names: list[str]) -> list[str]:
    """Returns those names that occur as string literals in the sources."""
    files = [*SOURCES.glob("src/**/*.py"), *SOURCES.glob("platform/**/*.py")]
    text = "\n".join(file.read_text() for file in files)
    return [name for name in names if f'"{name}"' in text]


@then("each recorded counter name occurs in the sources")
def then_counter_literals(context: Any) -> None:
    names = load(name="http/counter_names")
    check_same_list(recorded=names, found=names_in_sources(names=names))


def record_counters(*, context: Any, numbers: list[str]) -> dict[str, list[str]]:
    """Returns the counters of a dispatcher after one record of each message type, by the type's number."""
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


@then("each message type is counted by the recorded counters")
def then_record_counters(context: Any) -> None:
    recorded = load(name="http/record_counters")
    check_same(recorded=recorded, found=record_counters(context=context, numbers=list(recorded)))


def lost_link_request(*, context: Any) -> ForwardRequest:
    """Returns a request for a write whose link is lost before the reply."""
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
    """Returns the forward counters of a proxy that runs statements for another one.

    The requests are a hello, a read with a wrong incarnation, and a write whose link is lost.
    """
    given_proxies(context)
    ctx = context.server_ctx
    fetch = Statement(ident=b"id", verb=Verb.read, text=b"FETCH 1")
    for forwarded in (
        ForwardRequest(requester="booth-1", step=ForwardStep.hello),
        ForwardRequest(requester="booth-1", step=ForwardStep.single, incarnation=1, backend="a", statement=fetch),
        lost_link_request(context=context),
    ):
        body = Packer().u8(value=MessageType.FORWARD).bytes() + forwarded.bytes()
        context.stage.run(work=context.net.dispatcher.dispatch(body))
    return [name for name in sorted(ctx.counters.snapshot()) if name.startswith("forward.")]


@then("forwarded statements are counted by the recorded counters")
def then_forward_counters(context: Any) -> None:
    check_same_list(recorded=load(name="http/forward_counters"), found=forward_counters(context=context))


# -- bytes on a real connection --


def socket_response_lines(*, context: Any) -> list[str]:
    """Returns the lines of a response read from a real socket, without the headers Date and Server."""
    port = free_ports(count=1)[0]
    net = RealNet(counters=Counters())

    async def answer(request: HttpRequest) -> HttpResponse:
        body = json.dumps({"path": request.path, "body": request.body.decode()}).encode()
        return HttpResponse(status=503, body=body, headers={"Retry-After": "2"})

    async def request_and_read() -> bytes:
        await net.serve(address=f"127.0.0.1:{port}", handler=answer)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
        data = await reader.read()
        writer.close()
        await net.close()
        return data

    lines = run(context=context, work=request_and_read()).decode().split("\r\n")
    return [line for line in lines if not line.startswith(("Date:", "Server:"))]


@then("a response on a real socket has the recorded lines")
def then_socket_response(context: Any) -> None:
    check_same_list(recorded=load(name="http/socket_answer"), found=socket_response_lines(context=context))
