"""Steps that run the program's commands and compare what they take, send and print with what was recorded."""

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
LISTED = re.compile(r"^  (\S[\w -]*?)  +\S", re.MULTILINE)
OPTION = re.compile(r"^  +((?:-[\w|]+, )?--[\w-]+(?:=\w+)?)(?: .*?(\[default: .*\]))?.*$", re.MULTILINE)
USAGE = re.compile(r"^Usage:\n  (.*)$", re.MULTILINE)
ARGUMENTS = re.compile(r"^Arguments:\n((?:  .*\n)+)", re.MULTILINE)


class Ran:
    """How a command ended and what it printed."""

    def __init__(self, *, code: int, out: str, err: str) -> None:
        self.code = code
        self.out = out
        self.err = err


def run_command(*, words: list[str]) -> Ran:
    """Runs the program within this process."""
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
    return Ran(code=code, out=out.read(), err=err.getvalue())


# -- names, arguments and options --


def command_names() -> list[str]:
    """Every command that the program lists."""
    listed = run_command(words=["list"]).out.partition("Available commands:")[2]
    return sorted(LISTED.findall(listed))


def command_form(*, name: str) -> dict[str, Any]:
    """A command's usage line, arguments and options, without the prose of its help."""
    text = run_command(words=[*name.split(), "--help"]).out
    arguments = ARGUMENTS.search(text)
    names = [] if arguments is None else [line.split()[0] for line in arguments[1].splitlines()]
    usage = USAGE.search(text)
    return {
        "usage": "" if usage is None else usage[1],
        "arguments": names,
        "options": [" ".join(found).strip() for found in OPTION.findall(text)],
    }


@then("the frozen commands are listed")
def then_names(context: Any) -> None:
    check_same_list(recorded=sorted(load(name="command_line/commands")), found=command_names())


@then("each frozen command takes the recorded arguments and options")
def then_forms(context: Any) -> None:
    recorded = load(name="command_line/commands")
    check_same(recorded=recorded, found={name: command_form(name=name) for name in recorded})


# -- exit codes --

KIND_AHEAD = re.compile(r"^(\w+): ")


def error_kind(*, text: str) -> str | None:
    """The error kind that a message on standard error begins with; its prose is not recorded."""
    ahead = KIND_AHEAD.match(text)
    return ahead[1] if ahead is not None and ahead[1] in {kind.value for kind in ErrorCode} else None


@contextlib.contextmanager
def files() -> Iterator[dict[str, str]]:
    """Files for commands to read, by the word that stands for each."""
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


def run_result(*, line: str) -> dict[str, Any]:
    """A command's exit code, its standard output, and whether it said anything on standard error."""
    with files() as paths:
        ran = run_command(words=[paths.get(word, word) for word in line.split()])
    return {"code": ran.code, "out": ran.out, "complains": bool(ran.err)}


@then("the frozen command lines end and print as recorded")
def then_ended(context: Any) -> None:
    recorded = load(name="command_line/runs")
    check_same(recorded=recorded, found={line: run_result(line=line) for line in recorded})


# -- commands that ask a front daemon --


@contextlib.contextmanager
def front_daemon(*, status: int, body: str, requested: list[str]) -> Iterator[str]:
    """An address whose HTTP server notes each request and gives one answer."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def _serve(self) -> None:
            sent = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            requested.append(f"{self.command} {self.path} {sent.decode()}")
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


def operator_result(*, line: str, status: int, body: str) -> dict[str, Any]:
    """What a command asks a front daemon, and how it ends after the answer."""
    requested: list[str] = []
    with files() as paths, front_daemon(status=status, body=body, requested=requested) as address:
        words = [paths.get(word, word) for word in line.split()]
        ran = run_command(words=[*words, "--at", address])
    return {"asked": requested, "code": ran.code, "out": ran.out, "error": error_kind(text=ran.err)}


@then("the frozen commands ask a front daemon and end as recorded")
def then_operated(context: Any) -> None:
    recorded = load(name="command_line/operators")
    found = [operator_result(line=each["line"], status=each["status"], body=each["body"]) for each in recorded]
    check_same_list(recorded=[each["result"] for each in recorded], found=found)


# -- commands that ask a control daemon by records --


@contextlib.contextmanager
def control_daemon(*, answer: bytes, requested: list[str]) -> Iterator[str]:
    """An address that notes each record and gives one answer."""
    port = free_ports(count=1)[0]
    loop = asyncio.new_event_loop()
    wire = RecordTransport(counters=Counters())

    async def reply(body: bytes) -> bytes:
        requested.append(body.hex())
        return answer

    loop.run_until_complete(wire.listen(address=f"127.0.0.1:{port}", handler=reply))
    # why: a command runs a loop of its own and waits in it, so who answers needs another thread
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        asyncio.run_coroutine_threadsafe(wire.close(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


def control_result(*, line: str, answer: str) -> dict[str, Any]:
    """What a command asks a control daemon, and how it ends after the answer; records are in hexadecimal."""
    requested: list[str] = []
    with files() as paths, control_daemon(answer=bytes.fromhex(answer), requested=requested) as address:
        words = [paths.get(word, word) for word in line.split()]
        ran = run_command(words=[*words, "--at", address])
    return {"asked": requested[:1], "code": ran.code, "out": ran.out, "error": error_kind(text=ran.err)}


def answer_record(*, kind: str, words: str, progress: tuple[int, int, int, str] | None = None) -> str:
    """A control daemon's answer in hexadecimal: an error kind or none, words, and a map's progress."""
    packer = Packer().text(value=kind).text(value=words)
    if progress is not None:
        phase, proposal, stands, reason = progress
        packer.u8(value=phase).u64(value=proposal).u64(value=stands).text(value=reason)
    return packer.bytes().hex()


@then("the frozen commands ask a control daemon and end as recorded")
def then_controlled(context: Any) -> None:
    recorded = load(name="command_line/control")
    found = [control_result(line=each["line"], answer=each["answer"]) for each in recorded]
    check_same_list(recorded=[each["result"] for each in recorded], found=found)


def progress_words(*, phases: list[int]) -> dict[str, str]:
    """What an operator reads of a map's change, by the number of its phase."""
    votes = {Vote(number): number + 1 for number in range(4)}
    found = {}
    for number in phases:
        state = ShardState(phase=ShardPhase(number))
        found[str(number)] = ShardProgress(state=state, participants=9, silent=2, votes=votes).summary()
    return found


@then("the frozen words on a shard map's change are printed")
def then_progress(context: Any) -> None:
    recorded = load(name="command_line/shard_progress")
    check_same(recorded=recorded, found=progress_words(phases=[int(number) for number in recorded]))


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
    """A settings file's text as the program reads it, and the file's path."""
    handle, path = tempfile.mkstemp(suffix=".toml")
    try:
        os.write(handle, text.encode())
        return read_settings(path=path, flags={}), path
    finally:
        os.close(handle)
        os.unlink(path)


def settings_form(*, text: str) -> dict[str, Any] | str:
    """Every setting by the file's own key, or why the file is refused."""
    read, path = settings_of(text=text)
    if read.is_error():
        return f"{read.error.code.value}: {read.error.reason.replace(path, 'FILE')}"
    return {key: value(read.ok) for key, value in FIELDS.items()}


@then("the frozen settings files of the program are read alike")
def then_settings(context: Any) -> None:
    recorded = load(name="command_line/settings_files")
    check_same(recorded=recorded, found={text: settings_form(text=text) for text in recorded})


def restarts(*, old: str, changes: list[str]) -> dict[str, bool]:
    """For each changed line, whether the change needs a restart."""
    before = settings_of(text=old)[0].ok
    found = {}
    for line in changes:
        key = line.split(" = ")[0]
        kept = [each for each in old.splitlines() if not each.startswith(f"{key} = ")]
        after = settings_of(text="\n".join([*kept, line]))[0].ok
        found[line] = bool(settings_needing_restart(old=before, new=after))
    return found


@then("the frozen changes of settings need a restart or none, as recorded")
def then_restarts(context: Any) -> None:
    recorded = load(name="command_line/live_settings")
    found = restarts(old=recorded["file"], changes=list(recorded["restarts"]))
    check_same(recorded=recorded["restarts"], found=found)
