"""Concurrent requests in batches of bounded size."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import TypeVar

Item = TypeVar("Item")
Outcome = TypeVar("Outcome")

# bounds the requests in flight: sent one by one, a thousand keys would take a thousand round trips, and sent all at
# once they would fill the queues along the path
BATCH_SIZE = 64


def batches(*, items: Sequence[Item]) -> Iterator[Sequence[Item]]:
    """Splits the items, in order, into slices of at most BATCH_SIZE."""
    for first in range(0, len(items), BATCH_SIZE):
        yield items[first : first + BATCH_SIZE]


async def gather_pairs(
    *, items: Sequence[Item], call: Callable[[Item], Awaitable[Outcome]]
) -> list[tuple[Item, Outcome]]:
    """Runs `call` concurrently for all items and returns (item, outcome) pairs in the order of the items."""
    outcomes = await asyncio.gather(*(call(item) for item in items))
    return list(zip(items, outcomes, strict=True))
