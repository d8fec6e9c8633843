"""Small tools that several files of steps share."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from cinderstair.simulation.fleet import Fleet
from cinderstair.simulation.world import World


def new_world(*, context: Any, **options: Any) -> World:
    """A simulated world that is cleared away after the scenario."""
    world = World(**options)
    context.worlds.append(world)
    context.world = world
    return world


def new_fleet(*, context: Any, **options: Any) -> Fleet:
    """A fleet of real processes that is ended after the scenario."""
    fleet = Fleet(**options)
    context.fleets.append(fleet)
    context.fleet = fleet
    return fleet


def run(*, context: Any, work: Coroutine[Any, Any, Any]) -> Any:
    """Runs work on the scenario's own loop."""
    if context.loop is None:
        context.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(context.loop)
    return context.loop.run_until_complete(work)
