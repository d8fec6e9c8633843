"""Interfaces through which failover controls backends, and the platform that promotes them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from expression import Result

from ..membership.announcement import Announcement
from ..runtime.errors import CinderstairError
from ..runtime.position import Position


@dataclass(frozen=True, kw_only=True)
class BackendState:
    """A backend's state as it reports it.

    :param is_primary: whether it is a primary.
    :param term: its term as primary, or the term of the primary that it replicates from.
    :param received: the end of its log.
    :param term_held: the highest term for which it was paused; it accepts nothing of a lower term. 0 for none.
    """

    is_primary: bool
    term: int
    received: Position
    term_held: int


class BackendControl(Protocol):
    """Requests to one backend. Each returns the backend's state after it has executed or refused the request.

    Errors: wireUnsent if the backend can't be reached, wireUnsure if it gives no answer within `wait_us`
    microseconds. An error's detail `ended` is 1 if the backend is known not to run: its port refuses connections, or
    another backend answers at its address.
    """

    async def state(self, *, backend: Announcement, wait_us: int) -> Result[BackendState, CinderstairError]:
        """Returns the state without changing it."""
        ...

    async def pause(
        self, *, backend: Announcement, term: int, wait_us: int
    ) -> Result[BackendState, CinderstairError]:
        """Stops a replica from accepting commits of terms lower than `term`, until it is resumed or promoted."""
        ...

    async def resume(self, *, backend: Announcement, wait_us: int) -> Result[BackendState, CinderstairError]:
        """Lets a paused replica accept commits again; idempotent."""
        ...

    async def step_down(
        self, *, backend: Announcement, term: int, wait_us: int
    ) -> Result[BackendState, CinderstairError]:
        """Demotes a primary of a term lower than `term` to a replica."""
        ...


class Promoter(Protocol):
    """The platform's interface for promoting backends."""

    async def promote(
        self, *, service: str, backend: str, fence_number: int, holds: Callable[[], bool]
    ) -> Result[None, CinderstairError]:
        """Promotes a backend to primary of its service.

        :param fence_number: the platform rejects numbers lower than the highest that it has seen, and thereby delayed
            calls of earlier lease holders.
        :param holds: whether the lease is still held; checked immediately before sending, so that a process that was
            suspended past the end of its lease sends nothing.
        :returns: noBackend if the backend is not running; after any other error the call may be retried.
        """
        ...
