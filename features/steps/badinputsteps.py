"""Steps for bad input at a stall's edges."""

import json
import random
from typing import Any

from behave import then, when
from stallsteps import ask, statement

from cinderstair.runtime.answers import ANSWERS
from cinderstair.runtime.kind import Kind

ODD: list[Any] = [None, True, -1, 0, 1 << 70, 1.5, "", "x" * 300, [], {}, [[]], {"a": {"b": 1}}, "\u0000", "\ud83d"]


OPTIONAL = ("params", "incarnation", "number", "term", "position", "leads", "stalls", "leaves", "enters")


def jobs(*, context: Any) -> list[tuple[str, str, dict[str, Any]]]:
    """Whole jobs of every edge, to be spoilt."""
    path = f"/v1/sessions/{context.session}"
    beat = {"name": "db0-z", "incarnation": 1, "number": 1, "site": "k", "state": "ready"}
    return [
        ("POST", "/v1/sessions", {"database": "db0", "timeLeftUs": 1_000_000}),
        ("POST", f"{path}/statements", {"kind": "write", "text": "put bad 1", "params": [], "timeLeftUs": 900_000}),
        ("PUT", f"{path}/values", {"values": {"mine": "bad"}, "timeLeftUs": 900_000}),
        ("PUT", f"{path}/prepared/bad", {"text": "put bad 2", "timeLeftUs": 900_000}),
        ("POST", f"{path}/commit", {"timeLeftUs": 900_000}),
        ("POST", "/v1/beats", {**beat, "leads": True, "term": 9, "position": 9}),
        ("PUT", "/v1/configuration", json.loads(context.world.configuration(version=7))),
        ("POST", "/v1/override", {"database": "db0", "backend": "db0-b", "iAcceptLoss": True}),
        ("POST", "/v1/vaults", {"leaves": "vault-1", "enters": "vault-9"}),
    ]


def spoilt(*, luck: random.Random, method: str, path: str, body: dict[str, Any]) -> tuple[str, str, bytes]:
    """Never a whole job: something that it needs is gone, of another type, cut off, or too large."""
    data = json.dumps(body).encode()
    how = luck.choice(["cut", "field", "field", "method", "path", "noise", "large", "twice"])
    if how == "cut":
        return method, path, data[: luck.randrange(len(data))]
    if how == "noise":
        return method, path, luck.randbytes(luck.randrange(1, 200))
    if how == "large":
        return method, path, data[:-1] + b', "more": "' + b"x" * (1024 * 1024) + b'"}'
    if how == "twice":
        return method, path, data + data
    if how == "method":
        return luck.choice(["PATCH", "TRACE", "HEAD"]), path, data
    if how == "path":
        return method, path + luck.choice(["/", "/more", "%2e", "\u00e9"]), data
    needed = [key for key in body if key not in OPTIONAL] or ["leaves"]
    key = luck.choice(needed)
    changed = {k: v for k, v in body.items() if k != key}
    if luck.random() < 0.7:
        changed[key] = luck.choice([odd for odd in ODD if not isinstance(odd, type(body[key]))])
    return method, path, json.dumps(changed).encode()


def state(*, context: Any) -> tuple[Any, ...]:
    world = context.world
    stall = world.stall(name="stall-0")
    session = next(iter(stall.sessions.open.values()))
    return (
        world.ask(name="stall-0", method="GET", path="/v1/configuration")[1],
        {database: lead.bytes() for database, lead in stall.view.leads.items()},
        (session.handle, dict(session.values), dict(session.prepared), session.transaction),
        sorted(stall.sessions.open),
        sorted(world.backend(name=stall.view.leads["db0"].primary).current),
    )


@when("{count:d} bad jobs made by seed {seed:d} are sent to clients', platform's, backends' and operators' edges")
def when_bad(context: Any, count: int, seed: int) -> None:
    luck = random.Random(seed)
    whole = jobs(context=context)
    context.before, context.wrong, context.kinds = state(context=context), [], set()
    for _ in range(count):
        method, path, body = spoilt(
            luck=luck, **dict(zip(("method", "path", "body"), luck.choice(whole), strict=True))
        )
        began_us = context.world.now_us
        status, data = context.world.ask(name="stall-0", method=method, path=path, body=body)
        took_us = context.world.now_us - began_us
        value = json.loads(data) if data else {}
        kind = value.get("kind", "")
        # why: an error of ours would be a kind of the table as well, so it is named apart
        fits = kind and kind != "internal" and ANSWERS[Kind(kind)].status == status
        context.kinds.add(kind)
        if not fits or took_us > 1_000_000:
            context.wrong.append((method, path, body[:120], status, value, took_us))


@then("each was answered by the table of kinds, at once, and none with an error of ours")
def then_table(context: Any) -> None:
    assert not context.wrong, (len(context.wrong), context.wrong[:4])
    wanted = {"malformed", "tooLarge", "unknownPath", "wrongMethod", "timeLeftMissing", "brokenConfiguration"}
    assert wanted <= context.kinds, context.kinds


@then("the configuration, the leads, the session and what it keeps are as before, and the stall serves")
def then_before(context: Any) -> None:
    after = state(context=context)
    assert after == context.before, [pair for pair in zip(context.before, after, strict=True) if pair[0] != pair[1]]
    status, answer = statement(context=context, kind="primary", text="list k")
    assert status == 200, answer
    assert not context.world.errors


@when("a backend's {count:d} beats that end with emptying come twice each, in an order drawn by seed {seed:d}")
def when_beats(context: Any, count: int, seed: int) -> None:
    world = context.world
    lead = world.stall(name="stall-0").view.leads["db0"]
    context.name = lead.inSync[0]
    backend = world.backend(name=context.name)
    backend.beating = False
    beats = [backend.beat() for _ in range(count)]
    beats[-1]["state"] = "emptying"
    # why: from an earlier run of it, numbered higher, and still older than all that came since
    beats.append({**beats[0], "incarnation": 0, "number": 10_000})
    order = beats * 2
    random.Random(seed).shuffle(order)
    for beat in order:
        status, answer = ask(world=world, method="POST", path="/v1/beats", value=beat)
        assert status == 200, answer


@then("the stall holds it to be emptying, and goes on with the others")
def then_emptying(context: Any) -> None:
    stall = context.world.stall(name="stall-0")
    assert stall.news.latest(name=context.name).beat.state == "emptying"
    assert not stall.news.fit(name=context.name)
    status, answer = statement(context=context, kind="live", text="list k")
    assert status == 200, answer
