"""Rehearses a scenario: the real daemons, with the operator's names, on virtual clock and network."""

import json
from typing import Any

from ..almanac.scenario import Scenario
from ..almanac.windowstates import Stage
from ..charter.charter import Charter
from . import checks
from .world import World

WARM_US = 4_000_000
RUN_US = 20_000_000
WORK = ("append", "transaction")


def rehearse(*, charter: Charter, scenario: Scenario) -> dict[str, Any]:
    """Opens the scenario's windows, loses what it loses, and says what a client would have seen."""
    world = World(
        seed=scenario.seed,
        stallNames=[*scenario.stalls, *scenario.joins],
        databaseNames={name: list(names) for name, names in charter.databases.items()},
        sites={name: backend.site for name, backend in charter.backends.items()},
    )
    try:
        for name in scenario.joins:
            world.late.add(name)
        world.begin(raw=document(world=world, charter=charter, scenario=scenario, version=1, opened=False))
        world.callersBegin(count=3 * len(charter.databases), thinkUs=150_000)
        world.advance(forUs=WARM_US)
        startUs = world.nowUs
        body = document(world=world, charter=charter, scenario=scenario, version=2, opened=True)
        world.ask(name=scenario.stalls[0], method="PUT", path="/v1/configuration", body=body)
        for name in scenario.joins:
            world.start(name=name)
        for name in scenario.lost:
            world.kill(name=name)
        emptyUs = 0
        while world.nowUs - startUs < RUN_US:
            world.advance(forUs=100_000)
            if not emptyUs and world.nowUs - startUs > 1_000_000 and emptied(world=world):
                emptyUs = world.nowUs - startUs
        endUs = world.nowUs
        held = sorted({text for n in world.ups() for text in world.stall(name=n).status.held().values()})
        lost = sum(caller.sessionsLost for caller in world.callers)
        world.callersEnd()
        return {
            "seed": scenario.seed,
            "windowsOpen": bool(scenario.windows),
            "emptyAfterUs": emptyUs if scenario.windows else None,
            "withoutACommitUs": checks.gapUs(history=world.history, fromUs=startUs, untilUs=endUs, verbs=WORK),
            "jobs": len(world.history),
            "done": sum(event.outcome == "done" for event in world.history),
            "sessionsLost": lost,
            "heldBack": held,
        }
    finally:
        world.close()


def document(*, world: World, charter: Charter, scenario: Scenario, version: int, opened: bool) -> bytes:
    """The operator's own configuration, at the rehearsal's addresses and times."""
    value = json.loads(charter.raw)
    value["version"] = version
    for database in value["databases"].values():
        for backend in database["backends"]:
            backend["address"] = world.http(name=backend["name"])
    windows = [w for w in value.get("windows", []) if opened and w["name"] in scenario.windows]
    for each in windows:
        each["starts"], each["ends"] = world.calendar(inUs=500_000), world.calendar(inUs=3_600_000_000)
    value["windows"] = windows
    return json.dumps(value).encode()


def emptied(*, world: World) -> bool:
    """Whether nothing that an open window selects is led from, waited for, or holds a session."""
    for name in world.ups():
        stall = world.stall(name=name)
        stages = [stage for *_, stage in stall.view.windowStates.stages]
        if Stage.open not in stages:
            return False
        if name in stall.view.leaving.stalls and stall.sessions.open:
            return False
        for lead in stall.view.leads.values():
            if any(each in stall.view.leaving.backends for each in (lead.primary, *lead.confirmers)):
                return False
    return True
