"""Steps for the platform's edges, on memory's own transports."""

import asyncio
import json
import math
import os
import random
import re
import subprocess
import sys
import tempfile
import tomllib
from collections import deque
from importlib.metadata import distribution
from pathlib import Path
from typing import Any

import h11
from behave import given, then, when
from expression import Error, Ok, Result
from stage import MemoryTransport, Stage, announcement, position, shown

REPOSITORY = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REPOSITORY / "platform"))

from adapter.backend_link import BackendCommands, BackendDialer, BackendLink  # noqa: E402
from adapter.client_door import GREETING_US, MOST_ASKED, ClientDoor, encode  # noqa: E402
from adapter.control_edge import ControlEdge  # noqa: E402
from adapter.http_edge import MOST_BODY_BYTES, HttpServer, post  # noqa: E402
from adapter.lines import MOST_BYTES, Lines  # noqa: E402
from adapter.operator_document import read_document  # noqa: E402
from adapter.promotion_call import PromotionCall  # noqa: E402
from adapter.settings_file import read_machine  # noqa: E402
from adapter.statements import read_statement, text_for  # noqa: E402
from adapter.words import position_text, read_position, word  # noqa: E402

from cinderstair.config.service_plan import ServicePlan, read_service_plan  # noqa: E402
from cinderstair.membership.announcement import Announcement, read_announcement  # noqa: E402
from cinderstair.pooler.reply import Reply, State, refusal  # noqa: E402
from cinderstair.pooler.statement import Statement, Verb  # noqa: E402
from cinderstair.runtime.fault import Fault  # noqa: E402
from cinderstair.runtime.kind import Kind  # noqa: E402
from cinderstair.runtime.packer import Packer  # noqa: E402
from cinderstair.runtime.position import START, Position  # noqa: E402
from cinderstair.runtime.unpacker import Unpacker  # noqa: E402

PROMISES = (b"BUSY", b"ABORTED", b"LAGGING", b"READONLY", b"WRONGHOST", b"FULL")
STATES = {"I": State.idle, "T": State.open, "E": State.failed}


def raw(*, text: str) -> bytes:
    r"""The bytes of a text in which \r, \n, \t and \xNN stand for what they stand for in Python."""
    return b"" if text == "(empty)" else text.encode().decode("unicode_escape").encode("latin-1")


# -- lines --


def feed_all(*, chunks: list[bytes]) -> list[bytes]:
    lines = Lines()
    return [line for chunk in chunks for line in lines.feed(chunk)]


@then('the chunks "{chunks}" make the lines "{lines}"')
def then_lines(context: Any, chunks: str, lines: str) -> None:
    found = feed_all(chunks=[raw(text=chunk) for chunk in chunks.split(" + ")])
    wanted = [] if lines == "none" else [raw(text=line) for line in lines.split(" / ")]
    assert found == wanted, found


@then("{count:d} seeded streams make the same lines however they are split")
def then_any_split(context: Any, count: int) -> None:
    luck = random.Random("lines")
    for _ in range(count):
        stream = b"".join(luck.choice([b"a", b"\r", b"\n", b"\r\n", b" ", b"ROW x", b"\x00\xff"]) for _ in range(40))
        whole = feed_all(chunks=[stream])
        assert whole == stream.split(b"\r\n")[:-1]
        assert feed_all(chunks=[stream[n : n + 1] for n in range(len(stream))]) == whole
        cuts = sorted(luck.randrange(len(stream) + 1) for _ in range(luck.randrange(12)))
        parts = [stream[a:b] for a, b in zip([0, *cuts], [*cuts, len(stream)], strict=True)]
        assert feed_all(chunks=parts) == whole, parts


def long_line(*, over: int) -> bytes:
    return b"x" * (MOST_BYTES + over)


@then("a line of 1 MiB is taken, split {place}")
def then_mebibyte(context: Any, place: str) -> None:
    stream = long_line(over=0) + b"\r\n"
    ends = {"nowhere": [], "in its middle": [1000], "before CR": [MOST_BYTES], "before LF": [MOST_BYTES + 1]}[place]
    parts = [stream[a:b] for a, b in zip([0, *ends], [*ends, len(stream)], strict=True)]
    assert feed_all(chunks=parts) == [long_line(over=0)]


@then("a line over 1 MiB is refused {when}")
def then_too_long(context: Any, when: str) -> None:
    end = {"before it ends": b"", "when it ends": b"\r\n", "after another": b"\r\nx\r\n"}[when]
    # why: a CR may be the first half of an end, and must not count
    try:
        Lines().feed(long_line(over=2) + end)
    except ValueError:
        return
    raise AssertionError("taken")


# -- statements --


@then('the text "{text}" is a {verb}')
def then_statement(context: Any, text: str, verb: str) -> None:
    context.statement = read_statement(ident=b"id1", text=raw(text=text))
    assert context.statement.verb == Verb[verb], context.statement


@then('with "{field}" as "{value}"')
def then_field(context: Any, field: str, value: str) -> None:
    found = getattr(context.statement, field)
    assert (str(found) if isinstance(found, bool) else found) == (
        value if isinstance(found, bool) else raw(text=value.strip("'"))
    ), found


@then('the text "{text}" is no statement')
def then_no_statement(context: Any, text: str) -> None:
    try:
        found = read_statement(ident=b"1", text=raw(text=text))
    except ValueError:
        return
    raise AssertionError(found)


@then("a backend is sent {count:d} seeded reads, writes and commits byte for byte, whatever the alias")
def then_bytes(context: Any, count: int) -> None:
    luck = random.Random("texts")
    for _ in range(count):
        data = luck.randbytes(luck.randrange(1, 60)).replace(b"\r\n", b"")
        thing = luck.randbytes(luck.randrange(1, 9)).translate(None, b" \r\n") or b"q"
        for text in (b"FETCH " + thing + data, b"PUT " + thing + b" q" + data, b"COMMIT"):
            read = read_statement(ident=b"1", text=text)
            assert text_for(statement=read, alias=luck.choice([b"", b"p7"])) == text


@then('a backend is sent "{sent}" for "{text}" under the alias "{alias}"')
def then_alias(context: Any, sent: str, text: str, alias: str) -> None:
    found = text_for(statement=read_statement(ident=b"1", text=raw(text=text)), alias=raw(text=alias))
    assert found == raw(text=sent), found


# -- words --


@then("{kind} is told as {text}")
def then_word(context: Any, kind: str, text: str) -> None:
    found = word(kind=Kind[kind]).decode()
    assert found == text, found


@then('no promise is made for "{kinds}"')
def then_no_promise(context: Any, kinds: str) -> None:
    told = {kind: word(kind=Kind[kind]).decode() for kind in kinds.split(", ")}
    assert not any(found.encode() in PROMISES for found in told.values()), told


@then("every kind has a word")
def then_all_words(context: Any) -> None:
    assert all(re.fullmatch(rb"[A-Z]+", word(kind=kind)) for kind in Kind)


@then('the position "{text}" reads as {found}')
def then_position(context: Any, text: str, found: str) -> None:
    read = read_position(text=raw(text=text))
    assert shown(at=read) == found, read
    if read is not None:
        assert read_position(text=position_text(position=read)) == read


@then("a reply of {rows:d} rows, {outcome}, in state {state} at {at} is told as")
def then_encoded(context: Any, rows: int, outcome: str, state: str, at: str) -> None:
    reply = Reply(rows=[b"row %d" % n for n in range(rows)], state=STATES[state], position=position(text=at))
    kind, _, rest = outcome.partition(" ")
    if kind == "stamp":
        reply.stamp = rest.encode()
    elif kind == "native":
        reply.fault, reply.native = Kind.backendFault, rest.encode()
    elif kind != "done":
        reply = refusal(kind=Kind[kind], state=STATES[state], come_back_us=int(rest or 0) * 1_000)
    assert encode(reply).decode() == "".join(line + "\r\n" for line in context.text.splitlines()), encode(reply)


# -- the operator's document --


def document() -> dict[str, Any]:
    base = {"path_start": "/", "sort": "primary", "give_up_ms": 650, "rank": 1, "target": "s1", "max_age_ms": 1100}
    return {
        "revision": 21,
        "routes": [
            {**base, "name": "r1", "host_name": "db1"},
            {**base, "name": "r2", "host_name": "db2", "sort": "recent_enough", "target": "s2", "give_up_ms": 0.5},
            {**base, "name": "r3", "host_name": "db2", "path_start": "/x", "sort": "self_hosted"},
        ],
        "services": [
            {"name": "s1", "max_links": 40, "waits_for": 1},
            {"name": "s2", "max_links": 26, "waits_for": 0},
        ],
        "limits": {"tx_rest_ms": 2400},
    }


@given("a valid document")
def given_document(context: Any) -> None:
    context.document = document()


@when("the document has its {place} as {value}")
def when_changed(context: Any, place: str, value: str) -> None:
    at: Any = context.document
    *steps, last = [int(step) if step.isdigit() else step for step in place.split(".")]
    for step in steps:
        at = at[step]
    if value == "missing":
        del at[last]
    else:
        at[last] = json.loads(value)


def read_changed(*, context: Any) -> Any:
    context.raw = json.dumps(context.document).encode()
    return read_document(raw=context.raw)


@then("it is taken")
def then_taken(context: Any) -> None:
    context.plan = read_changed(context=context)
    assert context.plan.is_ok(), context.plan
    context.plan = context.plan.ok
    assert context.plan.document == context.raw
    assert read_service_plan(data=context.plan.bytes()) == context.plan


@then("its database {database} leads to {service} as {sort} within {limit_us:d} us, {age_us:d} us old at most")
def then_route(context: Any, database: str, service: str, sort: str, limit_us: int, age_us: int) -> None:
    found = context.plan.routes[database]
    assert (found.service, found.consistency.name, found.time_limit_us, found.max_age_us) == (
        service,
        sort,
        limit_us,
        age_us,
    ), found


@then("its version is {version:d}, its service {service} has {cap:d} links and {confirmations:d} confirmations")
def then_service(context: Any, version: int, service: str, cap: int, confirmations: int) -> None:
    found = context.plan.services[service]
    assert (context.plan.version, found.link_cap, found.confirmations) == (version, cap, confirmations)


@then("it is broken")
def then_broken(context: Any) -> None:
    found = read_changed(context=context)
    assert found.is_error() and found.error.kind == Kind.brokenConfiguration, found
    assert found.error.why


@then("every beginning of it is broken")
def then_beginnings(context: Any) -> None:
    whole = json.dumps(context.document).encode()
    for end in range(len(whole)):
        assert read_document(raw=whole[:end]).is_error(), whole[:end]


@then("the document {text} is broken")
def then_raw_broken(context: Any, text: str) -> None:
    data = {"of 100000 brackets": b"[" * 100_000, "of noise": b"\xff\xfe\x00{", "of nothing": b""}.get(text)
    found = read_document(raw=raw(text=text) if data is None else data)
    assert found.is_error() and found.error.kind == Kind.brokenConfiguration, found


# -- the settings file --


def settings_lines() -> list[str]:
    return [
        'node = "edge-1"',
        'zone = "yard-a"',
        'ip = "10.1.0.7"',
        "spare_ports = [6100, 6110]",
        'seeds = ["10.1.0.2:5001", "10.2.0.2:5001"]',
        "first_run = true",
        "beat_every_ms = 900",
        'data_folder = "/data"',
        "[zones]",
        'yard-a = "east"',
        'yard-b = "east"',
        'yard-c = "west"',
        "[addresses]",
        'front = "10.1.0.7:5002"',
        'ready = "10.1.0.7:5003"',
        "[survive]",
        "machines = 2",
        "[bounds]",
        "grace_s = 4.5",
        "drain_ms = 3500",
        "catch_up_s = 2.5",
        "[provider_api]",
        'address = "10.9.0.5:5009"',
    ]


def read_text(*, context: Any, text: bytes) -> Any:
    handle, path = tempfile.mkstemp(suffix=".toml")
    context.path = path
    try:
        os.write(handle, text)
        return read_machine(path=path)
    finally:
        os.close(handle)
        os.unlink(path)


@given("a good platform settings file")
def given_settings(context: Any) -> None:
    context.lines = settings_lines()


@when("line {number:d} of it is `{line}`")
def when_line(context: Any, number: int, line: str) -> None:
    context.lines[number - 1] = "" if line == "-" else raw(text=line).decode()


@when("every table and its top gain a field that nobody knows")
def when_gains(context: Any) -> None:
    context.lines = [line + '\nnew = { a = ["b"] }' if line.startswith("[") else line for line in context.lines]
    context.lines.insert(0, "new = 1979-05-27T07:32:00Z")
    context.lines += ["[[newer]]", "x = 1"]


@then('the machine has {field} "{value}"')
def then_machine(context: Any, field: str, value: str) -> None:
    machine = read_text(context=context, text="\n".join(context.lines).encode())
    assert machine.is_ok(), machine
    assert (str(getattr(machine.ok, field)) or "(empty)") == value, getattr(machine.ok, field)


@then("the machine stands {distances} from yard-a, yard-b, yard-c and yard-z")
def then_distances(context: Any, distances: str) -> None:
    machine = read_text(context=context, text="\n".join(context.lines).encode()).ok
    found = " ".join(str(machine.distance(site=f"yard-{letter}")) for letter in "abcz")
    assert found == distances, found


@then("the file is refused, and {key} on line {number:d} is named")
def then_refused_at(context: Any, key: str, number: int) -> None:
    found = read_text(context=context, text="\n".join(context.lines).encode())
    assert found.is_error() and found.error.kind == Kind.badSettings, found
    assert found.error.why.startswith(f"{context.path}:{number}: {key}: "), found.error.why


@then("the file is refused as no TOML")
def then_no_toml(context: Any) -> None:
    found = read_text(context=context, text="\n".join(context.lines).encode())
    assert found.is_error() and "not TOML" in found.error.why, found


@then("every beginning of it is refused, or tells nothing of the machine that the whole does not")
def then_half(context: Any) -> None:
    text = "\n".join(context.lines).encode()
    whole = read_text(context=context, text=text).ok
    refused = 0
    for end in range(len(text)):
        found = read_text(context=context, text=text[:end])
        if found.is_error():
            refused += 1
            continue
        for field in ("name", "site", "ip", "seeds", "spare_port"):
            assert getattr(found.ok, field) == getattr(whole, field), (end, field)
    assert refused > len(text) // 3


@then("a file that is not there, and one of noise, are refused")
def then_not_there(context: Any) -> None:
    assert read_machine(path="/nowhere/at/all.toml").error.kind == Kind.badSettings
    assert read_text(context=context, text=b"\xff\xfe\x00").error.kind == Kind.badSettings


# -- control --


class FakeGuildhall:
    def __init__(self) -> None:
        self.heard: list[Announcement] = []
        self.submitted: list[ServicePlan] = []
        self.submits: Result[bool, Fault] = Ok(True)
        self.document: Result[bytes, Fault] = Error(Fault(kind=Kind.noConfiguration, why="none yet"))
        self.departed: list[str] = []
        self.in_touch = True
        self.orders = self

    async def hear(self, *, announcement: Announcement) -> bool:
        self.heard.append(announcement)
        return self.in_touch

    async def depart(self, *, name: str) -> bool:
        self.departed.append(name)
        return self.in_touch

    async def submit(self, *, plan: ServicePlan) -> Result[bool, Fault]:
        self.submitted.append(plan)
        return self.submits

    async def fetch(self) -> Result[bytes, Fault]:
        return self.document


BEAT = {
    "target": "s1",
    "address": "10.8.0.3:5100",
    "zone": "yard-a",
    "revision": "r5",
    "call_room": 3,
    "standing": "ready",
    "cold_left_ms": 0,
    "db_role": "copy",
    "call_count": 6,
}


@given("a control edge")
def given_edge(context: Any) -> None:
    context.stage = Stage(context=context)
    context.guildhall = FakeGuildhall()
    nearer = {"yard-b": "10.2.0.2:5001"}
    context.edge = ControlEdge(guildhall=context.guildhall, beat_to=lambda site: nearer.get(site, ""))


def handle(*, context: Any, method: str, target: str, body: bytes = b"") -> None:
    context.status, context.body = context.stage.run(work=context.edge.handle(method, target, body))


@when("a backend sends a beat")
def when_beat(context: Any) -> None:
    handle(context=context, method="PUT", target="/cinderstair/servers/srv-1", body=json.dumps(BEAT).encode())


@when("a backend sends a beat with {field} as {value}")
def when_beat_with(context: Any, field: str, value: str) -> None:
    beat = {key: each for key, each in BEAT.items() if key != field}
    text = json.dumps(beat)
    if value != "missing":
        # why: as text, since not every JSON can be made from Python's values
        text = text[:-1] + f', "{field}": {value}}}'
    handle(context=context, method="PUT", target="/cinderstair/servers/srv-1", body=text.encode())


@when("{method} {target} is called")
def when_called(context: Any, method: str, target: str) -> None:
    handle(context=context, method=method, target=target)


@when("{method} {target} is called with `{body}`")
def when_called_with(context: Any, method: str, target: str, body: str) -> None:
    handle(context=context, method=method, target=target, body=raw(text=body))


@when("the operator puts a {what} document")
def when_puts(context: Any, what: str) -> None:
    found = document()
    if what == "broken":
        found["routes"][0]["give_up_ms"] = 0
    context.raw = json.dumps(found).encode()
    handle(context=context, method="PUT", target="/cinderstair/settings", body=context.raw)


@given("a guildhall out of touch with a majority")
def given_out_of_touch(context: Any) -> None:
    context.guildhall.in_touch = False


@then("the goodbye of {name} was taken")
def then_departed(context: Any, name: str) -> None:
    assert context.guildhall.departed == [name], context.guildhall.departed


@given("a guildhall that answers {kind}")
def given_kind(context: Any, kind: str) -> None:
    fault = Error(Fault(kind=Kind[kind], why="so"))
    context.guildhall.submits = context.guildhall.document = fault


@given("a guildhall that keeps `{text}`")
def given_keeps(context: Any, text: str) -> None:
    context.guildhall.document = Ok(raw(text=text))


@then("the answer is {status:d} with `{body}`")
def then_answer(context: Any, status: int, body: str) -> None:
    assert (context.status, context.body) == (status, raw(text=body)), (context.status, context.body)


@then("the answer is {status:d}")
def then_status(context: Any, status: int) -> None:
    assert context.status == status, (context.status, context.body)


@then("{count:d} beats were heard")
def then_heard(context: Any, count: int) -> None:
    assert len(context.guildhall.heard) == count, context.guildhall.heard


@then("the last beat has {field} {value}")
def then_last_beat(context: Any, field: str, value: str) -> None:
    assert str(getattr(context.guildhall.heard[-1], field)) == value, context.guildhall.heard[-1]


@then("whatever was heard can be told to others")
def then_packable(context: Any) -> None:
    for each in context.guildhall.heard:
        packer = Packer()
        each.write(packer=packer)
        assert read_announcement(unpacker=Unpacker(data=packer.bytes())) == each


@then("the plan that was submitted keeps the operator's bytes, or there is none: {word}")
def then_submitted(context: Any, word: str) -> None:
    found = [plan.document for plan in context.guildhall.submitted]
    assert found == ([context.raw] if word == "keeps" else []), found


# -- HTTP --


def responses(*, data: bytes, methods: list[str]) -> list[tuple[int, bytes]]:
    """Reads answers the way a client would."""
    wire, found = h11.Connection(h11.CLIENT), []
    for method in methods:
        wire.send(h11.Request(method=method, target="/", headers=[("Host", "x")]))
        wire.send(h11.EndOfMessage())
        if data:
            wire.receive_data(data)
            data = b""
        body, status = b"", 0
        while not isinstance(event := wire.next_event(), h11.EndOfMessage):
            if event in (h11.NEED_DATA, h11.PAUSED) or isinstance(event, h11.ConnectionClosed):
                return found
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
        found.append((status, body))
        if wire.our_state is not h11.DONE or wire.their_state is not h11.DONE:
            return found
        wire.start_next_cycle()
    return found


@given("an HTTP server that echoes")
def given_server(context: Any) -> None:
    context.stage = Stage(context=context)
    context.handled = []
    context.wait_s = 0.0

    async def echo(method: str, target: str, body: bytes) -> tuple[int, bytes]:
        context.handled.append(f"{method} {target} {body[:40].decode(errors='replace')}".strip())
        if target == "/crash":
            raise RuntimeError("crash")
        await asyncio.sleep(0.05 if target == "/slow" else 0.001)
        return 200, body

    connect(context=context, make=lambda: HttpServer(ctx=context.stage.ctx, handle=echo))


def connect(*, context: Any, make: Any) -> None:
    def work() -> None:
        context.protocol = make()
        context.transport = MemoryTransport(protocol=context.protocol)

    context.stage.call(call=work)


def request(*, text: str) -> bytes:
    method, target, body = (text.split(" ", 2) + [""])[:3]
    return f"{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()


@when('the requests "{texts}" come {how}')
def when_requests(context: Any, texts: str, how: str) -> None:
    each = texts.split(", ")
    context.methods = [text.split()[0] for text in each]
    data = b"".join(request(text=text) for text in each)
    chunks = {"at once": [data], "byte by byte": [data[n : n + 1] for n in range(len(data))]}.get(how)
    if chunks is None:
        cut = int(how.split()[-1])
        chunks = [data[:cut], data[cut:]]
    for chunk in chunks:
        context.stage.call(call=lambda chunk=chunk: context.transport.feed(chunk))
    context.stage.advance(for_us=200_000)


@then('the answers are "{texts}"')
def then_answers(context: Any, texts: str) -> None:
    found = responses(data=context.transport.sent, methods=context.methods)
    text = ", ".join(f"{status} {body.decode()}".strip() for status, body in found)
    assert text == texts, text


@then('what was handled is "{texts}"')
def then_handled(context: Any, texts: str) -> None:
    found = ", ".join(context.handled) or "nothing"
    assert found == texts, found


@then("the connection is {word}")
def then_connection(context: Any, word: str) -> None:
    context.stage.advance(for_us=1_000)
    assert context.transport.closing == (word == "closed")


@when("the bytes `{text}` come")
def when_bytes(context: Any, text: str) -> None:
    context.methods = ["GET"]
    context.stage.call(call=lambda: context.transport.feed(raw(text=text)))
    context.stage.advance(for_us=200_000)


@when("a body of {size} bytes comes in chunks of {chunk:d}")
def when_body(context: Any, size: str, chunk: int) -> None:
    length = MOST_BODY_BYTES + int(size.removeprefix("4 MiB +"))
    context.methods = ["PUT"]
    head = f"PUT /big HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n".encode()
    context.stage.call(call=lambda: context.transport.feed(head))
    while length > 0 and not context.transport.closing:
        part = b"x" * min(chunk, length)
        length -= len(part)
        context.stage.call(call=lambda part=part: context.transport.feed(part))
    context.stage.advance(for_us=200_000)


@then("the statuses are {statuses}")
def then_statuses(context: Any, statuses: str) -> None:
    found = " ".join(str(status) for status, _ in responses(data=context.transport.sent, methods=context.methods))
    assert found == statuses, (found, context.transport.sent[:200])


@when("the client ends its side")
def when_ends(context: Any) -> None:
    context.stage.call(call=context.transport.end)
    context.stage.advance(for_us=200_000)


@when("the requests come in any two parts, and byte by byte, they are answered alike")
def when_any_parts(context: Any) -> None:
    texts = ["PUT /a one", "GET /b", "PUT /c three"]
    data = b"".join(request(text=text) for text in texts)
    for cut in range(len(data)):
        context.execute_steps("Given an HTTP server that echoes")
        parts = [data[:cut], data[cut:]] if cut else [data[n : n + 1] for n in range(len(data))]
        for part in parts:
            context.stage.call(call=lambda part=part: context.transport.feed(part))
        context.stage.advance(for_us=20_000)
        found = responses(data=context.transport.sent, methods=["PUT", "GET", "PUT"])
        assert found == [(200, b"one"), (200, b""), (200, b"three")], (cut, found)


class MemoryStreams:
    """Connects to a far end that answers by a script: a text to send, `close`, `silence`, `refuse`."""

    def __init__(self, *, script: list[str]) -> None:
        self.script = deque(script)
        self.transports: list[MemoryTransport] = []

    async def connect(self, *, address: str, protocol: Any, wait_us: int) -> Result[Any, Fault]:
        await asyncio.sleep(0.001)
        words = self.script.popleft()
        if words == "refuse":
            return Error(Fault(kind=Kind.wireUnsent, why=f"{address}: refused"))
        made = protocol()
        transport = MemoryTransport(protocol=made)
        self.transports.append(transport)
        loop = asyncio.get_running_loop()
        for number, each in enumerate(words.split(" + "), start=1):
            if each == "close":
                loop.call_later(number / 1_000, lambda: transport.lose(error=None))
            elif each != "silence":
                loop.call_later(number / 1_000, transport.feed, raw(text=each))
        return Ok(made)


@when("a post is answered by `{script}`")
def when_post(context: Any, script: str) -> None:
    context.stage = Stage(context=context)
    context.streams = MemoryStreams(script=[script])
    work = post(
        streams=context.streams,
        address="10.0.0.1:80",
        path="/promotion",
        headers={"X-Fence-Number": "3"},
        body=b'{"a":1}',
        wait_us=400_000,
    )
    context.result = context.stage.run(work=work)


def promote(*, context: Any, script: str, holds: bool) -> None:
    context.stage = Stage(context=context, name="core-1")
    context.streams = MemoryStreams(script=[script])
    call = PromotionCall(ctx=context.stage.ctx, streams=context.streams, address="10.0.0.1:80")
    work = call.promote(service="s1", backend="srv-1", fence_number=12, holds=lambda: holds)
    context.result = context.stage.run(work=work)


@when("a promotion is answered by `{script}`")
def when_promotion(context: Any, script: str) -> None:
    promote(context=context, script=script, holds=True)


@when("a promotion's lease runs out while its connection is being made")
def when_lease_runs_out(context: Any) -> None:
    promote(context=context, script="silence", holds=False)


@then("the connection was reset")
def then_reset(context: Any) -> None:
    (transport,) = context.streams.transports
    assert transport.aborted


@then("nothing of it was sent, and the connection closed")
def then_nothing_sent(context: Any) -> None:
    (transport,) = context.streams.transports
    assert transport.sent == b"" and transport.closing, (transport.sent, transport.closing)


@then("the result is {word}")
def then_result(context: Any, word: str) -> None:
    found = str(context.result.ok) if context.result.is_ok() else context.result.error.kind.value
    assert found == word, found


@then("one whole call was sent, and the connection closed")
def then_sent_whole(context: Any) -> None:
    context.stage.advance(for_us=10_000)
    (transport,) = context.streams.transports
    wire = h11.Connection(h11.SERVER)
    wire.receive_data(transport.sent)
    called = wire.next_event()
    assert isinstance(called, h11.Request) and isinstance(wire.next_event(), h11.Data)
    assert isinstance(wire.next_event(), h11.EndOfMessage) and wire.trailing_data == (b"", False)
    assert transport.closing


@then("the call names the holder core-1, the fence 12, the service s1 and the backend srv-1")
def then_call(context: Any) -> None:
    sent = context.streams.transports[0].sent
    head, _, body = sent.partition(b"\r\n\r\n")
    assert head.startswith(b"POST /promotion HTTP/1.1\r\n"), head
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
    assert (fields[b"x-duty-holder"], fields[b"x-fence-number"]) == (b"core-1", b"12"), fields
    assert json.loads(body) == {"target": "s1", "server_id": "srv-1"}, body


# -- clients --


class FakeSession:
    """Answers each statement after a while, and keeps a state as a session does."""

    def __init__(self, *, booth: "FakeBooth") -> None:
        self.booth = booth
        self.state = State.idle
        self.busy = False

    async def run(self, *, statement: Statement) -> Reply:
        assert not self.busy, "two statements at once"
        self.busy = True
        self.booth.ran.append(f"{statement.ident.decode()} {statement.verb.name}")
        await self.booth.ctx.rest(wait_us=self.booth.work_us)
        self.busy = False
        if statement.verb in (Verb.begin, Verb.begin_read):
            self.state = State.open
        elif statement.verb in (Verb.commit, Verb.rollback):
            self.state = State.idle
        self.booth.answered.append(statement.ident.decode())
        return Reply(rows=[], stamp=statement.ident, state=self.state)


class FakeBooth:
    def __init__(self, *, stage: Stage) -> None:
        self.ctx = stage.ctx
        self.view: Any = type("View", (), {"plan": object()})()
        self.databases = {"db1"}
        self.ran: list[str] = []
        self.answered: list[str] = []
        self.ended: list[State] = []
        self.work_us = 2_000

    async def knows(self, *, database: str, until_us: int) -> bool:
        while self.view.plan is None and self.ctx.now_us() < until_us:
            await self.ctx.rest(wait_us=50_000)
        return self.view.plan is not None and database in self.databases

    def open(self, *, database: str) -> FakeSession:
        return FakeSession(booth=self)

    def closed(self, *, session: FakeSession) -> None:
        self.ended.append(session.state)


@given("a client's connection")
def given_door(context: Any) -> None:
    context.stage = Stage(context=context)
    context.booth = FakeBooth(stage=context.stage)
    context.doors = set()
    context.counted = []
    connect(
        context=context,
        make=lambda: ClientDoor(booth=context.booth, doors=context.doors, count=context.counted.append),
    )


@given("a client's connection that was greeted")
def given_greeted(context: Any) -> None:
    context.execute_steps("Given a client's connection")
    context.stage.call(call=lambda: context.transport.feed(b"GREET db1 u1\r\n"))
    context.stage.advance(for_us=1_000)
    assert context.transport.take() == b"READY I -\r\n"


@when("it sends `{text}`")
def when_sends(context: Any, text: str) -> None:
    context.stage.call(call=lambda: context.transport.feed(raw(text=text)))
    context.stage.advance(for_us=100_000)


@when("it sends `{text}` byte by byte")
def when_sends_bytes(context: Any, text: str) -> None:
    for byte in raw(text=text):
        context.stage.call(call=lambda byte=byte: context.transport.feed(bytes([byte])))
    context.stage.advance(for_us=100_000)


@when("it sends a line of more than 1 MiB")
def when_sends_long(context: Any) -> None:
    context.stage.call(call=lambda: context.transport.feed(b"ASK 1 PUT a " + b"x" * MOST_BYTES))
    context.stage.advance(for_us=100_000)


@then("it receives")
def then_receives(context: Any) -> None:
    found = context.transport.take().decode().replace("\r\n", "\n").strip()
    assert found == context.text.strip(), found


@then("it receives nothing")
def then_receives_nothing(context: Any) -> None:
    assert context.transport.take() == b""


@then('the booth has run "{texts}"')
def then_ran(context: Any, texts: str) -> None:
    found = ", ".join(context.booth.ran) or "nothing"
    assert found == texts, found


@then('the booth has ended sessions in "{states}"')
def then_ended(context: Any, states: str) -> None:
    context.stage.advance(for_us=10_000)
    found = ", ".join(state.name for state in context.booth.ended) or "none"
    assert found == states, found
    assert not context.doors


@given("no configuration yet")
def given_none_yet(context: Any) -> None:
    context.booth.view.plan = None


@when("{wait_ms:d} ms pass at the door")
def when_pass_at_door(context: Any, wait_ms: int) -> None:
    context.stage.advance(for_us=wait_ms * 1_000)


@when("the time for a greeting is over")
def when_greeting_over(context: Any) -> None:
    context.stage.advance(for_us=GREETING_US + 1_000)


@when("a client that does not read sends {count:d} asks")
def when_not_reading(context: Any, count: int) -> None:
    context.count = count
    context.stage.call(call=context.protocol.pause_writing)
    data = b"".join(b"ASK %d FETCH 1\r\n" % number for number in range(count))
    context.stage.call(call=lambda: context.transport.feed(data))
    context.stage.advance(for_us=500_000)


@then("no more than {count:d} is run, and reading is paused")
def then_paused(context: Any, count: int) -> None:
    assert len(context.booth.ran) <= count, context.booth.ran
    assert context.transport.paused and len(context.protocol.asked) > MOST_ASKED // 2


@when("it reads again")
def when_reads(context: Any) -> None:
    context.stage.call(call=context.protocol.resume_writing)
    context.stage.advance(for_us=1_000_000)


@then("all are answered in order, and reading goes on")
def then_all_in_order(context: Any) -> None:
    found = [line.split()[1] for line in context.transport.take().split(b"\r\n") if line.startswith(b"DONE")]
    assert found == [b"%d" % number for number in range(context.count)], found
    assert not context.transport.paused


@when("the client vanishes while {what}")
def when_client_vanishes(context: Any, what: str) -> None:
    wait_us = {"its statement runs": 1_000, "nothing runs": 100_000}[what]
    context.stage.call(call=lambda: context.transport.feed(b"ASK 7 BEGIN\r\n"))
    context.stage.advance(for_us=wait_us)
    context.stage.call(call=lambda: context.transport.lose(error=ConnectionResetError("reset")))
    context.stage.advance(for_us=100_000)


@then("nothing at the door has crashed")
def then_door_not_crashed(context: Any) -> None:
    assert not context.stage.crashed, context.stage.crashes


# -- backends --


@given("a link to a backend")
def given_link(context: Any) -> None:
    context.stage = Stage(context=context)
    context.lost = 0
    context.asked = []
    connect(context=context, make=BackendLink)

    def lost() -> None:
        context.lost += 1

    context.protocol.on_lost = lost


def ask_link(*, context: Any, text: str) -> None:
    """Asks through the link's own methods, as a session does."""
    link: BackendLink = context.protocol
    at_least = None
    if text.startswith("AFTER "):
        _, at, text = text.split(" ", 2)
        at_least = position(text=at)
    first, _, rest = text.partition(" ")
    if first == "GREET":
        future = link.greet(service="s1", name="srv-1")
    elif first == "BEGIN":
        future = link.begin(read_only=bool(rest), at_least=at_least)
    elif first in ("UNDO", "STATE"):
        future = link.rollback() if first == "UNDO" else link.ask_position()
    elif first == "SET":
        name, _, value = rest.partition(" ")
        link.set_value(name=name.encode(), value=value.encode())
        return
    elif first == "CLEAR":
        link.clear()
        return
    elif first == "NAME":
        alias, kind, shape = rest.split(" ")
        link.prepare(alias=alias.encode(), shape=shape.encode(), writes=kind == "PUT")
        return
    elif first == "RUN":
        alias, _, content = rest.partition(" ")
        ran = Statement(ident=b"id", verb=Verb.execute, name=b"mine", content=content.encode())
        future = link.send(statement=ran, at_least=at_least, alias=alias.encode())
    else:
        future = link.send(statement=read_statement(ident=b"id", text=text.encode()), at_least=at_least)
    context.asked.append(future)


@when("the link asks `{texts}`")
def when_link_asks(context: Any, texts: str) -> None:
    for text in texts.split(" / "):
        context.stage.call(call=lambda text=text: ask_link(context=context, text=text))


@then("the backend receives")
def then_backend_receives(context: Any) -> None:
    found = context.transport.take().decode()
    assert found == "".join(line + "\r\n" for line in context.text.strip().splitlines()), found


@when("the backend says `{text}`")
@when("the backend says `{text}` at once")
def when_backend_says(context: Any, text: str) -> None:
    context.stage.call(call=lambda: context.transport.feed(raw(text=text)))
    context.stage.advance(for_us=1_000)


@when("the backend says `{text}` byte by byte")
def when_backend_says_bytes(context: Any, text: str) -> None:
    for byte in raw(text=text):
        context.stage.call(call=lambda byte=byte: context.transport.feed(bytes([byte])))
    context.stage.advance(for_us=1_000)


@when("the link is cut")
def when_cut(context: Any) -> None:
    context.stage.call(call=lambda: context.transport.lose(error=ConnectionResetError("reset")))
    context.stage.advance(for_us=1_000)


def outcome(*, future: asyncio.Future[Reply]) -> str:
    if not future.done():
        return "owed"
    if future.exception() is not None:
        return "lost" if isinstance(future.exception(), ConnectionError) else repr(future.exception())
    reply = future.result()
    told = reply.native.decode() if reply.fault is not None else f"{len(reply.rows)} rows {reply.stamp.decode()}"
    marks = " not run" * reply.not_run + " retriable" * reply.retriable
    return f"{told}{marks} {'ITE'[reply.state]} {shown(at=reply.position)}"


@then("the answers to the link are `{texts}`")
def then_link_answers(context: Any, texts: str) -> None:
    found = " / ".join(outcome(future=future) for future in context.asked)
    assert found == texts, found


@then("the link is {word}, and was told lost {count:d} times")
def then_link(context: Any, word: str, count: int) -> None:
    context.stage.advance(for_us=1_000)
    assert (context.protocol.open, context.lost) == (word == "open", count), (context.protocol.open, context.lost)


@when("the link is closed here")
def when_closed_here(context: Any) -> None:
    context.stage.call(call=context.protocol.close)


@then("its connection {ends}")
def then_ends(context: Any, ends: str) -> None:
    assert context.transport.closing and context.transport.aborted == (ends == "is reset"), ends


@then('the link holds the values "{values}" and has prepared "{prepared}"')
def then_holds(context: Any, values: str, prepared: str) -> None:
    link: BackendLink = context.protocol
    found = " ".join(f"{k.decode()}={v.decode()}" for k, v in link.values.items()) or "none"
    names = " ".join(each.decode() for each in link.prepared) or "none"
    assert (found, names) == (values, prepared), (found, names)


@when("a backend is dialled, and answers `{script}`")
def when_dialled(context: Any, script: str) -> None:
    context.stage = Stage(context=context)
    context.streams = MemoryStreams(script=[script])
    dialer = BackendDialer(ctx=context.stage.ctx, streams=context.streams)
    work = dialer(backend=announcement(name="srv-1", service="s1"), wait_us=300_000)
    began_us = context.stage.now_us
    context.result = context.stage.run(work=work)
    context.took_us = context.stage.now_us - began_us
    if context.result.is_ok():
        context.result = Ok("a link" if context.result.ok.open else "a closed link")
    context.stage.advance(for_us=1_000)


@then("its greeting was `{text}`")
def then_greeting(context: Any, text: str) -> None:
    assert context.streams.transports[0].sent == raw(text=text), context.streams.transports[0].sent


@then("the connection that was dialled is {word}")
def then_dialled(context: Any, word: str) -> None:
    assert context.streams.transports[0].closing == (word == "closed")


@when("a backend is told to {command}, and answers `{script}`")
def when_command(context: Any, command: str, script: str) -> None:
    context.stage = Stage(context=context)
    context.streams = MemoryStreams(script=[script])
    dialer = BackendDialer(ctx=context.stage.ctx, streams=context.streams)
    commands = BackendCommands(ctx=context.stage.ctx, dialer=dialer)
    options = {"pause": {"term": 4}, "step_down": {"term": 5}}.get(command, {})
    work = getattr(commands, command)(backend=announcement(name="srv-1", service="s1"), wait_us=300_000, **options)
    began_us = context.stage.now_us
    context.result = context.stage.run(work=work)
    assert context.stage.now_us - began_us <= 310_000
    if context.result.is_ok():
        state = context.result.ok
        role = "leads" if state.leads else "follows"
        context.result = Ok(f"{role} {state.term} {shown(at=state.received)} {state.term_held}")
    context.stage.advance(for_us=1_000)


@then("it was sent `{text}` after the greeting")
def then_command_sent(context: Any, text: str) -> None:
    found = context.streams.transports[0].sent.split(b"\r\n")[1:-1]
    assert found == [raw(text=text)], found


@then("a position that was never told counts as the start")
def then_start(context: Any) -> None:
    assert Position(0, 0) == START


# -- the launch --

IMPORTS = """
import sys, json
sys.path[:0] = [{platform!r}, {src!r}]
import platform
from adapter.{role}_role import *
from adapter.process import run
print(json.dumps({{"platform": platform.__file__, "python": platform.python_implementation(),
                   "loaded": sorted({{name.partition(".")[0] for name in sys.modules}})}}))
"""


@when("a Python with the launcher's path loads the role {role}")
def when_loads(context: Any, role: str) -> None:
    code = IMPORTS.format(platform=str(REPOSITORY / "platform"), src=str(REPOSITORY / "src"), role=role)
    with tempfile.TemporaryDirectory() as folder:
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=folder, capture_output=True, text=True, timeout=60, check=False
        )
    assert done.returncode == 0, done.stderr
    context.loaded = json.loads(done.stdout)


@then("its platform is the standard library's")
def then_standard(context: Any) -> None:
    assert Path(context.loaded["platform"]).parent == Path(os.__file__).parent, context.loaded["platform"]
    assert context.loaded["python"] == "CPython"


@then('none of "{names}" are loaded')
def then_not_loaded(context: Any, names: str) -> None:
    found = set(names.split(", ")) & set(context.loaded["loaded"])
    assert not found, found


@then('the launcher run as "{arguments}" ends with {code:d} and says "{words}"')
def then_launcher(context: Any, arguments: str, code: int, words: str) -> None:
    command = [sys.executable, str(REPOSITORY / "platform" / "launch.py")]
    command += [] if arguments == "nothing" else arguments.split()
    environment = {key: value for key, value in os.environ.items() if key != "CINDERSTAIR_SETTINGS"}
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False, env=environment)
    assert done.returncode == code and words in done.stderr, (done.returncode, done.stderr)


@then("the deploy file puts {count:d} guildhalls on zones of {machines} machines with disks")
def then_deploys(context: Any, count: int, machines: str) -> None:
    role = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())["roles"]["guildhall"]
    zones = [int(each) for each in machines.split(", ")]
    # why: a share is rounded up in each zone, and no zone has more than its machines
    placed = sum(min(zone, role["count"]) if "count" in role else math.ceil(zone * role["share"]) for zone in zones)
    assert placed == count, placed
    context.placed = placed


@then("a majority of them outlives the loss of {losses:d}")
def then_outlive(context: Any, losses: int) -> None:
    assert (context.placed - 1) // 2 >= losses, context.placed


# which package of the system brings a program, or a module that is run as one
PACKAGES = {"python3": "python3", "pip": "python3-pip"}
SHELL_WORDS = {"[", "{", "}", "touch", "&&", "||"}


@then("the deploy file's packages bring each program that its commands begin with")
def then_packages(context: Any) -> None:
    deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
    commands = re.split(r"&&|\|\||;", deploy["build"])
    commands += [role["run"] for role in deploy["roles"].values()]
    needed = set()
    for command in commands:
        words = [word for word in command.split() if word not in SHELL_WORDS]
        if not words:
            continue
        # why: what a shell and its base system bring needs no package
        if words[0] in PACKAGES:
            needed.add(PACKAGES[words[0]])
        if "-m" in words:
            needed.add(PACKAGES[words[words.index("-m") + 1]])
    assert needed == set(deploy["packages"]), (needed, deploy["packages"])


@then("every library that the build installs is pure Python, for which no compiler is needed")
def then_pure(context: Any) -> None:
    for line in (REPOSITORY / "platform" / "requirements.txt").read_text().split():
        name, _, version = line.partition("==")
        found = distribution(name)
        assert found.version == version, (name, found.version)
        wheel = found.read_text("WHEEL") or ""
        assert "Root-Is-Purelib: true" in wheel and "Tag: py3-none-any" in wheel, (name, wheel)
