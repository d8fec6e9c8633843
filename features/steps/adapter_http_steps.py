"""Steps for the adapter's HTTP server and client, and for the promotion call."""

import asyncio
import json
from typing import Any

import h11
from adapter.http_client import post
from adapter.http_messages import HttpRequest, HttpResponse
from adapter.http_server import MAX_BODY_BYTES, HttpServerConnection
from adapter.promotion_call import PromotionCall
from adapter_common import MemoryStreams, connect, raw
from behave import given, then, when
from stage import Stage


def parse_responses(*, data: bytes, methods: list[str]) -> list[HttpResponse]:
    """Parses the responses to requests of these methods as an HTTP client does."""
    parser, found = h11.Connection(h11.CLIENT), []
    for method in methods:
        parser.send(h11.Request(method=method, target="/", headers=[("Host", "x")]))
        parser.send(h11.EndOfMessage())
        if data:
            parser.receive_data(data)
            data = b""
        body, status = b"", 0
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            if event in (h11.NEED_DATA, h11.PAUSED) or isinstance(event, h11.ConnectionClosed):
                return found
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
        found.append(HttpResponse(status=status, body=body))
        if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
            return found
        parser.start_next_cycle()
    return found


@given("an HTTP server that echoes bodies")
def given_server(context: Any) -> None:
    context.stage = Stage(context=context)
    context.handled = []
    context.wait_s = 0.0

    async def echo(request: HttpRequest) -> HttpResponse:
        text = request.body[:40].decode(errors="replace")
        context.handled.append(f"{request.method} {request.target} {text}".strip())
        if request.target == "/crash":
            raise RuntimeError("crash")
        await asyncio.sleep(0.05 if request.target == "/slow" else 0.001)
        return HttpResponse(status=200, body=request.body)

    connect(context=context, make=lambda: HttpServerConnection(ctx=context.stage.ctx, handle=echo))


def request(*, text: str) -> bytes:
    method, target, body = (text.split(" ", 2) + [""])[:3]
    return f"{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()


@when('the requests "{texts}" arrive {how}')
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


@then('the responses are "{texts}"')
def then_answers(context: Any, texts: str) -> None:
    found = parse_responses(data=context.transport.sent, methods=context.methods)
    text = ", ".join(f"{answer.status} {answer.body.decode()}".strip() for answer in found)
    assert text == texts, text


@then('the handled requests are "{texts}"')
def then_handled(context: Any, texts: str) -> None:
    found = ", ".join(context.handled) or "nothing"
    assert found == texts, found


@then("the connection is {word}")
def then_connection(context: Any, word: str) -> None:
    context.stage.advance(for_us=1_000)
    assert context.transport.closing == (word == "closed")


@when("the bytes `{text}` arrive")
def when_bytes(context: Any, text: str) -> None:
    context.methods = ["GET"]
    context.stage.call(call=lambda: context.transport.feed(raw(text=text)))
    context.stage.advance(for_us=200_000)


@when("a body of {size} bytes arrives in chunks of {chunk:d}")
def when_body(context: Any, size: str, chunk: int) -> None:
    length = MAX_BODY_BYTES + int(size.removeprefix("4 MiB +"))
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
    found = " ".join(
        str(answer.status) for answer in parse_responses(data=context.transport.sent, methods=context.methods)
    )
    assert found == statuses, (found, context.transport.sent[:200])


@when("the client closes its sending side")
def when_ends(context: Any) -> None:
    context.stage.call(call=context.transport.end)
    context.stage.advance(for_us=200_000)


@when("requests arrive cut at each byte, or byte by byte, the responses are the same")
def when_any_parts(context: Any) -> None:
    texts = ["PUT /a one", "GET /b", "PUT /c three"]
    data = b"".join(request(text=text) for text in texts)
    for cut in range(len(data)):
        context.execute_steps("Given an HTTP server that echoes bodies")
        parts = [data[:cut], data[cut:]] if cut else [data[n : n + 1] for n in range(len(data))]
        for part in parts:
            context.stage.call(call=lambda part=part: context.transport.feed(part))
        context.stage.advance(for_us=20_000)
        found = parse_responses(data=context.transport.sent, methods=["PUT", "GET", "PUT"])
        wanted = [HttpResponse(status=200, body=body) for body in (b"one", b"", b"three")]
        assert found == wanted, (cut, found)


@when("a POST is answered by `{script}`")
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


@when("the lease of a promotion expires during the connection setup")
def when_lease_runs_out(context: Any) -> None:
    promote(context=context, script="silence", holds=False)


@then("the connection was reset")
def then_reset(context: Any) -> None:
    (transport,) = context.streams.transports
    assert transport.aborted


@then("nothing was sent and the connection is closed")
def then_nothing_sent(context: Any) -> None:
    (transport,) = context.streams.transports
    assert transport.sent == b"" and transport.closing, (transport.sent, transport.closing)


@then("the result is {word}")
def then_result(context: Any, word: str) -> None:
    found = str(context.result.ok) if context.result.is_ok() else context.result.error.code.value
    assert found == word, found


@then("one complete request was sent and the connection is closed")
def then_sent_whole(context: Any) -> None:
    context.stage.advance(for_us=10_000)
    (transport,) = context.streams.transports
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(transport.sent)
    called = parser.next_event()
    assert isinstance(called, h11.Request) and isinstance(parser.next_event(), h11.Data)
    assert isinstance(parser.next_event(), h11.EndOfMessage) and parser.trailing_data == (b"", False)
    assert transport.closing


@then("the request has the lease holder core-1, the fencing token 12, the service s1 and the backend srv-1")
def then_call(context: Any) -> None:
    sent = context.streams.transports[0].sent
    head, _, body = sent.partition(b"\r\n\r\n")
    assert head.startswith(b"POST /promotion HTTP/1.1\r\n"), head
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
    assert (fields[b"x-duty-holder"], fields[b"x-fence-number"]) == (b"core-1", b"12"), fields
    assert json.loads(body) == {"target": "s1", "server_id": "srv-1"}, body
