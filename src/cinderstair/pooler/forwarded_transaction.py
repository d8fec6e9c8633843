"""A transaction that runs on this proxy's link for another proxy."""

from typing import NamedTuple

from .forward_record import ForwardRequest
from .link import Link
from .link_pool import LinkPool


class TransactionKey(NamedTuple):
    """The requesting proxy's name and its number of the transaction."""

    requester: str
    connection: int


class ForwardedTransaction:
    """The state of a forwarded transaction. `link` and `pool` are None until a link is borrowed and after `close`.

    `busy`: a statement is running. `last_used_us`: when the last statement ended or the last keep-alive arrived.
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
        """Returns the link to its pool.

        :param keep: False closes the link, so that the backend rolls back the open transaction.
        """
        self.closed = True
        link, pool = self.link, self.pool
        self.link = self.pool = None
        if link is not None and pool is not None:
            pool.release(link=link, keep=keep)
