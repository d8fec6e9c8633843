"""Faults switched into what is passed on between proxies."""

from typing import Any
from unittest.mock import patch

from expression import Error, Ok

from ...pooler import forward_server, link_limits
from ...pooler.forward_checks import refused
from ...pooler.forward_record import Outcome
from ...pooler.forward_server import ForwardServer
from ...runtime.errors import CinderstairError, ErrorCode

Patches = list[Any]


def forwards_unchecked() -> Patches:
    """A holder sends whatever comes, however old, and whoever leads."""

    def anyway(self: Any, *, request: Any) -> Any:
        pool = self.router.pools.get(request.backend)
        return Ok(pool) if pool is not None else Error(CinderstairError(code=ErrorCode.NO_BACKEND, reason="unknown"))

    return [patch.object(ForwardServer, "may_send", anyway)]


def forwards_promised() -> Patches:
    """A holder that does not know what became of a statement says that it was not sent."""
    single = ForwardServer._single_now

    async def promised(self: Any, *, request: Any) -> Any:
        result = await single(self, request=request)
        if result.outcome == Outcome.lost:
            return refused(fault=CinderstairError(code=ErrorCode.OVERLOADED, reason=""))
        return result

    return [patch.object(ForwardServer, "_single_now", promised)]


def forwards_any_values() -> Patches:
    """A holder's link is not brought up to the values of the session that it serves."""
    return [patch.object(forward_server, "replay_values", lambda *, link, values: None)]


def links_at_once() -> Patches:
    """What is dealt anew is taken at once, while others may still hold it."""
    return [patch.object(link_limits, "LIMIT_INCREASE_DELAY_US", 0)]
