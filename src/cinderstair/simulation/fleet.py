"""The fleet runner: the whole system as separate processes on loopback. Only it starts processes."""

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
from .sent import Sent
from .trial import Verdict

SITES = ("kingston", "mandeville", "montego")
CAP = 64
DROPPED = ("unanswered", "cutOff")


def free_ports(*, count: int) -> list[int]:
    """Ports that nobody listens on now; all are held open until all are found, so none comes twice."""
    held = [socket.socket() for _ in range(count)]
    try:
        for each in held:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in held]
    finally:
        for each in held:
            each.close()


class Fleet:
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
        self.struck = False

    def backend_names(self) -> list[str]:
        return [name for names in self.databases.values() for name in names]

    def http(self, *, name: str) -> str:
        return f"127.0.0.1:{self.ports[name][0]}"

    def records(self, *, name: str) -> str:
        return f"127.0.0.1:{self.ports[name][1]}"

    def site(self, *, name: str) -> str:
        return SITES[ord(name[-1]) % len(SITES)]

    def settings_path(self, *, name: str) -> Path:
        return self.folder / f"{name}.toml"

    def write_settings(self, *, name: str, **changes: Any) -> None:
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
        fair = [sys.executable, "-m", "cinderstair.simulation"]
        if name == "platform":
            backends = {d: {n: self.http(name=n) for n in names} for d, names in self.databases.items()}
            return [*fair, "platform", "--http", self.http(name=name), "--backends", json.dumps(backends)]
        if name in self.backend_names():
            return [
                *fair,
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
        return (self.folder / f"{name}.log").read_text()

    def kill(self, *, name: str) -> None:
        self.struck = True
        self.processes[name].kill()
        self.processes[name].wait()

    def signal(self, *, name: str, number: signal.Signals) -> None:
        self.struck = self.struck or number in (signal.SIGSTOP, signal.SIGKILL)
        os.kill(self.processes[name].pid, number)

    async def await_that(self, *, test: Callable[[], Any], within_us: int, what: str) -> int:
        """Asks again until the test holds; how long that took. The limit is generous, never a measure."""
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
        result = await send_request(address=self.http(name=name), method="GET", path="/status")
        return result.ok.json() if result.is_ok() else {}

    async def is_ready(self, *, name: str) -> bool:
        result = await send_request(address=self.http(name=name), method="GET", path="/ready")
        return result.is_ok() and result.ok.status == 200

    def running(self, *, name: str) -> bool:
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    async def all_serve(self) -> bool:
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

    def verb(self, *words: str, at: str = "stall-0") -> subprocess.CompletedProcess[str]:
        """An operator's command line."""
        command = [sys.executable, "-m", "cinderstair", *words, "--at", self.http(name=at)]
        return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)

    async def submit(self, *, version: int, **extra: Any) -> subprocess.CompletedProcess[str]:
        path = self.folder / f"configuration-{version}.json"
        path.write_bytes(self.configuration(version=version, **extra))
        return await asyncio.to_thread(self.verb, "submit", str(path))

    async def begin(self) -> None:
        for name in self.ports:
            self.start(name=name)

        async def current() -> bool:
            results = [await self.status(name=name) for name in self.http_proxy_names]
            return all(result.get("viewCurrent") for result in results)

        await self.await_that(test=current, within_us=90_000_000, what="views current")
        submitted = await self.submit(version=1)
        if submitted.returncode != 0:
            raise AssertionError(f"submit: {submitted.stderr}")
        await self.await_that(test=self.all_serve, within_us=90_000_000, what="every HTTP proxy serves")

    def _context(self, *, name: str) -> Context:
        market = Container()
        market.config.from_dict({"name": name, "site": "", "folder": "", "disk_kind": "none"})
        ctx = market.context()
        ctx.rng = random.Random(f"{name}")
        return ctx

    def callers_begin(self, *, count: int, think_us: int = 670_000) -> None:
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
        for caller in self.callers:
            caller.stopped = True
        await asyncio.gather(*self.tasks)

    async def dumps(self) -> dict[str, dict[str, Any]]:
        """What each running backend holds and has run."""
        dumps: dict[str, dict[str, Any]] = {}
        for name in self.backend_names():
            if self.running(name=name):
                result = await send_request(address=self.http(name=name), method="POST", path="/dump")
                dumps[name] = result.ok.json()
        return dumps

    async def verdict(self) -> Verdict:
        """Every checker that real time allows, over the whole history."""
        verdict = Verdict(requests=len(self.history))
        status = await self.status(name=next(n for n in self.http_proxy_names if self.running(name=n)))
        dumps = await self.dumps()
        for database in self.databases:
            final = dumps[status["leads"][database]["primary"]]["state"]
            events = [event for event in self.history if event.database == database]
            verdict.take(found=checks.kept(history=events, final=final))
            stale, ages, chances = checks.fresh(history=events)
            verdict.take(found=(stale, chances))
            verdict.take(found=checks.values(history=events))
            for kind, age_us in ages.items():
                verdict.note(name=f"missed by {kind}", value_us=age_us)
        ran = Counter({Sent(*each): count for dump in dumps.values() for *each, count in dump["ran"]})
        sent: Counter[Sent] = Counter()
        for caller in self.callers:
            sent += caller.sent
        verdict.take(found=checks.statements(ran=ran, sent=sent))
        # why: how long a denial took on a shared machine is no measure; that it says when to come back is
        verdict.take(found=checks.denials(history=self.history, slack_us=1 << 62))
        # why: a process that is told to stop, or moves, drops nothing; only a kill or a freeze excuses it
        if not self.struck:
            wrong = [f"{e.verb} of {e.caller} was dropped" for e in self.history if e.outcome in DROPPED and e.end_us]
            verdict.take(found=(wrong, Counter({"answers that had to come": len(self.history)})))
        return verdict

    async def say(self, *, name: str, path: str) -> None:
        """Tells a stand-in backend something that is not a job."""
        await send_request(address=self.http(name=name), method="POST", path=path, body=b"{}")

    async def work(
        self, *, callers: int, for_us: int, meanwhile: Callable[[], Awaitable[None]] | None = None
    ) -> dict[str, Any]:
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
        for process in self.processes.values():
            if process.poll() is None:
                # why: a frozen process can't hear that it should stop
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
