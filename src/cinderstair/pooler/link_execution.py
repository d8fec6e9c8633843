"""Steps of running a statement on a link that a session and the forward server have in common."""

import asyncio

from ..runtime.context import Context
from .link import Link
from .link_pool import LinkPool
from .reply import Reply
from .router import Router
from .statement import PreparedStatement


async def await_reply(*, ctx: Context, future: asyncio.Future[Reply], until_us: int) -> Reply | None:
    """Waits for a link's answer.

    :param until_us: the moment, by this proxy's clock, at which the wait ends.
    :returns: None where no answer came in time.
    :raises ConnectionError: the link was lost, so the outcome is unknown.
    """
    wait_us = max(0, until_us - ctx.now_us())
    done, _ = await asyncio.wait([future], timeout=wait_us / 1_000_000)
    return future.result() if done else None


def ensure_prepared(*, router: Router, link: Link, prepared: PreparedStatement) -> bytes:
    """Prepares a statement on the link, unless it is prepared there already.

    :returns: the name under which the link knows it.
    """
    alias = router.alias(prepared=prepared)
    if link.prepared.get(alias) != prepared:
        link.prepare(alias=alias, shape=prepared.shape, writes=prepared.writes)
    return alias


def is_primary_pool(*, router: Router, pool: LinkPool, service: str) -> bool:
    """Whether the view says, as of now, that this pool's backend is the service's primary."""
    primary = router.confirmed_primary(service=service)
    return primary.is_ok() and primary.ok is pool


def record_reply(
    *, router: Router, pool: LinkPool, service: str, requested_us: int, was_primary: bool, reply: Reply
) -> None:
    """Notes that the backend answered, and its log position where it was the primary when it was asked.

    :param requested_us: the moment, by this proxy's clock, just before the statement was sent.
    """
    if was_primary:
        router.record_reply(pool=pool, service=service, requested_us=requested_us, reply=reply)
    else:
        pool.record_answer()
