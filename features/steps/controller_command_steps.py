"""Steps for the commands that send requests to a controller, on real loopback sockets."""

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


def encode_response(*, description: str) -> bytes:
    """Encodes the response that a feature describes."""
    if description.startswith("text "):
        return Packer().text(value="").text(value=description.removeprefix("text ").strip('"')).bytes()
    if description.startswith("progress "):
        phase, current_version, reason = description.removeprefix("progress ").split(", ")
        packer = Packer().text(value="").text(value=f"{phase}: so it is")
        return (
            packer.u8(value=ShardPhase[phase])
            .u64(value=2)
            .u64(value=int(current_version))
            .text(value=reason.strip('"'))
            .bytes()
        )
    if description.startswith("kind "):
        return Packer().text(value=description.removeprefix("kind ")).text(value="so it is").bytes()
    return b"\x00\x01"


@given("a controller that responds with {description}")
def given_controller(context: Any, description: str) -> None:
    port = free_ports(count=1)[0]
    loop = asyncio.new_event_loop()
    transport = RecordTransport(counters=Counters())

    async def handle(body: bytes) -> bytes:
        return encode_response(description=description)

    loop.run_until_complete(transport.listen(address=f"127.0.0.1:{port}", handler=handle))
    # The command blocks this thread with an event loop of its own, so the controller runs in another thread.
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()

    def stop() -> None:
        asyncio.run_coroutine_threadsafe(transport.close(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()

    context.add_cleanup(stop)
    context.address = f"127.0.0.1:{port}"


@when('an operator runs "{line}" at {address}')
def when_runs_at(context: Any, line: str, address: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "map.json")
        path.write_text('{"version": 1, "places": {}}')
        paths = {"MAP": str(path), "MISSING": str(Path(folder, "missing.json"))}
        argv = [paths.get(word, word) for word in line.split()] + ["--at", address]
        app = Application("cinderstair", "0")
        for command in COMMANDS:
            app.add(command())
        app.auto_exits(False)
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            context.code = app.run(input=ArgvInput(["cinderstair", *argv]))
        context.output = output.getvalue()


@when('an operator runs "{line}"')
def when_runs(context: Any, line: str) -> None:
    when_runs_at(context=context, line=line, address=context.address)


@then('it ends with {code:d} and says "{words}"')
def then_ends(context: Any, code: int, words: str) -> None:
    assert context.code == code and words in context.output, (context.code, context.output)
