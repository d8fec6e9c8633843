"""The interface of a link: one lasting connection of the pooler to a backend, and what opens it."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from expression import Result

from ..membership.announcement import Announcement
from ..runtime.errors import CinderstairError
from ..runtime.position import Position
from .reply import Reply
from .statement import PreparedStatement, Statement


class Link(Protocol):
    """A connection of the pooler to a backend, lent to one session at a time.

    Statements are answered in the order in which they were sent; none is ever sent twice. A future that is set to a
    ConnectionError means that the link is lost and the outcome unknown.

    `values`: the session values that the backend keeps for this link. `prepared`: its prepared statements by name.
    `on_lost`: called once when the link ends otherwise than by `close`; None while nobody wants to know.
    """

    values: dict[bytes, bytes]
    prepared: dict[bytes, PreparedStatement]
    on_lost: Callable[[], None] | None

    @property
    def open(self) -> bool:
        """Whether statements can be sent."""
        ...

    @property
    def waiting(self) -> int:
        """How many statements are not yet answered."""
        ...

    @property
    def oldest_wait_us(self) -> int:
        """For how long the oldest of them has waited, in microseconds; 0 where none does."""
        ...

    def send(
        self, *, statement: Statement, at_least: Position | None = None, alias: bytes = b""
    ) -> asyncio.Future[Reply]:
        """Sends a client's statement.

        :param at_least: the position that the backend's log must have reached; None where any will do.
        :param alias: the name under which an executed statement is prepared on this link.
        """
        ...

    def set_value(self, *, name: bytes, value: bytes) -> None:
        """Sends a session value ahead of the next statement."""
        ...

    def clear(self) -> None:
        """Has the backend drop all values and prepared statements of this link."""
        ...

    def prepare(self, *, alias: bytes, shape: bytes, writes: bool) -> None:
        """Prepares a statement ahead of the next one."""
        ...

    def begin(self, *, read_only: bool, at_least: Position | None) -> asyncio.Future[Reply]:
        """Begins a transaction; `at_least` as for `send`."""
        ...

    def rollback(self) -> asyncio.Future[Reply]:
        """Rolls the open transaction back."""
        ...

    def ask_position(self) -> asyncio.Future[Reply]:
        """Asks for the position of the backend's log."""
        ...

    def close(self) -> None:
        """Closes the connection; the backend rolls back what is open on it, and unanswered statements stay so."""
        ...


class Dialer(Protocol):
    """Opens a link, and verifies that it is this backend that answers and no other at its address.

    Errors: OVERLOADED where the backend takes no more links; any other where it can't be reached.
    """

    async def __call__(self, *, backend: Announcement, wait_us: int) -> Result[Link, CinderstairError]:
        """Opens a link to a backend; an error where none is open within `wait_us`."""
        ...
