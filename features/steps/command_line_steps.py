"""Steps that compare the commands' arguments, requests, output and exit codes, and the settings, with recorded data.

Commands run within the test process, against fakes of an HTTP proxy and of a controller.
"""

import asyncio
import contextlib
import io
import os
import re
import sys
import tempfile
import threading
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from typing import Any
from unittest.mock import patch

from behave import then
from frozen_data import check_same, check_same_list, load

from cinderstair.__main__ import main
from cinderstair.failover.shard_progress import ShardProgress
from cinderstair.failover.shard_state import ShardPhase, ShardState, Vote
from cinderstair.runtime.counters import Counters
from cinderstair.runtime.errors import ErrorCode
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.record_transport import RecordTransport
from cinderstair.runtime.settings import Settings, read_settings, settings_needing_restart
from cinderstair.simulation.fleet import free_ports

REPOSITORY = Path(__file__).resolve().parents[2]
LISTED_COMMAND = re.compile(r"^  (\S[\w -]*?)  +\S", re.MULTILINE)
OPTION = re.compile(r"^  +((?:-[\w|]+, )?--[\w-]+(?:=\w+)?)(?: .*?(\[default: .*\]))?.*$", re.MULTILINE)
USAGE = re.compile(r"^Usage:\n  (.*)$", re.MULTILINE)
ARGUMENTS = re.compile(r"^Arguments:\n((?:  .*\n)+)", re.MULTILINE)


class CommandResult:
    """A command's exit code, standard output and standard error."""

    def __init__(self, *, code: int, out: str, err: str) -> None:
        self.code = code
        self.out = out
        self.err = err


def run_command(*, words: list[str]) -> CommandResult:
    """Runs the program with these arguments within the test process."""
    out, err = io.TextIOWrapper(io.BytesIO()), io.StringIO()
    code = 0
    with (
        patch.object(sys, "argv", ["cinderstair", *words]),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            main()
        except SystemExit as end:
            code = int(end.code or 0)
    out.seek(0)
    return CommandResult(code=code, out=out.read(), err=err.getvalue())


# -- names, arguments and options --


def command_names() -> list[str]:
    """Returns the commands that the program lists, sorted."""
    listed = run_command(words=["list"]).out.partition("Available commands:")[2]
    return sorted(LISTED_COMMAND.findall(listed))


def command_form(*, name: str) -> dict[str, Any]:
    """Parses a command's help into usage line, arguments and options with defaults; leaves out descriptions."""
    text = run_command(words=[*name.split(), "--help"]).out
    arguments = ARGUMENTS.search(text)
    names = [] if arguments is None else [line.split()[0] for line in arguments[1].splitlines()]
    usage = USAGE.search(text)
    return {
        "usage": "" if usage is None else usage[1],
        "arguments": names,
        "options": [" ".join(found).strip() for found in OPTION.findall(text)],
    }


@then("the program lists the recorded commands")
def then_names(context: Any) -> None:
    check_same_list(recorded=sorted(load(name="command_line/commands")), found=command_names())


@then("each recorded command takes the recorded arguments and options")
def then_forms(context: Any) -> None:
    recorded = load(name="command_line/commands")
    check_same(recorded=recorded, found={name: command_form(name=name) for name in recorded})


# -- exit codes --

LEADING_ERROR_KIND = re.compile(r"^(\w+): ")


def error_kind(*, text: str) -> str | None:
    """Returns the error kind with which a message on standard error begins, or None; the rest is not recorded."""
    match = LEADING_ERROR_KIND.match(text)
    return match[1] if match is not None and match[1] in {kind.value for kind in ErrorCode} else None


@contextlib.contextmanager
def input_files() -> Iterator[dict[str, str]]:
    """Creates the input files of commands; yields their paths by the placeholders of the recorded command lines."""
    with tempfile.TemporaryDirectory() as folder:
        texts = {"BROKEN": '{"version": 1}', "NOJSON": "{", "EMPTY": "", "MAP": '{"version": 1, "places": {}}'}
        texts["BADSETTINGS"] = 'name = "a"\n'
        texts["NOTTOML"] = "name = "
        paths = {word: str(Path(folder, word.lower())) for word in texts}
        for word, text in texts.items():
            Path(paths[word]).write_text(text)
        examples = REPOSITORY / "examples"
        paths["CONFIGURATION"] = str(examples / "configuration.json")
        paths["SCENARIO"] = str(examples / "scenario.json")
        paths["MISSING"] = str(Path(folder, "missing"))
        yield paths


def local_command_result(*, line: str) -> dict[str, Any]:
    """Runs a command that sends no request; returns its exit code, standard output and whether it wrote an error."""
    with input_files() as paths:
        result = run_command(words=[paths.get(word, word) for word in line.split()])
    return {"code": result.code, "out": result.out, "complains": bool(result.err)}


@then("the recorded command lines have the recorded exit codes and output")
def then_ended(context: Any) -> None:
    recorded = load(name="command_line/runs")
    check_same(recorded=recorded, found={line: local_command_result(line=line) for line in recorded})


# -- commands that send a request to an HTTP proxy --


@contextlib.contextmanager
def fake_proxy(*, status: int, body: str, requests: list[str]) -> Iterator[str]:
    """Serves the same HTTP response to all requests and appends them to `requests`; yields the address."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def _serve(self) -> None:
            sent = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            requests.append(f"{self.command} {self.path} {sent.decode()}")
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body.encode())

        do_GET = do_PUT = do_POST = _serve

        def log_message(self, format: str, *args: Any) -> None:
            return None

    server = HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01}, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_address[1]}"
    finally:
        server.shutdown()
        server.server_close()
        thread.join()


def proxy_command_result(*, line: str, status: int, body: str) -> dict[str, Any]:
    """Runs a command against a fake HTTP proxy; returns its requests, exit code, output and error kind."""
    requests: list[str] = []
    with input_files() as paths, fake_proxy(status=status, body=body, requests=requests) as address:
        words = [paths.get(word, word) for word in line.split()]
        result = run_command(words=[*words, "--at", address])
    return {"asked": requests, "code": result.code, "out": result.out, "error": error_kind(text=result.err)}


@then("the recorded commands to a proxy send the recorded requests and have the recorded results")
def then_operated(context: Any) -> None:
    recorded = load(name="command_line/operators")
    found = [proxy_command_result(line=each["line"], status=each["status"], body=each["body"]) for each in recorded]
    check_same_list(recorded=[each["result"] for each in recorded], found=found)


# -- commands that send a record to a controller --


@contextlib.contextmanager
def fake_controller(*, answer: bytes, requests: list[str]) -> Iterator[str]:
    """Answers all records with the same bytes and appends them to `requests` in hexadecimal; yields the address."""
    port = free_ports(count=1)[0]
    loop = asyncio.new_event_loop()
    transport = RecordTransport(counters=Counters())

    async def reply(body: bytes) -> bytes:
        requests.append(body.hex())
        return answer

    loop.run_until_complete(transport.listen(address=f"127.0.0.1:{port}", handler=reply))
    # a command blocks in an event loop of its own, so the fake runs in another thread
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        asyncio.run_coroutine_threadsafe(transport.close(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


def controller_command_result(*, line: str, answer: str) -> dict[str, Any]:
    """Runs a command against a fake controller; returns its first record, exit code, output and error kind.

    Records are in hexadecimal.
    """
    requests: list[str] = []
    with input_files() as paths, fake_controller(answer=bytes.fromhex(answer), requests=requests) as address:
        words = [paths.get(word, word) for word in line.split()]
        result = run_command(words=[*words, "--at", address])
    return {"asked": requests[:1], "code": result.code, "out": result.out, "error": error_kind(text=result.err)}


def encode_answer(*, kind: str, message: str, progress: tuple[int, int, int, str] | None = None) -> str:
    """Encodes a controller's answer in hexadecimal: an error kind or an empty text, a message, a map's progress."""
    packer = Packer().text(value=kind).text(value=message)
    if progress is not None:
        phase, proposal, version_in_force, reason = progress
        packer.u8(value=phase).u64(value=proposal).u64(value=version_in_force).text(value=reason)
    return packer.bytes().hex()


@then("the recorded commands to a controller send the recorded records and have the recorded results")
def then_controlled(context: Any) -> None:
    recorded = load(name="command_line/control")
    found = [controller_command_result(line=each["line"], answer=each["answer"]) for each in recorded]
    check_same_list(recorded=[each["result"] for each in recorded], found=found)


def progress_summaries(*, phases: list[int]) -> dict[str, str]:
    """Returns the printed summaries of a shard map's progress, by the number of its phase."""
    votes = {Vote(number): number + 1 for number in range(4)}
    found = {}
    for number in phases:
        state = ShardState(phase=ShardPhase(number))
        found[str(number)] = ShardProgress(state=state, participants=9, silent=2, votes=votes).summary()
    return found


@then("the progress of a shard map is printed as recorded")
def then_progress(context: Any) -> None:
    recorded = load(name="command_line/shard_progress")
    check_same(recorded=recorded, found=progress_summaries(phases=[int(number) for number in recorded]))


# -- settings --

FIELDS: dict[str, Callable[[Settings], Any]] = {
    "name": lambda settings: settings.name,
    "site": lambda settings: settings.site,
    "records": lambda settings: settings.records,
    "http": lambda settings: settings.http,
    "folder": lambda settings: settings.folder,
    "seeds": lambda settings: list(settings.seeds),
    "foundingVaults": lambda settings: settings.founding_replicas,
    "platform": lambda settings: settings.platform,
    "traces": lambda settings: settings.traces,
    "logLevel": lambda settings: settings.log_level,
    "drainWaitUs": lambda settings: settings.drain_wait_us,
    "queueMost": lambda settings: settings.queue_limit,
    "idleTransactionUs": lambda settings: settings.idle_transaction_us,
    "idleSessionUs": lambda settings: settings.idle_session_us,
    "mostVaults": lambda settings: settings.max_voters,
    "mayFound": lambda settings: settings.may_found,
    "catchUpUs": lambda settings: settings.catch_up_us,
    "leaveWithinUs": lambda settings: settings.leave_within_us,
    "probeEveryUs": lambda settings: settings.probe_every_us,
    "underWayUs": lambda settings: settings.in_flight_us,
}


def settings_of(*, text: str) -> Any:
    """Reads the text of a settings file from a temporary file; returns the result and the file's path."""
    handle, path = tempfile.mkstemp(suffix=".toml")
    try:
        os.write(handle, text.encode())
        return read_settings(path=path, flags={}), path
    finally:
        os.close(handle)
        os.unlink(path)


def settings_form(*, text: str) -> dict[str, Any] | str:
    """Returns all settings by their keys in the file, or the error if the file is refused."""
    read, path = settings_of(text=text)
    if read.is_error():
        return f"{read.error.code.value}: {read.error.reason.replace(path, 'FILE')}"
    return {key: value(read.ok) for key, value in FIELDS.items()}


@then("the recorded settings files of the program are read as recorded")
def then_settings(context: Any) -> None:
    recorded = load(name="command_line/settings_files")
    check_same(recorded=recorded, found={text: settings_form(text=text) for text in recorded})


def needs_restart(*, old: str, changes: list[str]) -> dict[str, bool]:
    """Returns for each changed line whether the change needs a restart."""
    before = settings_of(text=old)[0].ok
    found = {}
    for line in changes:
        key = line.split(" = ")[0]
        kept = [each for each in old.splitlines() if not each.startswith(f"{key} = ")]
        after = settings_of(text="\n".join([*kept, line]))[0].ok
        found[line] = bool(settings_needing_restart(old=before, new=after))
    return found


@then("the recorded changes of settings need a restart as recorded")
def then_restarts(context: Any) -> None:
    recorded = load(name="command_line/live_settings")
    found = needs_restart(old=recorded["file"], changes=list(recorded["restarts"]))
    check_same(recorded=recorded["restarts"], found=found)
