"""Asks backends how far they are."""

import json
from dataclasses import dataclass

from expression import Error, Ok, Result

from ..runtime.fault import Fault
from ..runtime.httpjob import HttpJob
from ..runtime.httpresponse import HttpResponse
from ..runtime.kind import Kind
from .yard import Yard

GAUGE_WAIT_US = 500_000


@dataclass(frozen=True, kw_only=True)
class Reading:
    """A backend's own word on its term and how far it has received and applied the log."""

    term: int
    received: int
    applied: int
    leads: bool
    incarnation: int


async def read_gauge(
    *, yard: Yard, name: str, at_least: int = 0, hold_us: int = 0, direct: bool = False
) -> Result[Reading, Fault]:
    """One question to one backend, over its pool's spare channel; the backend may hold it for a while.

    The steward asks `direct`: also where its own stall's share has no channels, or the news call it unfit.
    """
    pool = yard.pool(name=name)
    if pool is None or not (direct or yard.reachable(name=name)):
        return Error(Fault(kind=Kind.noBackend, why=f"{name}: not to be asked"))
    if direct and pool.limit == 0:
        return await read_direct(yard=yard, address=pool.address, name=name)
    taken = await pool.take(wait_us=GAUGE_WAIT_US, gauge=True)
    if taken.is_error():
        return Error(taken.error)
    body = json.dumps({"atLeast": at_least, "holdUs": hold_us}).encode()
    result = await taken.ok.pass_job(
        job=HttpJob(method="POST", path="/position", body=body), wait_us=GAUGE_WAIT_US + hold_us
    )
    pool.give(channel=taken.ok, keep=result.is_ok())
    if result.is_error():
        pool.blame()
        return Error(result.error)
    return read_answer(name=name, response=result.ok)


async def read_direct(*, yard: Yard, address: str, name: str) -> Result[Reading, Fault]:
    """The same question over a channel opened for it alone."""
    dialled = await yard.ctx.net.dial(address=address, wait_us=GAUGE_WAIT_US)
    if dialled.is_error():
        return Error(dialled.error)
    body = json.dumps({"atLeast": 0, "holdUs": 0}).encode()
    result = await dialled.ok.pass_job(job=HttpJob(method="POST", path="/position", body=body), wait_us=GAUGE_WAIT_US)
    dialled.ok.close()
    if result.is_error():
        return Error(result.error)
    return read_answer(name=name, response=result.ok)


def read_answer(*, name: str, response: HttpResponse) -> Result[Reading, Fault]:
    try:
        value = response.json()
        reading = Reading(
            term=int(value["term"]),
            received=int(value["received"]),
            applied=int(value["applied"]),
            leads=bool(value["leads"]),
            incarnation=int(value["incarnation"]),
        )
    except (ValueError, KeyError, TypeError):
        return Error(Fault(kind=Kind.wireUnsure, why=f"{name}: no position in its answer"))
    return Ok(reading)
