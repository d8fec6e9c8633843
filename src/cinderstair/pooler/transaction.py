"""The state of one client transaction, from the client's BEGIN until it has ended at the backend."""

import asyncio

from expression import Result

from ..config.service_plan import DatabaseRoute
from ..runtime.errors import CinderstairError
from .link import Link
from .link_pool import LinkPool


class Transaction:
    """The client's BEGIN is answered at once; a background task then begins the transaction at a backend.

    `link` and `pool` are None until a backend has begun it, and after the link was released. `begin_requested`: a
    begin was sent to some backend. `used`: a client statement was sent in it. `wrote`: a statement that changes
    data succeeded. `last_used_us`: when the client's last statement ended.
    """

    __slots__ = (
        "route",
        "read_only",
        "arrived_us",
        "link",
        "pool",
        "begin_task",
        "begin_requested",
        "used",
        "wrote",
        "last_used_us",
    )

    def __init__(self, *, route: DatabaseRoute, read_only: bool, arrived_us: int) -> None:
        self.route = route
        self.read_only = read_only
        self.arrived_us = arrived_us
        self.link: Link | None = None
        self.pool: LinkPool | None = None
        self.begin_task: asyncio.Task[Result[Link, CinderstairError]] | None = None
        self.begin_requested = False
        self.used = False
        self.wrote = False
        self.last_used_us = arrived_us

    def release_link(self, *, keep: bool) -> None:
        """Returns the link to its pool.

        :param keep: False closes the link, which makes the backend roll back an open transaction.
        """
        link, pool = self.link, self.pool
        self.link = self.pool = None
        if link is not None and pool is not None:
            pool.release(link=link, keep=keep)

    def cancel_begin(self) -> None:
        """Cancels the begin task if it is still running."""
        if self.begin_task is not None and not self.begin_task.done():
            self.begin_task.cancel()
