"""Runs the whole system as separate processes on loopback."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from ..cli.container import Container
from ..cli.http_client import send_request
from ..runtime.context import Context
from . import checks
from .caller import Caller
from .event import Event
from .sent_statement import SentStatement
from .trial import Verdict

SITES = ("kingston", "mandeville", "montego")
CAP = 64
DROPPED = ("unanswered", "cutOff")


def free_ports(*, count: int) -> list[int]:
    """Returns distinct free ports; all are bound until all are found, so that none is returned twice."""
    held = [socket.socket() for _ in range(count)]
    try:
        for each in held:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in held]
    finally:
        for each in held:
            each.close()


class Fleet:
    """Owns the processes, their folder and ports, the clients and the recorded history.

    `disrupted` is set once a process was killed or frozen, which excuses requests without a response.
    """

    def __init__(self, *, http_proxies: int = 9, register_replicas: int = 5, databases: int = 3) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="cinderstair-fleet-"))
        self.http_proxy_names = [f"stall-{n}" for n in range(http_proxies)]
        self.register_replica_names = [f"vault-{n}" for n in range(register_replicas)]
        self.databases = {f"db{d}": [f"db{d}-{c}" for c in "abc"] for d in range(databases)}
        names = [*self.http_proxy_names, *self.register_replica_names, *self.backend_names(), "platform"]
        ports = free_ports(count=2 * len(names))
        self.ports = {name: (ports[2 * n], ports[2 * n + 1]) for n, name in enumerate(names)}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.history: list[Event] = []
        self.callers: list[Caller] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.disrupted = False

    def backend_names(self) -> list[str]:
        """Returns the backends of all databases."""
        return [name for names in self.databases.values() for name in names]

    def http(self, *, name: str) -> str:
        """Returns the HTTP address of a process."""
        return f"127.0.0.1:{self.ports[name][0]}"

    def records(self, *, name: str) -> str:
        """Returns the record address of a daemon."""
        return f"127.0.0.1:{self.ports[name][1]}"

    def site(self, *, name: str) -> str:
        """Returns the site of a machine, by the last letter of its name."""
        return SITES[ord(name[-1]) % len(SITES)]

    def settings_path(self, *, name: str) -> Path:
        """Returns the path of a daemon's settings file."""
        return self.folder / f"{name}.toml"

    def write_settings(self, *, name: str, **changes: Any) -> None:
        """Writes a daemon's settings file, with some values changed."""
        values: dict[str, Any] = {
            "name": name,
            "site": self.site(name=name),
            "records": self.records(name=name),
            "http": self.http(name=name),
            "seeds": [self.records(name=register_replica) for register_replica in self.register_replica_names[:3]],
            "founding_replicas": len(self.register_replica_names),
            "platform": self.http(name="platform"),
            **changes,
        }
        if name in self.register_replica_names:
            values["folder"] = str(self.folder / name)
        text = "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())
        self.settings_path(name=name).write_text(text)

    def command(self, *, name: str) -> list[str]:
        """Returns the command line that starts a process."""
        simulation = [sys.executable, "-m", "cinderstair.simulation"]
        if name == "platform":
            backends = {d: {n: self.http(name=n) for n in names} for d, names in self.databases.items()}
            return [*simulation, "platform", "--http", self.http(name=name), "--backends", json.dumps(backends)]
        if name in self.backend_names():
            return [
                *simulation,
                "backend",
                "--name",
                name,
                "--site",
                self.site(name=name),
                "--folder",
                str(self.folder / name),
                "--http",
                self.http(name=name),
                "--database",
                name.partition("-")[0],
                "--cap",
                str(CAP),
                "--http-proxies",
                ",".join(self.http(name=http_proxy) for http_proxy in self.http_proxy_names),
            ]
        role = "register-replica" if name in self.register_replica_names else "http-proxy"
        return [sys.executable, "-m", "cinderstair", role, "-s", str(self.settings_path(name=name))]

    def start(self, *, name: str) -> None:
        """Starts a process, which logs to a file in the folder."""
        if (
            name in (*self.http_proxy_names, *self.register_replica_names)
            and not self.settings_path(name=name).exists()
        ):
            self.write_settings(name=name)
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                self.command(name=name), stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def log_text(self, *, name: str) -> str:
        """Returns a process's output so far."""
        return (self.folder / f"{name}.log").read_text()

    def kill(self, *, name: str) -> None:
        """Kills a process and waits for its end."""
        self.disrupted = True
        self.processes[name].kill()
        self.processes[name].wait()

    def signal(self, *, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.disrupted = self.disrupted or number in (signal.SIGSTOP, signal.SIGKILL)
        os.kill(self.processes[name].pid, number)

    async def await_that(self, *, test: Callable[[], Any], within_us: int, what: str) -> int:
        """Polls until the test holds and returns the time taken in us; raises AssertionError after `within_us`.

        The limit only ends a hanging run; it isn't a measure of speed.
        """
        start_us = time.monotonic_ns() // 1000
        while True:
            result = test()
            if asyncio.iscoroutine(result):
                result = await result
            took_us = time.monotonic_ns() // 1000 - start_us
            if result:
                return took_us
            if took_us > within_us:
                raise AssertionError(f"not within {within_us} us: {what}")
            await asyncio.sleep(0.1)

    async def status(self, *, name: str) -> dict[str, Any]:
        """Returns the status document of an HTTP proxy, empty if it does not respond."""
        result = await send_request(address=self.http(name=name), method="GET", path="/status")
        return result.ok.json() if result.is_ok() else {}

    async def is_ready(self, *, name: str) -> bool:
        """Whether an HTTP proxy reports itself ready."""
        result = await send_request(address=self.http(name=name), method="GET", path="/ready")
        return result.is_ok() and result.ok.status == 200

    def running(self, *, name: str) -> bool:
        """Whether a process was started and has not ended."""
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    async def all_serve(self) -> bool:
        """Whether every running HTTP proxy is ready and has a settled, usable primary for each database."""
        for name in self.http_proxy_names:
            if not self.running(name=name):
                continue
            status = await self.status(name=name)
            primaries = status.get("leads", {})
            if not await self.is_ready(name=name) or len(primaries) < len(self.databases):
                return False
            for assignment in primaries.values():
                backend = status["backends"].get(assignment["primary"], {})
                needed = (assignment["primary"], *assignment["inSync"], *assignment["joining"])
                fit = backend.get("fit") and all(status["backends"][n]["channels"]["limit"] for n in needed)
                if assignment["state"] != "settled" or not assignment["inSync"] or not fit:
                    return False
        return True

    def configuration(self, *, version: int, old: tuple[str, ...] = (), **extra: Any) -> bytes:
        """Returns a configuration document; machines in `old` get the label hall=old, all others hall=new."""

        def labels_of(name: str) -> dict[str, str]:
            return {"hall": "old" if name in old else "new"}

        document = {
            "version": version,
            "databases": {
                database: {
                    "backends": [
                        {
                            "name": n,
                            "address": self.http(name=n),
                            "site": self.site(name=n),
                            "cap": CAP,
                            "labels": labels_of(n),
                        }
                        for n in names
                    ]
                }
                for database, names in self.databases.items()
            },
            "stalls": {name: labels_of(name) for name in self.http_proxy_names},
            **extra,
        }
        return json.dumps(document).encode()

    def operator_command(self, *words: str, at: str = "stall-0") -> subprocess.CompletedProcess[str]:
        """Runs an operator's command at an HTTP proxy; raises subprocess.TimeoutExpired after 60 s."""
        command = [sys.executable, "-m", "cinderstair", *words, "--at", self.http(name=at)]
        return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)

    async def submit(self, *, version: int, **extra: Any) -> subprocess.CompletedProcess[str]:
        """Writes a configuration file and submits it with the operator's command."""
        path = self.folder / f"configuration-{version}.json"
        path.write_bytes(self.configuration(version=version, **extra))
        return await asyncio.to_thread(self.operator_command, "submit", str(path))

    async def begin(self) -> None:
        """Starts all processes, submits the first configuration and waits until the system serves."""
        for name in self.ports:
            self.start(name=name)

        async def current() -> bool:
            results = [await self.status(name=name) for name in self.http_proxy_names]
            return all(result.get("viewCurrent") for result in results)

        await self.await_that(test=current, within_us=90_000_000, what="the views of all HTTP proxies are current")
        submitted = await self.submit(version=1)
        if submitted.returncode != 0:
            raise AssertionError(f"submit failed: {submitted.stderr}")
        await self.await_that(test=self.all_serve, within_us=90_000_000, what="every HTTP proxy serves")

    def _context(self, *, name: str) -> Context:
        container = Container()
        container.config.from_dict({"name": name, "site": "", "folder": "", "disk_kind": "none"})
        ctx = container.context()
        ctx.rng = random.Random(f"{name}")
        return ctx

    def callers_begin(self, *, count: int, think_us: int = 670_000) -> None:
        """Starts clients, each at the HTTP proxies of one site."""
        for number in range(count):
            ctx = self._context(name=f"caller-{number}")
            database = list(self.databases)[number % len(self.databases)]
            site = SITES[number % len(SITES)]
            near = [n for n in self.http_proxy_names if self.site(name=n) == site] or self.http_proxy_names
            caller = Caller(
                ctx=ctx,
                http_proxies=[self.http(name=name) for name in near],
                database=database,
                history=self.history,
                think_us=think_us,
            )
            self.callers.append(caller)
            self.tasks.append(asyncio.create_task(caller.run()))

    async def callers_end(self) -> None:
        """Stops all clients and waits until their last operations are over."""
        for caller in self.callers:
            caller.stopped = True
        await asyncio.gather(*self.tasks)

    async def dumps(self) -> dict[str, dict[str, Any]]:
        """Returns the state and the executed statements of each running backend."""
        dumps: dict[str, dict[str, Any]] = {}
        for name in self.backend_names():
            if self.running(name=name):
                result = await send_request(address=self.http(name=name), method="POST", path="/dump")
                dumps[name] = result.ok.json()
        return dumps

    async def verdict(self) -> Verdict:
        """Applies the checkers that don't depend on exact times to the whole history."""
        verdict = Verdict(requests=len(self.history))
        status = await self.status(name=next(n for n in self.http_proxy_names if self.running(name=n)))
        dumps = await self.dumps()
        for database in self.databases:
            final = dumps[status["leads"][database]["primary"]]["state"]
            events = [event for event in self.history if event.database == database]
            verdict.take(found=checks.check_writes(history=events, final=final))
            stale, ages, chances = checks.check_reads(history=events)
            verdict.take(found=(stale, chances))
            verdict.take(found=checks.check_session_values(history=events))
            for kind, age_us in ages.items():
                verdict.note(name=f"age of commits missed by {kind} reads", value_us=age_us)
        ran = Counter({SentStatement(*each): count for dump in dumps.values() for *each, count in dump["ran"]})
        sent: Counter[SentStatement] = Counter()
        for caller in self.callers:
            sent += caller.sent
        verdict.take(found=checks.check_statements(ran=ran, sent=sent))
        # On a shared machine the time of a rejection proves nothing; its retry time is still checked
        verdict.take(found=checks.check_rejections(history=self.history, slack_us=1 << 62))
        # Only a kill or a freeze excuses a request without a response; a planned stop doesn't
        if not self.disrupted:
            wrong = [
                f"{e.verb} of {e.caller} at {e.start_us} us was dropped by {e.http_proxy}"
                for e in self.history
                if e.outcome in DROPPED and e.end_us
            ]
            verdict.take(found=(wrong, Counter({"responses that had to arrive": len(self.history)})))
        return verdict

    async def post(self, *, name: str, path: str) -> None:
        """Sends a control request to a stand-in backend."""
        await send_request(address=self.http(name=name), method="POST", path=path, body=b"{}")

    async def work(
        self, *, callers: int, for_us: int, meanwhile: Callable[[], Awaitable[None]] | None = None
    ) -> dict[str, Any]:
        """Runs clients for a time, or during `meanwhile`, and returns the report with the violations found."""
        start_us = time.monotonic_ns() // 1000
        self.callers_begin(count=callers)
        await (asyncio.sleep(for_us / 1_000_000) if meanwhile is None else meanwhile())
        await self.callers_end()
        took_us = time.monotonic_ns() // 1000 - start_us
        verdict = await self.verdict()
        outcomes = Counter(f"{e.verb}.{e.outcome}{'.' + e.kind if e.kind else ''}" for e in self.history)
        spans = sorted(e.end_us - e.start_us for e in self.history if e.outcome == "done")
        return {
            "jobs": len(self.history),
            "jobsPerSecond": round(len(self.history) * 1_000_000 / took_us, 1),
            "outcomes": dict(sorted(outcomes.items())),
            "medianUs": spans[len(spans) // 2] if spans else 0,
            "p99Us": spans[len(spans) * 99 // 100] if spans else 0,
            "worst_us": verdict.worst_us,
            "chances": dict(verdict.chances),
            "wrong": verdict.wrong[:20],
        }

    async def end(self) -> None:
        """Kills all processes and removes the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                # A frozen process is resumed first
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
