"""Seeded bugs in the forwarding of statements between proxies."""

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
    """A link holder executes every forwarded statement, however old, and whichever backend is primary."""

    def unchecked(self: Any, *, request: Any) -> Any:
        pool = self.router.pools.get(request.backend)
        return Ok(pool) if pool is not None else Error(CinderstairError(code=ErrorCode.NO_BACKEND, reason="unknown"))

    return [patch.object(ForwardServer, "may_send", unchecked)]


def lost_forwards_reported_unsent() -> Patches:
    """A link holder reports a statement with an unknown outcome as not sent."""
    single = ForwardServer._single_now

    async def reported_unsent(self: Any, *, request: Any) -> Any:
        result = await single(self, request=request)
        if result.outcome == Outcome.lost:
            return refused(fault=CinderstairError(code=ErrorCode.OVERLOADED, reason=""))
        return result

    return [patch.object(ForwardServer, "_single_now", reported_unsent)]


def forward_values_not_replayed() -> Patches:
    """A link holder serves forwarded statements without setting the session's values on its link."""
    return [patch.object(forward_server, "replay_values", lambda *, link, values: None)]


def link_limits_raised_at_once() -> Patches:
    """A raised link limit is used at once, while other proxies may still hold those links."""
    return [patch.object(link_limits, "LIMIT_INCREASE_DELAY_US", 0)]
