"""Another proxy's transaction on a link of this proxy."""

from typing import NamedTuple

from .forward_record import ForwardRequest
from .link import Link
from .link_pool import LinkPool


class TransactionKey(NamedTuple):
    """The proxy that asked, and its number for the transaction."""

    requester: str
    connection: int


class ForwardedTransaction:
    """Has no link and no pool while it is being begun, and after it was closed.

    `busy`: a statement of it is running. `last_used_us`: when its asker last said anything of it.
    """

    __slots__ = (
        "service",
        "database",
        "read_only",
        "opened_us",
        "last_used_us",
        "link",
        "pool",
        "busy",
        "closed",
    )

    def __init__(self, *, request: ForwardRequest, now_us: int) -> None:
        self.service = request.service
        self.database = request.database
        self.read_only = request.read_only
        self.opened_us = self.last_used_us = now_us
        self.link: Link | None = None
        self.pool: LinkPool | None = None
        self.busy = True
        self.closed = False

    def close(self, *, keep: bool) -> None:
        """Gives the link back.

        :param keep: False closes the link instead, which makes the backend roll back what is open on it.
        """
        self.closed = True
        link, pool = self.link, self.pool
        self.link = self.pool = None
        if link is not None and pool is not None:
            pool.release(link=link, keep=keep)
