"""Runs a stand-in backend, a stand-in platform, a whole fleet of processes on loopback, or a soak of the platform."""

import argparse
import asyncio
import json
import logging
import signal
import sys

from ..cli.container import Container
from ..runtime.context import Context
from .fleet import Fleet
from .fleet_day import FleetDay
from .soak import soak_run
from .stand_in import StandIn
from .stand_in_platform import StandInPlatform


def context(*, name: str, site: str, folder: str) -> Context:
    """Returns the context of a real process; without a folder it has no disk."""
    container = Container()
    container.config.from_dict(
        {"name": name, "site": site, "folder": folder, "disk_kind": "real" if folder else "none"}
    )
    return container.context()


async def wait_for_sigterm() -> None:
    """Returns when the process receives SIGTERM."""
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


async def backend(*, options: argparse.Namespace) -> None:
    """Serves a stand-in backend until SIGTERM."""
    ctx = context(name=options.name, site=options.site, folder=options.folder)
    stand_in = StandIn(
        ctx=ctx,
        address=options.http,
        database=options.database,
        cap=options.cap,
        http_proxies=tuple(options.http_proxies.split(",")),
    )
    await stand_in.start()
    await wait_for_sigterm()


async def platform(*, options: argparse.Namespace) -> None:
    """Serves a stand-in platform until SIGTERM."""
    ctx = context(name="platform", site="", folder="")
    stand_in = StandInPlatform(ctx=ctx, address=options.http, backends=json.loads(options.backends))
    await stand_in.start()
    await wait_for_sigterm()


async def fleet(*, options: argparse.Namespace) -> int:
    """Starts a fleet, runs clients on it, prints the report as JSON; returns 1 if a checker found a violation."""
    world = Fleet(
        http_proxies=options.http_proxies, register_replicas=options.register_replicas, databases=options.databases
    )
    try:
        await world.begin()
        print(f"ready; operators may use --at {world.http(name='stall-0')}", flush=True)
        for_us = options.seconds * 1_000_000
        day = FleetDay(fleet=world, seed=options.seed)
        meanwhile = (lambda: day.run(for_us=for_us)) if options.failures else None
        report = await world.work(callers=options.callers, for_us=for_us, meanwhile=meanwhile)
        report["failures"] = dict(day.injected)
        print(json.dumps(report, indent=1))
        return 1 if report["wrong"] else 0
    finally:
        await world.end()


def main() -> int:
    """Parses the command line and runs one role; returns the exit code."""
    parser = argparse.ArgumentParser(prog="python -m cinderstair.simulation", description=__doc__)
    roles = parser.add_subparsers(dest="role", required=True)
    one = roles.add_parser("backend", help="a stand-in backend")
    for name in ("name", "site", "folder", "http", "database", "http-proxies"):
        one.add_argument(f"--{name}", required=True)
    one.add_argument("--cap", type=int, default=60)
    two = roles.add_parser("platform", help="a stand-in platform")
    two.add_argument("--http", required=True)
    two.add_argument("--backends", required=True)
    three = roles.add_parser("fleet", help="a fleet of processes with clients, whose history is checked")
    three.add_argument("--http-proxies", type=int, default=9)
    three.add_argument("--register-replicas", type=int, default=5)
    three.add_argument("--databases", type=int, default=3)
    three.add_argument("--callers", type=int, default=150)
    three.add_argument("--seconds", type=int, default=20)
    three.add_argument(
        "--failures", action="store_true", help="inject failures one after another while the clients run"
    )
    three.add_argument("--seed", type=int, default=1, help="seed of the injected failures")
    soak_parser = roles.add_parser("soak", help="the platform's programs as real processes under random faults")
    soak_run.add_options(parser=soak_parser)
    options = parser.parse_args()
    logging.basicConfig(level="WARNING", stream=sys.stderr)
    if options.role == "soak":
        return soak_run.run(options=options)
    if options.role == "fleet":
        return asyncio.run(fleet(options=options))
    asyncio.run((backend if options.role == "backend" else platform)(options=options))
    return 0


if __name__ == "__main__":
    sys.exit(main())
