"""Steps for malformed input at the interfaces of an HTTP proxy."""

import json
import random
from typing import Any

from behave import then, when
from http_proxy_steps import ask, statement

from cinderstair.runtime.error_responses import ERROR_RESPONSES
from cinderstair.runtime.errors import ErrorCode

WRONG_VALUES: list[Any] = [
    None,
    True,
    -1,
    0,
    1 << 70,
    1.5,
    "",
    "x" * 300,
    [],
    {},
    [[]],
    {"a": {"b": 1}},
    "\u0000",
    "\ud83d",
]


OPTIONAL_FIELDS = ("params", "incarnation", "number", "term", "position", "leads", "stalls", "leaves", "enters")


def valid_requests(*, context: Any) -> list[tuple[str, str, dict[str, Any]]]:
    """Valid requests of every interface, for `malformed` to change."""
    path = f"/v1/sessions/{context.session}"
    heartbeat = {"name": "db0-z", "incarnation": 1, "number": 1, "site": "k", "state": "ready"}
    return [
        ("POST", "/v1/sessions", {"database": "db0", "timeLeftUs": 1_000_000}),
        ("POST", f"{path}/statements", {"kind": "write", "text": "put bad 1", "params": [], "timeLeftUs": 900_000}),
        ("PUT", f"{path}/values", {"values": {"mine": "bad"}, "timeLeftUs": 900_000}),
        ("PUT", f"{path}/prepared/bad", {"text": "put bad 2", "timeLeftUs": 900_000}),
        ("POST", f"{path}/commit", {"timeLeftUs": 900_000}),
        ("POST", "/v1/beats", {**heartbeat, "leads": True, "term": 9, "position": 9}),
        ("PUT", "/v1/configuration", json.loads(context.world.configuration(version=7))),
        ("POST", "/v1/override", {"database": "db0", "backend": "db0-b", "iAcceptLoss": True}),
        ("POST", "/v1/vaults", {"leaves": "vault-1", "enters": "vault-9"}),
    ]


def malformed(*, rng: random.Random, method: str, path: str, body: dict[str, Any]) -> tuple[str, str, bytes]:
    """Makes a request invalid: a field is missing or of another type, or the body is truncated or too large."""
    data = json.dumps(body).encode()
    mutation = rng.choice(["cut", "field", "field", "method", "path", "noise", "large", "twice"])
    if mutation == "cut":
        return method, path, data[: rng.randrange(len(data))]
    if mutation == "noise":
        return method, path, rng.randbytes(rng.randrange(1, 200))
    if mutation == "large":
        return method, path, data[:-1] + b', "more": "' + b"x" * (1024 * 1024) + b'"}'
    if mutation == "twice":
        return method, path, data + data
    if mutation == "method":
        return rng.choice(["PATCH", "TRACE", "HEAD"]), path, data
    if mutation == "path":
        return method, path + rng.choice(["/", "/more", "%2e", "\u00e9"]), data
    required = [key for key in body if key not in OPTIONAL_FIELDS] or ["leaves"]
    key = rng.choice(required)
    changed = {k: v for k, v in body.items() if k != key}
    if rng.random() < 0.7:
        changed[key] = rng.choice([wrong for wrong in WRONG_VALUES if not isinstance(wrong, type(body[key]))])
    return method, path, json.dumps(changed).encode()


def state(*, context: Any) -> tuple[Any, ...]:
    world = context.world
    http_proxy = world.http_proxy(name="stall-0")
    session = next(iter(http_proxy.sessions.open.values()))
    return (
        world.ask(name="stall-0", method="GET", path="/v1/configuration")[1],
        {database: assignment.bytes() for database, assignment in http_proxy.view.primaries.items()},
        (session.handle, dict(session.values), dict(session.prepared), session.transaction),
        sorted(http_proxy.sessions.open),
        sorted(world.backend(name=http_proxy.view.primaries["db0"].primary).current),
    )


@when("{count:d} malformed requests generated from seed {seed:d} go to the client, backend and operator interfaces")
def when_malformed(context: Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    whole = valid_requests(context=context)
    context.before, context.wrong, context.kinds = state(context=context), [], set()
    for _ in range(count):
        method, path, body = malformed(
            rng=rng, **dict(zip(("method", "path", "body"), rng.choice(whole), strict=True))
        )
        began_us = context.world.now_us
        status, data = context.world.ask(name="stall-0", method=method, path=path, body=body)
        took_us = context.world.now_us - began_us
        value = json.loads(data) if data else {}
        kind = value.get("kind", "")
        # `internal` has a status in the table too, so it is excluded by name
        fits = kind and kind != "internal" and ERROR_RESPONSES[ErrorCode(kind)].status == status
        context.kinds.add(kind)
        if not fits or took_us > 1_000_000:
            context.wrong.append((method, path, body[:120], status, value, took_us))


@then("each is answered within a second with the status of its error kind, and none with an internal error")
def then_table(context: Any) -> None:
    assert not context.wrong, (len(context.wrong), context.wrong[:4])
    wanted = {"malformed", "tooLarge", "unknownPath", "wrongMethod", "timeLeftMissing", "brokenConfiguration"}
    assert wanted <= context.kinds, context.kinds


@then("the configuration, the primary assignments, the session and its state are unchanged, and reads succeed")
def then_before(context: Any) -> None:
    after = state(context=context)
    assert after == context.before, [pair for pair in zip(context.before, after, strict=True) if pair[0] != pair[1]]
    status, answer = statement(context=context, kind="primary", text="list k")
    assert status == 200, answer
    assert not context.world.errors


@when(
    "{count:d} heartbeats of a backend, the last one emptying, arrive twice each in an order drawn from seed {seed:d}"
)
def when_heartbeats(context: Any, count: int, seed: int) -> None:
    world = context.world
    assignment = world.http_proxy(name="stall-0").view.primaries["db0"]
    context.name = assignment.in_sync[0]
    backend = world.backend(name=context.name)
    backend.heartbeats_enabled = False
    heartbeats = [backend.heartbeat() for _ in range(count)]
    heartbeats[-1]["state"] = "emptying"
    # of an earlier incarnation: older than all the others in spite of its higher number
    heartbeats.append({**heartbeats[0], "incarnation": 0, "number": 10_000})
    order = heartbeats * 2
    random.Random(seed).shuffle(order)
    for heartbeat in order:
        status, answer = ask(world=world, method="POST", path="/v1/beats", value=heartbeat)
        assert status == 200, answer


@then("the HTTP proxy regards the backend as emptying, and reads succeed on the others")
def then_emptying(context: Any) -> None:
    http_proxy = context.world.http_proxy(name="stall-0")
    assert http_proxy.heartbeat_table.latest(name=context.name).heartbeat.state == "emptying"
    assert not http_proxy.heartbeat_table.healthy(name=context.name)
    status, answer = statement(context=context, kind="live", text="list k")
    assert status == 200, answer
