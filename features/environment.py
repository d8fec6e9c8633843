"""Behave hooks that close the worlds, fleets and event loop of a scenario after it."""

import asyncio
import sys
from pathlib import Path
from typing import Any

# the steps import the adapter, which is not part of the product's package
sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))


def before_scenario(context: Any, scenario: Any) -> None:
    context.worlds = []
    context.fleets = []
    context.loop = None


def after_scenario(context: Any, scenario: Any) -> None:
    for world in context.worlds:
        world.close()
    for fleet in context.fleets:
        context.loop.run_until_complete(fleet.end())
    if context.loop is not None:
        tasks = asyncio.all_tasks(context.loop)
        for task in tasks:
            task.cancel()
        context.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        context.loop.close()
        asyncio.set_event_loop(None)
