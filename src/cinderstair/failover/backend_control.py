"""What the holder of a duty may ask of backends and of whoever promotes them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from expression import Result

from ..membership.announcement import Announcement
from ..runtime.errors import CinderstairError
from ..runtime.position import Position


@dataclass(frozen=True, kw_only=True)
class BackendState:
    """`term_held` is the highest term that the backend has promised to take nothing below."""

    leads: bool
    term: int
    received: Position
    term_held: int


class BackendControl(Protocol):
    """Errors: wireUnsent where the backend can't be reached at all, wireUnsure where it is reached and silent.

    A fault's detail `ended` is 1 where the backend is surely not there: its port refuses, or another answers there.
    """

    async def state(self, *, backend: Announcement, wait_us: int) -> Result[BackendState, CinderstairError]: ...

    async def pause(
        self, *, backend: Announcement, term: int, wait_us: int
    ) -> Result[BackendState, CinderstairError]:
        """Keeps a copy from receiving anything below this term."""
        ...

    async def resume(self, *, backend: Announcement, wait_us: int) -> Result[BackendState, CinderstairError]: ...

    async def step_down(
        self, *, backend: Announcement, term: int, wait_us: int
    ) -> Result[BackendState, CinderstairError]:
        """Turns a primary of a lower term into a copy."""
        ...


class Promoter(Protocol):
    async def promote(
        self, *, service: str, backend: str, fence_number: int, holds: Callable[[], bool]
    ) -> Result[None, CinderstairError]:
        """Has the backend lead. noBackend: it is not running; any other error may be tried again.

        `holds` is asked right before the call leaves: a holder that stood still meanwhile must not send it.
        """
        ...
