"""A stub of the control interface of backends, for the holder of the promotion lease."""

from collections.abc import Callable

from expression import Ok, Result

from ...failover.backend_control import BackendState
from ...failover.service_primary import ServicePrimary
from ...membership.announcement import Announcement
from ...runtime.errors import CinderstairError
from ...runtime.position import Position


class StubControl:
    """Reports the assigned primary as primary; without an assignment, the backend whose heartbeats say so."""

    def __init__(self, *, assignment: Callable[[str], ServicePrimary | None]) -> None:
        self.assignment = assignment

    def _state(self, *, backend: Announcement, term: int = 0) -> Result[BackendState, CinderstairError]:
        assignment = self.assignment(backend.service)
        is_primary = backend.is_primary if assignment is None else assignment.primary == backend.name
        own = 1 if assignment is None else assignment.term
        return Ok(BackendState(is_primary=is_primary, term=own, received=Position(own, 1), term_held=max(own, term)))

    async def state(self, *, backend: Announcement, wait_us: int) -> Result[BackendState, CinderstairError]:
        return self._state(backend=backend)

    async def pause(
        self, *, backend: Announcement, term: int, wait_us: int
    ) -> Result[BackendState, CinderstairError]:
        return self._state(backend=backend, term=term)

    async def resume(self, *, backend: Announcement, wait_us: int) -> Result[BackendState, CinderstairError]:
        return self._state(backend=backend)

    async def step_down(
        self, *, backend: Announcement, term: int, wait_us: int
    ) -> Result[BackendState, CinderstairError]:
        return self._state(backend=backend, term=term)

    async def promote(
        self, *, service: str, backend: str, fence_number: int, holds: Callable[[], bool]
    ) -> Result[None, CinderstairError]:
        return Ok(None)
