"""Queries backends for their positions in the replication log."""

import json
from dataclasses import dataclass

from expression import Error, Ok, Result

from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.http_request import HttpRequest
from ..runtime.http_response import HttpResponse
from .connection_pools import ConnectionPools

POSITION_QUERY_WAIT_US = 500_000


@dataclass(frozen=True, kw_only=True)
class BackendPosition:
    """The term that a backend reports, and the log positions it has received and applied."""

    term: int
    received: int
    applied: int
    is_primary: bool
    incarnation: int


async def query_position(
    *, connection_pools: ConnectionPools, name: str, at_least: int = 0, hold_us: int = 0, direct: bool = False
) -> Result[BackendPosition, CinderstairError]:
    """Queries one backend over a channel of its pool, with priority.

    :param at_least: the backend replies once it has received this position, or after `hold_us`.
    :param direct: also queries a backend outside of the subset, over a connection of its own, or an unhealthy one.
    :returns: the position; NO_BACKEND where the backend must not be queried; an error of the pool or connection.
    """
    pool = connection_pools.pool(name=name)
    if pool is None or not (direct or connection_pools.reachable(name=name)):
        return Error(CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"{name}: unknown or not reachable"))
    if direct and pool.limit == 0:
        return await query_position_directly(connection_pools=connection_pools, address=pool.address, name=name)
    taken = await pool.acquire(wait_us=POSITION_QUERY_WAIT_US, priority=True)
    if taken.is_error():
        return Error(taken.error)
    body = json.dumps({"atLeast": at_least, "holdUs": hold_us}).encode()
    result = await taken.ok.send_request(
        request=HttpRequest(method="POST", path="/position", body=body), wait_us=POSITION_QUERY_WAIT_US + hold_us
    )
    pool.release(connection=taken.ok, keep=result.is_ok())
    if result.is_error():
        pool.record_error()
        return Error(result.error)
    return parse_position(name=name, response=result.ok)


async def query_position_directly(
    *, connection_pools: ConnectionPools, address: str, name: str
) -> Result[BackendPosition, CinderstairError]:
    """Queries a backend over a connection that is opened for this query only."""
    dialled = await connection_pools.ctx.net.dial(address=address, wait_us=POSITION_QUERY_WAIT_US)
    if dialled.is_error():
        return Error(dialled.error)
    body = json.dumps({"atLeast": 0, "holdUs": 0}).encode()
    result = await dialled.ok.send_request(
        request=HttpRequest(method="POST", path="/position", body=body), wait_us=POSITION_QUERY_WAIT_US
    )
    dialled.ok.close()
    if result.is_error():
        return Error(result.error)
    return parse_position(name=name, response=result.ok)


def parse_position(*, name: str, response: HttpResponse) -> Result[BackendPosition, CinderstairError]:
    """Parses a reply; NO_RESPONSE where it is not a position."""
    try:
        value = response.json()
        position = BackendPosition(
            term=int(value["term"]),
            received=int(value["received"]),
            applied=int(value["applied"]),
            is_primary=bool(value["leads"]),
            incarnation=int(value["incarnation"]),
        )
    except (ValueError, KeyError, TypeError):
        return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason=f"{name}: its reply is not a position"))
    return Ok(position)
