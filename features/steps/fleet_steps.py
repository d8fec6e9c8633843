"""Steps for a fleet of real processes."""

import signal
import subprocess
import sys
import time
from datetime import datetime, timedelta, timezone
from typing import Any

from behave import given, then, when
from common import new_fleet, run

from cinderstair.simulation.trial import Verdict

WAIT_LIMIT_US = 60_000_000


def now_us() -> int:
    return time.monotonic_ns() // 1000


def commits(*, context: Any, since_us: int) -> int:
    """Counts the writes that started since then and were acknowledged."""
    return sum(
        e.outcome == "done" and e.verb in ("append", "transaction") and e.start_us >= since_us
        for e in context.fleet.history
    )


async def await_commits(*, context: Any, count: int) -> None:
    """Waits until so many writes that started from now on were acknowledged."""
    since_us = now_us()
    await context.fleet.await_that(
        test=lambda: commits(context=context, since_us=since_us) >= count,
        within_us=WAIT_LIMIT_US,
        what=f"{count} commits",
    )


@given(
    "a fleet of {http_proxies:d} HTTP proxies, {register_replicas:d} register replicas and 1 database, "
    "under load from {clients:d} clients"
)
def given_fleet(context: Any, http_proxies: int, register_replicas: int, clients: int) -> None:
    fleet = new_fleet(context=context, http_proxies=http_proxies, register_replicas=register_replicas, databases=1)

    async def go() -> None:
        await fleet.begin()
        fleet.callers_begin(count=clients, think_us=200_000)
        await await_commits(context=context, count=20)

    run(context=context, work=go())


@when("the primary's process is killed")
def when_primary_killed(context: Any) -> None:
    async def go() -> None:
        assignment = (await context.fleet.status(name="stall-0"))["leads"]["db0"]
        context.term, context.primary = assignment["term"], assignment["primary"]
        context.fleet.kill(name=assignment["primary"])

    run(context=context, work=go())


@then("another backend becomes the primary, and commits are acknowledged again")
def then_primary_replaced(context: Any) -> None:
    async def moved() -> bool:
        assignment = (await context.fleet.status(name="stall-0"))["leads"]["db0"]
        return (
            assignment["term"] > context.term
            and assignment["state"] == "settled"
            and assignment["primary"] != context.primary
        )

    async def go() -> None:
        await context.fleet.await_that(test=moved, within_us=WAIT_LIMIT_US, what="another backend is the primary")
        await await_commits(context=context, count=20)
        context.fleet.start(name=context.primary)
        await context.fleet.await_that(
            test=context.fleet.all_serve, within_us=WAIT_LIMIT_US, what="all HTTP proxies serve"
        )

    run(context=context, work=go())


@when("an HTTP proxy's process is frozen until the others consider it dead, and is resumed")
def when_frozen(context: Any) -> None:
    async def gone() -> bool:
        members = (await context.fleet.status(name="stall-0"))["members"]
        return any(m["name"] == "stall-1" and m["standing"] == "dead" for m in members)

    async def go() -> None:
        context.fleet.signal(name="stall-1", number=signal.SIGSTOP)
        await context.fleet.await_that(
            test=gone, within_us=WAIT_LIMIT_US, what="stall-1 is dead in the membership of stall-0"
        )
        context.fleet.signal(name="stall-1", number=signal.SIGCONT)

    run(context=context, work=go())


@then("all HTTP proxies serve again")
def then_serves(context: Any) -> None:
    run(
        context=context,
        work=context.fleet.await_that(
            test=context.fleet.all_serve, within_us=WAIT_LIMIT_US, what="all HTTP proxies serve"
        ),
    )


@when("a register replica's process is killed and started again")
def when_register_replica(context: Any) -> None:
    context.fleet.kill(name="vault-2")
    context.fleet.start(name="vault-2")


@when("an operator submits version 2 with the command line")
def when_submit(context: Any) -> None:
    result = run(context=context, work=context.fleet.submit(version=2, stalls={"stall-0": {"hall": "old"}}))
    assert result.returncode == 0, result.stderr


@then("version 2 is in force at every HTTP proxy and is read back byte for byte")
def then_in_force(context: Any) -> None:
    async def in_force() -> bool:
        statuses = [await context.fleet.status(name=name) for name in context.fleet.http_proxy_names]
        return all(status.get("configuration") == 2 for status in statuses)

    run(
        context=context,
        work=context.fleet.await_that(test=in_force, within_us=WAIT_LIMIT_US, what="configuration 2 is in force"),
    )
    wanted = (context.fleet.folder / "configuration-2.json").read_text()
    result = context.fleet.operator_command("fetch", at="stall-2")
    assert result.returncode == 0 and result.stdout == wanted, (result.stdout[:80], result.stderr)
    again = context.fleet.operator_command("submit", str(context.fleet.folder / "configuration-1.json"))
    assert again.returncode == 1 and "versionOld" in again.stderr, again.stderr


@then("the status command shows the members, the primaries and the proxy ids")
def then_status(context: Any) -> None:
    text = context.fleet.operator_command("status").stdout
    for words in (
        "members: ",
        "vault-4=alive",
        "slots: ",
        "db0: term",
        "settled",
        "in sync",
        "stall-2: configuration 2",
    ):
        assert words in text, text


@when("a settings file is changed to valid and to invalid values, with and without SIGHUP")
def when_settings(context: Any) -> None:
    fleet = context.fleet

    async def logged(text: str) -> None:
        await fleet.await_that(
            test=lambda: text in fleet.log_text(name="stall-0"),
            within_us=WAIT_LIMIT_US,
            what=f"stall-0 logs {text!r}",
        )

    async def go() -> None:
        fleet.write_settings(name="stall-0", queueMost=150)
        fleet.signal(name="stall-0", number=signal.SIGHUP)
        await logged("settings changed (signal)")
        fleet.write_settings(name="stall-0", queueMost=160, drainWaitUs=2_000_000)
        await logged("settings changed (file changed)")
        fleet.write_settings(name="stall-0", queueMost="many")
        await logged("queueMost: Not a valid integer")
        fleet.write_settings(name="stall-0", site="elsewhere")
        await logged("site need a restart")

    run(context=context, work=go())


@then("the valid values are applied, and the invalid ones are logged and have no effect")
def then_settings(context: Any) -> None:
    status = run(context=context, work=context.fleet.status(name="stall-0"))
    assert status["site"] != "elsewhere" and status["viewCurrent"], status
    assert status["queueMost"] == 160, status["queueMost"]


@when("an HTTP proxy receives SIGTERM")
def when_stop(context: Any) -> None:
    context.stop_us = now_us()
    context.fleet.signal(name="stall-1", number=signal.SIGTERM)


@then("it exits with code 0, and its clients continue at other HTTP proxies")
def then_ends(context: Any) -> None:
    async def go() -> None:
        process = context.fleet.processes["stall-1"]
        await context.fleet.await_that(
            test=lambda: process.poll() is not None, within_us=WAIT_LIMIT_US, what="stall-1 has ended"
        )
        assert process.returncode == 0, context.fleet.log_text(name="stall-1")[-2000:]
        await await_commits(context=context, count=20)

    run(context=context, work=go())


@then("the checkers find no violation in the whole history")
def then_history(context: Any) -> None:
    async def go() -> Verdict:
        await context.fleet.callers_end()
        return await context.fleet.verdict()

    verdict = run(context=context, work=go())
    verdict.need(
        names=("writes checked", "primary reads after a commit", "session values read", "statements compared")
    )
    assert not verdict.wrong, verdict.wrong[:5]
    assert commits(context=context, since_us=0) > 100


@when("an operator submits a window over the primary and stall-2")
def when_window(context: Any) -> None:
    fleet = context.fleet

    async def go() -> None:
        context.primary = (await fleet.status(name="stall-0"))["leads"]["db0"]["primary"]
        context.lost = sum(caller.sessions_lost for caller in fleet.callers)
        now = datetime.now(tz=timezone.utc)
        times = {
            "starts": (now + timedelta(seconds=2)).isoformat(),
            "ends": (now + timedelta(seconds=25)).isoformat(),
        }
        windows = [{"name": "move", "empties": "hall = old", **times}]
        result = await fleet.submit(version=2, old=(context.primary, "stall-2"), windows=windows)
        assert result.returncode == 0, result.stderr

    run(context=context, work=go())


@then("the primary has moved, stall-2 has no sessions, and the status command reports the open window")
def then_drained(context: Any) -> None:
    fleet = context.fleet

    async def moved() -> bool:
        assignment = (await fleet.status(name="stall-0"))["leads"]["db0"]
        held = (assignment["primary"], *assignment["inSync"], *assignment["joining"])
        drained = await fleet.status(name="stall-2")
        return assignment["state"] == "settled" and context.primary not in held and drained["sessions"] == 0

    async def go() -> None:
        await fleet.await_that(test=moved, within_us=WAIT_LIMIT_US, what="the old data centre is drained")
        assert not await fleet.is_ready(name="stall-2")

    run(context=context, work=go())
    text = fleet.operator_command("status").stdout
    assert "window move: open" in text and "still there: nothing left" in text, text


@when("the window has ended")
def when_ended(context: Any) -> None:
    async def ended() -> bool:
        return (await context.fleet.status(name="stall-0"))["windows"]["move"]["stage"] == "ended"

    run(
        context=context,
        work=context.fleet.await_that(test=ended, within_us=WAIT_LIMIT_US, what="the window has ended"),
    )


@then("stall-2 is ready, the drained backend is used again, and no session was lost")
def then_refilled(context: Any) -> None:
    fleet = context.fleet

    async def used() -> bool:
        status = await fleet.status(name="stall-0")
        return status["backends"][context.primary]["channels"]["open"] > 0 and await fleet.is_ready(name="stall-2")

    run(
        context=context,
        work=fleet.await_that(test=used, within_us=WAIT_LIMIT_US, what="the old data centre is used again"),
    )
    assert sum(caller.sessions_lost for caller in fleet.callers) == context.lost


@when("the program is run with {arguments}")
def when_program(context: Any, arguments: str) -> None:
    context.result = subprocess.run(
        [sys.executable, "-m", "cinderstair", *arguments.split()],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@then('it exits with code {code:d} and one line that contains "{line}"')
def then_exits(context: Any, code: int, line: str) -> None:
    assert context.result.returncode == code, context.result
    lines = context.result.stderr.strip().splitlines()
    assert len(lines) == 1 and line in lines[0], lines
