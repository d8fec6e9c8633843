"""Helpers to run a statement on a link, shared by sessions and the forward server."""

import asyncio

from ..runtime.context import Context
from .link import Link
from .link_pool import LinkPool
from .reply import Reply
from .router import Router
from .statement import PreparedStatement


async def await_reply(*, ctx: Context, future: asyncio.Future[Reply], until_us: int) -> Reply | None:
    """Waits for a reply without cancelling its future.

    :param until_us: the deadline, by this proxy's clock.
    :returns: None where no reply arrived in time.
    :raises ConnectionError: the link was lost, so the statement's outcome is unknown.
    """
    wait_us = max(0, until_us - ctx.now_us())
    done, _ = await asyncio.wait([future], timeout=wait_us / 1_000_000)
    return future.result() if done else None


def ensure_prepared(*, router: Router, link: Link, prepared: PreparedStatement) -> bytes:
    """Prepares a statement on the link unless that is done already.

    :returns: its name on the link.
    """
    alias = router.alias(prepared=prepared)
    if link.prepared.get(alias) != prepared:
        link.prepare(alias=alias, shape=prepared.shape, writes=prepared.writes)
    return alias


def is_primary_pool(*, router: Router, pool: LinkPool, service: str) -> bool:
    """Whether a current view confirms this pool's backend as the service's primary."""
    primary = router.confirmed_primary(service=service)
    return primary.is_ok() and primary.ok is pool


def record_reply(
    *, router: Router, pool: LinkPool, service: str, requested_us: int, was_primary: bool, reply: Reply
) -> None:
    """Records that the backend is alive, and its log position if it was the primary when the statement was sent.

    :param requested_us: the time, by this proxy's clock, just before the statement was sent.
    """
    if was_primary:
        router.record_reply(pool=pool, service=service, requested_us=requested_us, reply=reply)
    else:
        pool.record_answer()
