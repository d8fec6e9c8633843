"""Steps for the commands that ask a controller, on real sockets of loopback."""

import asyncio
import contextlib
import io
import tempfile
import threading
from pathlib import Path
from typing import Any

from behave import given, then, when
from cleo.application import Application
from cleo.io.inputs.argv_input import ArgvInput

from cinderstair.cli.controller_command import ControllerCommand
from cinderstair.cli.shard_commands import (
    ShardsAbandonCommand,
    ShardsBeginCommand,
    ShardsCommand,
    ShardsPlanCommand,
)
from cinderstair.cli.shards_watch_command import ShardsWatchCommand
from cinderstair.failover.shard_state import ShardPhase
from cinderstair.runtime.counters import Counters
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.record_transport import RecordTransport
from cinderstair.simulation.fleet import free_ports

COMMANDS = (
    ShardsCommand,
    ControllerCommand,
    ShardsPlanCommand,
    ShardsBeginCommand,
    ShardsWatchCommand,
    ShardsAbandonCommand,
)


def answer_of(*, words: str) -> bytes:
    """The record of an answer that a feature describes."""
    if words.startswith("text "):
        return Packer().text(value="").text(value=words.removeprefix("text ").strip('"')).bytes()
    if words.startswith("progress "):
        phase, stands, reason = words.removeprefix("progress ").split(", ")
        packer = Packer().text(value="").text(value=f"{phase}: so it is")
        return (
            packer.u8(value=ShardPhase[phase])
            .u64(value=2)
            .u64(value=int(stands))
            .text(value=reason.strip('"'))
            .bytes()
        )
    if words.startswith("kind "):
        return Packer().text(value=words.removeprefix("kind ")).text(value="so it is").bytes()
    return b"\x00\x01"


@given("a controller's address that answers {words}")
def given_controller(context: Any, words: str) -> None:
    port = free_ports(count=1)[0]
    loop = asyncio.new_event_loop()
    transport = RecordTransport(counters=Counters())

    async def answer(body: bytes) -> bytes:
        return answer_of(words=words)

    loop.run_until_complete(transport.listen(address=f"127.0.0.1:{port}", handler=answer))
    # The command runs a loop of its own and waits in it, so its controller needs another thread.
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()

    def stop() -> None:
        asyncio.run_coroutine_threadsafe(transport.close(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()

    context.add_cleanup(stop)
    context.address = f"127.0.0.1:{port}"


@when('an operator runs "{words}" at {address}')
def when_runs_at(context: Any, words: str, address: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "map.json")
        path.write_text('{"version": 1, "places": {}}')
        given = {"MAP": str(path), "MISSING": str(Path(folder, "missing.json"))}
        argv = [given.get(word, word) for word in words.split()] + ["--at", address]
        app = Application("cinderstair", "0")
        for command in COMMANDS:
            app.add(command())
        app.auto_exits(False)
        said = io.StringIO()
        with contextlib.redirect_stdout(said), contextlib.redirect_stderr(said):
            context.code = app.run(input=ArgvInput(["cinderstair", *argv]))
        context.said = said.getvalue()


@when('an operator runs "{words}"')
def when_runs(context: Any, words: str) -> None:
    when_runs_at(context=context, words=words, address=context.address)


@then('it ends with {code:d} and says "{words}"')
def then_ends(context: Any, code: int, words: str) -> None:
    assert context.code == code and words in context.said, (context.code, context.said)
