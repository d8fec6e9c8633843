"""Helpers shared by the steps files."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from cinderstair.simulation.fleet import Fleet
from cinderstair.simulation.world import World


def new_world(*, context: Any, **options: Any) -> World:
    """Creates a simulated world, kept in `context.world` and closed after the scenario."""
    world = World(**options)
    context.worlds.append(world)
    context.world = world
    return world


def new_fleet(*, context: Any, **options: Any) -> Fleet:
    """Creates a fleet of real processes, kept in `context.fleet` and stopped after the scenario."""
    fleet = Fleet(**options)
    context.fleets.append(fleet)
    context.fleet = fleet
    return fleet


def run(*, context: Any, work: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on the scenario's real event loop, which is created at the first call."""
    if context.loop is None:
        context.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(context.loop)
    return context.loop.run_until_complete(work)
