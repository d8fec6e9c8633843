"""Rehearses an operator's scenario with the real daemons on a virtual clock and network."""

import json
from typing import Any

from ..config.configuration import Configuration
from ..maintenance.scenario import Scenario
from ..maintenance.window_states import Stage
from . import checks
from .world import World

WARM_UP_US = 4_000_000
RUN_US = 20_000_000
WRITE_VERBS = ("append", "transaction")


def run_dry(*, configuration: Configuration, scenario: Scenario) -> dict[str, Any]:
    """Opens the scenario's windows, kills the machines that it loses, and reports the effect on clients."""
    world = World(
        seed=scenario.seed,
        http_proxy_names=[*scenario.http_proxies, *scenario.joins],
        database_names={name: list(names) for name, names in configuration.databases.items()},
        sites={name: backend.site for name, backend in configuration.backends.items()},
    )
    try:
        for name in scenario.joins:
            world.deferred.add(name)
        world.begin(
            raw=rehearsed(world=world, configuration=configuration, scenario=scenario, version=1, windows_open=False)
        )
        world.callers_begin(count=3 * len(configuration.databases), think_us=150_000)
        world.advance(for_us=WARM_UP_US)
        start_us = world.now_us
        body = rehearsed(world=world, configuration=configuration, scenario=scenario, version=2, windows_open=True)
        world.ask(name=scenario.http_proxies[0], method="PUT", path="/v1/configuration", body=body)
        for name in scenario.joins:
            world.start(name=name)
        for name in scenario.lost:
            world.kill(name=name)
        empty_us = 0
        while world.now_us - start_us < RUN_US:
            world.advance(for_us=100_000)
            if not empty_us and world.now_us - start_us > 1_000_000 and drained(world=world):
                empty_us = world.now_us - start_us
        end_us = world.now_us
        held = sorted(
            {
                text
                for n in world.http_proxies_up()
                for text in world.http_proxy(name=n).status.hold_reasons().values()
            }
        )
        lost = sum(caller.sessions_lost for caller in world.callers)
        world.callers_end()
        return {
            "seed": scenario.seed,
            "windowsOpen": bool(scenario.windows),
            "emptyAfterUs": empty_us if scenario.windows else None,
            "withoutACommitUs": checks.gap_us(
                history=world.history, from_us=start_us, until_us=end_us, verbs=WRITE_VERBS
            ),
            "jobs": len(world.history),
            "done": sum(event.outcome == "done" for event in world.history),
            "sessionsLost": lost,
            "heldBack": held,
        }
    finally:
        world.close()


def rehearsed(
    *, world: World, configuration: Configuration, scenario: Scenario, version: int, windows_open: bool
) -> bytes:
    """Returns the operator's configuration with the addresses and window times of the simulation."""
    value = json.loads(configuration.raw)
    value["version"] = version
    for database in value["databases"].values():
        for backend in database["backends"]:
            backend["address"] = world.http(name=backend["name"])
    windows = [w for w in value.get("windows", []) if windows_open and w["name"] in scenario.windows]
    for each in windows:
        each["starts"], each["ends"] = world.calendar(in_us=500_000), world.calendar(in_us=3_600_000_000)
    value["windows"] = windows
    return json.dumps(value).encode()


def drained(*, world: World) -> bool:
    """Whether no machine that an open window selects is a primary, confirms commits or has sessions."""
    for name in world.http_proxies_up():
        http_proxy = world.http_proxy(name=name)
        stages = [state.stage for state in http_proxy.view.window_states.states]
        if Stage.open not in stages:
            return False
        if name in http_proxy.view.leaving.http_proxies and http_proxy.sessions.open:
            return False
        for assignment in http_proxy.view.primaries.values():
            if any(each in http_proxy.view.leaving.backends for each in (assignment.primary, *assignment.confirmers)):
                return False
    return True
