"""What a proxy may ask of one lasting connection to a backend."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from expression import Result

from ..membership.announcement import Announcement
from ..runtime.errors import CinderstairError
from ..runtime.position import Position
from .reply import Reply
from .statement import Statement


class Link(Protocol):
    """Statements are answered in the order in which they were sent; none is ever sent twice.

    A future that is set to an exception of ConnectionError means that the link is lost and the outcome unknown.
    """

    values: dict[bytes, bytes]
    prepared: dict[bytes, tuple[bytes, bool]]
    on_lost: Callable[[], None] | None

    @property
    def open(self) -> bool: ...

    @property
    def waiting(self) -> int:
        """How many statements are not yet answered."""
        ...

    @property
    def owed_us(self) -> int:
        """For how long the oldest of them has waited; 0 where none does."""
        ...

    def send(
        self, *, statement: Statement, at_least: Position | None = None, alias: bytes = b""
    ) -> asyncio.Future[Reply]:
        """Sends a client's statement; `at_least` is the position that a backend's log must have."""
        ...

    def set_value(self, *, name: bytes, value: bytes) -> None:
        """Sends a session value ahead of the next statement."""
        ...

    def clear(self) -> None:
        """Has the backend drop all values and prepared statements of this link."""
        ...

    def prepare(self, *, alias: bytes, shape: bytes, writes: bool) -> None: ...

    def begin(self, *, read_only: bool, at_least: Position | None) -> asyncio.Future[Reply]: ...

    def rollback(self) -> asyncio.Future[Reply]: ...

    def ask_position(self) -> asyncio.Future[Reply]: ...

    def close(self) -> None:
        """What is still owed an answer and has not arrived yet never will."""
        ...


class Dialer(Protocol):
    """Opens a link, and sees to it that it is this backend that answers, and no other at its address."""

    async def __call__(self, *, backend: Announcement, wait_us: int) -> Result[Link, CinderstairError]: ...
