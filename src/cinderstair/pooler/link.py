"""The interfaces of a link, which is a persistent connection of the proxy to a backend, and of its dialer."""

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
    """A connection to a backend, used by one session at a time.

    Statements are answered in the order in which they were sent, and each is sent at most once. A future that fails
    with ConnectionError means that the link was lost and the statement's outcome is unknown.

    `values`: the session values that the backend keeps for this link. `prepared`: its prepared statements by name.
    `on_lost`: called once when the link ends other than by `close`; None: no callback.
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
        """The number of statements without a reply."""
        ...

    @property
    def oldest_wait_us(self) -> int:
        """How long the oldest statement without a reply has waited, in microseconds; 0 where there is none."""
        ...

    def send(
        self, *, statement: Statement, at_least: Position | None = None, alias: bytes = b""
    ) -> asyncio.Future[Reply]:
        """Sends a client's statement.

        :param at_least: the log position that the backend must have reached before it runs the statement; None: any.
        :param alias: for an execution, the name under which the statement is prepared on this link.
        """
        ...

    def set_value(self, *, name: bytes, value: bytes) -> None:
        """Sets a session value at the backend, ahead of the next statement."""
        ...

    def clear(self) -> None:
        """Drops all session values and prepared statements that the backend keeps for this link."""
        ...

    def prepare(self, *, alias: bytes, shape: bytes, writes: bool) -> None:
        """Prepares a statement under a name of this link, ahead of the next statement."""
        ...

    def begin(self, *, read_only: bool, at_least: Position | None) -> asyncio.Future[Reply]:
        """Begins a transaction; `at_least` as for `send`."""
        ...

    def rollback(self) -> asyncio.Future[Reply]:
        """Rolls the open transaction back."""
        ...

    def ask_position(self) -> asyncio.Future[Reply]:
        """Requests the backend's log position."""
        ...

    def close(self) -> None:
        """Closes the connection. The backend rolls back an open transaction; pending replies never arrive."""
        ...


class Dialer(Protocol):
    """Opens a link and verifies the identity of the backend that answers at the address.

    Errors: OVERLOADED where the backend has reached its connection limit; any other code where it can't be reached.
    """

    async def __call__(self, *, backend: Announcement, wait_us: int) -> Result[Link, CinderstairError]:
        """Opens a link to a backend; an error if that takes longer than `wait_us`."""
        ...
