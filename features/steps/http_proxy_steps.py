"""Steps for the HTTP interface of an HTTP proxy."""

import asyncio
import json
from typing import Any

from behave import given, then, when
from common import new_world

from cinderstair.runtime.http_request import HttpRequest
from cinderstair.simulation.sim_net import SimNet
from cinderstair.simulation.virtual_loop import SimProcess
from cinderstair.simulation.world import World


def ask(
    *, world: World, method: str, path: str, value: Any = None, body: bytes = b"", name: str = "stall-0"
) -> tuple[int, Any]:
    data = body if value is None else json.dumps(value).encode()
    status, answer = world.ask(name=name, method=method, path=path, body=data)
    return status, json.loads(answer) if answer else None


def open_session(*, world: World) -> str:
    status, answer = ask(
        world=world, method="POST", path="/v1/sessions", value={"database": "db0", "timeLeftUs": 1_000_000}
    )
    assert status == 201, answer
    return str(answer["session"])


def statement(*, context: Any, session: str = "", **fields: Any) -> tuple[int, Any]:
    path = f"/v1/sessions/{session or context.session}/statements"
    return ask(world=context.world, method="POST", path=path, value={"timeLeftUs": 2_000_000, **fields})


def step(*, context: Any, verb: str, time_left_us: int = 2_000_000) -> tuple[int, Any]:
    path = f"/v1/sessions/{context.session}/{verb}"
    return ask(world=context.world, method="POST", path=path, value={"timeLeftUs": time_left_us})


@given("a system at work with an open session")
def given_work(context: Any) -> None:
    world = new_world(context=context, seed=21, changes={"idle_transaction_us": 2_000_000})
    world.begin()
    context.session = open_session(world=world)


@then("these requests are answered within 50 ms")
def then_answers(context: Any) -> None:
    wrong = []
    for row in context.table:
        path = row["path"].replace("SESSION", context.session)
        began_us = context.world.now_us
        status, answer = ask(world=context.world, method=row["method"], path=path, body=row["body"].encode())
        took_us = context.world.now_us - began_us
        if (status, answer.get("kind")) != (int(row["status"]), row["kind"]) or took_us > 50_000:
            wrong.append((row["path"], row["body"], status, answer, took_us))
    assert not wrong, wrong


@then("a body of 2 MiB is rejected with {status:d} and {kind}")
def then_large(context: Any, status: int, kind: str) -> None:
    body = b'{"text": "' + b"x" * (2 * 1024 * 1024) + b'"}'
    found, answer = ask(world=context.world, method="POST", path="/v1/sessions", body=body)
    assert (found, answer["kind"]) == (status, kind), answer


@then("the session still works, and no session has a request or transaction left open")
def then_works(context: Any) -> None:
    status, answer = statement(context=context, kind="primary", text="get k")
    assert status == 200, answer
    http_proxy = context.world.http_proxy(name="stall-0")
    context.world.advance(for_us=100_000)
    assert not context.world.errors and not http_proxy.ctx.counters.counts["internal.crashes"]
    assert all(session.transaction is None and not session.busy for session in http_proxy.sessions.open.values())


@when('the session prepares "{text}" and sets the value "{key}" to "{value}"')
def when_keeps(context: Any, text: str, key: str, value: str) -> None:
    keeps = {"prepared/p": {"text": text}, "values": {"values": {key: value}}}
    for path, keep in keeps.items():
        full = f"/v1/sessions/{context.session}/{path}"
        status, answer = ask(world=context.world, method="PUT", path=full, value={**keep, "timeLeftUs": 1_000_000})
        assert (status, answer["stands"]) == (200, 2), answer
        # each change gives the session a new handle; a request with the previous one gets only the new handle
        context.before, context.session = context.session, answer["session"]


@then("its prepared text runs with parameters, and no other session sees its text or value")
def then_kept(context: Any) -> None:
    status, answer = statement(context=context, kind="write", prepared="p", params=["x"])
    assert status == 200, answer
    assert statement(context=context, kind="primary", text="list k")[1]["rows"] == ["x"]
    assert statement(context=context, kind="primary", text="show mine")[1]["rows"] == ["7"]
    other = open_session(world=context.world)
    assert statement(context=context, session=other, kind="primary", text="show mine")[1]["rows"] == [None]
    status, answer = statement(context=context, session=other, kind="write", prepared="p")
    assert (status, answer["kind"]) == (404, "unknownPrepared"), answer


@then("a request with the previous handle is not run, and its response contains the current handle")
def then_previous_handle(context: Any) -> None:
    status, answer = statement(context=context, session=context.before, kind="write", text="append k old")
    assert (status, answer["kind"], answer["session"]) == (409, "handleOld", context.session), answer
    assert "old" not in statement(context=context, kind="primary", text="list k")[1]["rows"]
    path = f"/v1/sessions/{context.before}/commit"
    status, answer = ask(world=context.world, method="POST", path=path, value={"timeLeftUs": 1_000_000})
    assert (answer["kind"], answer["outcome"]) == ("outcomeUnknown", "unknown"), answer


@then("an older handle is rejected with unknownSession")
def then_older_handle(context: Any) -> None:
    ident = context.session.rpartition(".")[0]
    status, answer = statement(context=context, session=f"{ident}.1-00000000", kind="primary", text="list k")
    assert (status, answer["kind"]) == (410, "unknownSession"), answer


@then("the second of two concurrent requests is rejected with sessionBusy")
def then_busy(context: Any) -> None:
    body = json.dumps({"kind": "primary", "text": "list k", "timeLeftUs": 2_000_000}).encode()
    path = f"/v1/sessions/{context.session}/statements"

    async def both() -> list[tuple[int, bytes]]:
        asks = [context.world._ask(name="stall-0", method="POST", path=path, body=body) for _ in range(2)]
        return list(await asyncio.gather(*asks))

    answers = context.world.run(work=both())
    kinds = sorted(json.loads(answer).get("kind", "done") for _, answer in answers)
    assert kinds == ["done", "sessionBusy"], kinds


@then("a committed transaction is visible to primary reads")
def then_commit(context: Any) -> None:
    assert step(context=context, verb="begin")[0] == 200
    assert statement(context=context, kind="write", text="put a 1")[0] == 200
    assert statement(context=context, kind="primary", text="get a")[1]["rows"] == ["1"]
    other = open_session(world=context.world)
    assert statement(context=context, session=other, kind="primary", text="get a")[1]["rows"] == [None]
    assert step(context=context, verb="commit")[0] == 200
    assert statement(context=context, session=other, kind="primary", text="get a")[1]["rows"] == ["1"]


@then("a rolled back transaction is not visible")
def then_rollback(context: Any) -> None:
    assert step(context=context, verb="begin")[0] == 200
    assert statement(context=context, kind="write", text="put a 2")[0] == 200
    assert step(context=context, verb="rollback")[0] == 200
    assert statement(context=context, kind="primary", text="get a")[1]["rows"] == ["1"]


@then("only the first statement after an abandoned transaction is rejected with transactionLost")
def then_abandoned(context: Any) -> None:
    assert step(context=context, verb="begin")[0] == 200
    assert statement(context=context, kind="write", text="put a 3")[0] == 200
    context.world.advance(for_us=4_000_000)
    status, answer = statement(context=context, kind="write", text="put a 4")
    assert (status, answer["kind"]) == (409, "transactionLost"), answer
    assert statement(context=context, kind="primary", text="get a")[1]["rows"] == ["1"]


@when("a majority of register replicas is killed")
def when_majority(context: Any) -> None:
    for name in context.world.register_replica_names[:3]:
        context.world.kill(name=name)


@then("the HTTP proxy becomes not ready within {seconds:d} seconds")
def then_unready(context: Any, seconds: int) -> None:
    context.world.await_that(
        test=lambda: context.world.ask(name="stall-0", method="GET", path="/ready")[0] == 503,
        within_us=seconds * 1_000_000,
        what="not ready",
    )


@then("a new session is rejected within 50 ms with notCurrent, Retry-After and addresses of other proxies")
def then_rejected_elsewhere(context: Any) -> None:
    net = SimNet(network=context.world.network, process=SimProcess(name="client"))
    body = json.dumps({"database": "db0", "timeLeftUs": 5_000_000}).encode()
    began_us = context.world.now_us

    async def go() -> Any:
        connection = (await net.dial(address=context.world.http(name="stall-0"), wait_us=500_000)).ok
        return await connection.send_request(
            request=HttpRequest(method="POST", path="/v1/sessions", body=body), wait_us=6_000_000
        )

    response = context.world.run(work=go()).ok
    answer = response.json()
    assert (response.status, answer["kind"], answer["outcome"]) == (503, "notCurrent", "denied"), answer
    assert int(response.headers["Retry-After"]) >= 1 and answer["retryAfterUs"] > 0 and answer["elsewhere"]
    assert context.world.now_us - began_us < 50_000


@given("a system of 1 HTTP proxy with a backend cap of {cap:d} and a queue limit of {queue_limit:d}")
def given_small(context: Any, cap: int, queue_limit: int) -> None:
    world = new_world(context=context, seed=22, http_proxies=1, cap=cap, changes={"queue_limit": queue_limit})
    world.begin()
    for name in world.backend_names():
        world.backend(name=name).service_us = 200_000


@when("{count:d} clients send slow reads concurrently with a deadline of {seconds:d} seconds")
def when_concurrent_reads(context: Any, count: int, seconds: int) -> None:
    world = context.world
    context.left_us = seconds * 1_000_000
    context.answers = []
    sessions = [open_session(world=world) for _ in range(count)]
    body = json.dumps({"kind": "primary", "text": "get k", "timeLeftUs": context.left_us}).encode()

    async def one(session: str) -> None:
        began_us = world.now_us
        path = f"/v1/sessions/{session}/statements"
        status, answer = await world._ask(name="stall-0", method="POST", path=path, body=body)
        context.answers.append((world.now_us - began_us, status, json.loads(answer)))

    async def everyone() -> None:
        await asyncio.gather(*(one(session) for session in sessions))

    world.run(work=everyone())


@then("every client is answered within the deadline")
def then_in_time(context: Any) -> None:
    assert max(took_us for took_us, _, _ in context.answers) <= context.left_us + 50_000
    assert sum(status == 200 for _, status, _ in context.answers) >= 10, context.answers


@then("rejected reads got crowded with a time to retry within {millis:d} ms")
def then_overloaded(context: Any, millis: int) -> None:
    rejected = [(took_us, answer) for took_us, status, answer in context.answers if status != 200]
    assert len(rejected) >= 30, len(rejected)
    for _, answer in rejected:
        assert answer["kind"] == "crowded" and answer["retryAfterUs"] > 0, answer
    quick = [took_us for took_us, _ in rejected if took_us <= millis * 1000]
    assert len(quick) == len(rejected), sorted(took_us for took_us, _ in rejected)[-5:]


@then("no backend has had more than {cap:d} channels")
def then_capped(context: Any, cap: int) -> None:
    for name in context.world.backend_names():
        assert context.world.backend(name=name).peak_connections <= cap


@when('a configuration with the language "{language}" is in force')
def when_language(context: Any, language: str) -> None:
    world = context.world
    configuration = world.http_proxy(name="stall-0").view.configuration
    context.old = world.http_proxy(name="stall-0").view.primaries["db0"].in_sync[0]
    body = world.configuration(version=configuration.version + 1, old=(context.old,), language=language)
    status, answer = ask(world=world, method="PUT", path="/v1/configuration", body=body)
    assert status == 200, answer
    world.await_that(
        test=lambda: all(
            world.http_proxy(name=n).view.configuration.version > configuration.version
            for n in world.http_proxy_names
        ),
        within_us=3_000_000,
        what="in force",
    )
    world.advance(for_us=1_000_000)


def read_where(*, context: Any, kind: str, count: int) -> dict[str, int]:
    """The number of reads that each backend ran."""
    world = context.world
    before = {name: world.backend(name=name).ran.total() for name in world.backend_names()}
    for _ in range(count):
        status, answer = statement(context=context, kind=kind, text="get k")
        assert status == 200, answer
    return {name: world.backend(name=name).ran.total() - before[name] for name in before}


@then("{count:d} live reads all run on the replica with hall = old")
def then_old(context: Any, count: int) -> None:
    found = read_where(context=context, kind="live", count=count)
    assert found[context.old] == count, found


@then("{count:d} live reads all run on the primary")
def then_primary(context: Any, count: int) -> None:
    found = read_where(context=context, kind="live", count=count)
    assert found[context.world.http_proxy(name="stall-0").view.primaries["db0"].primary] == count, found


@then("a live read is rejected with routeDenied, and a fresh read succeeds")
def then_deny(context: Any) -> None:
    status, answer = statement(context=context, kind="live", text="get k")
    assert (status, answer["kind"]) == (403, "routeDenied"), answer
    assert statement(context=context, kind="fresh", text="get k")[0] == 200


@then("no pool has a limit above {count:d}")
def then_active(context: Any, count: int) -> None:
    for name in context.world.http_proxy_names:
        for pool in context.world.http_proxy(name=name).connection_pools.pools.values():
            assert 0 < pool.limit <= count, (name, pool.name, pool.limit)


@when("both replicas apply the log 3 seconds late and a value is written")
def when_late(context: Any) -> None:
    for name in context.world.http_proxy(name="stall-0").view.primaries["db0"].in_sync:
        context.world.backend(name=name).apply_us = 3_000_000
    status, answer = statement(context=context, kind="write", text="append k x")
    assert status == 200, answer


@then("an immediate fresh read sees the session's own write")
def then_own(context: Any) -> None:
    assert statement(context=context, kind="fresh", text="list k")[1]["rows"] == ["x"]


@then("a live read 1.6 seconds later sees it too")
def then_live(context: Any) -> None:
    context.world.advance(for_us=1_600_000)
    other = open_session(world=context.world)
    assert statement(context=context, session=other, kind="live", text="list k")[1]["rows"] == ["x"]
