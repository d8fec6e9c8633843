"""Many requests at the same time, in batches of a bounded size."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import TypeVar

Item = TypeVar("Item")
Outcome = TypeVar("Outcome")

# requests in flight at once: one after the other a thousand keys would take the sum of their round trips, and all at
# once they would fill every queue on the way
BATCH_SIZE = 64


def batches(*, items: Sequence[Item]) -> Iterator[Sequence[Item]]:
    """The items in their order, BATCH_SIZE at a time."""
    for first in range(0, len(items), BATCH_SIZE):
        yield items[first : first + BATCH_SIZE]


async def gather_pairs(
    *, items: Sequence[Item], call: Callable[[Item], Awaitable[Outcome]]
) -> list[tuple[Item, Outcome]]:
    """Calls with all items at the same time; each item with its outcome, in the order of the items."""
    outcomes = await asyncio.gather(*(call(item) for item in items))
    return list(zip(items, outcomes, strict=True))
