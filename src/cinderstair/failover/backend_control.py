"""What failover may ask of backends, and of the platform that promotes them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from expression import Result

from ..membership.announcement import Announcement
from ..runtime.errors import CinderstairError
from ..runtime.position import Position


@dataclass(frozen=True, kw_only=True)
class BackendState:
    """A backend's own account of itself.

    :param is_primary: whether it is a primary.
    :param term: the term in which it leads, or whose primary it follows.
    :param received: the end of its log.
    :param term_held: the highest term for which it was paused: it receives nothing of any lower one. 0 for none.
    """

    is_primary: bool
    term: int
    received: Position
    term_held: int


class BackendControl(Protocol):
    """The requests to one backend. Each returns its state after the request was carried out or refused.

    Errors: wireUnsent where the backend can't be reached at all, wireUnsure where it is reached and gives no answer
    within `wait_us` microseconds. An error's detail `ended` is 1 where the backend surely does not run: its port
    refuses connections, or another backend answers there.
    """

    async def state(self, *, backend: Announcement, wait_us: int) -> Result[BackendState, CinderstairError]:
        """Changes nothing."""
        ...

    async def pause(
        self, *, backend: Announcement, term: int, wait_us: int
    ) -> Result[BackendState, CinderstairError]:
        """Keeps a replica from receiving anything of a lower term than this, until it is resumed or promoted."""
        ...

    async def resume(self, *, backend: Announcement, wait_us: int) -> Result[BackendState, CinderstairError]:
        """Has a paused replica receive again; safe to repeat."""
        ...

    async def step_down(
        self, *, backend: Announcement, term: int, wait_us: int
    ) -> Result[BackendState, CinderstairError]:
        """Turns a primary of a lower term than this into a replica."""
        ...


class Promoter(Protocol):
    """The platform, which has backends become primaries."""

    async def promote(
        self, *, service: str, backend: str, fence_number: int, holds: Callable[[], bool]
    ) -> Result[None, CinderstairError]:
        """Has a backend become the primary of its service.

        :param fence_number: the platform refuses a lower number than it has seen, and so calls of earlier holders.
        :param holds: asked right before the call leaves: a holder that stood still meanwhile must not send it.
        :returns: noBackend where the backend does not run; after any other error the call may be repeated.
        """
        ...
