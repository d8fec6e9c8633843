"""Waiting for a majority of requests to succeed."""

import asyncio


async def count_until_majority(*, requests: set[asyncio.Task[bool]], majority: int) -> int:
    """Waits until `majority` requests have succeeded or all have ended; pending requests keep running.

    :returns: how many requests have succeeded by then.
    """
    succeeded, pending = 0, requests
    while pending and succeeded < majority:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        succeeded += sum(task.result() for task in done)
    return succeeded
