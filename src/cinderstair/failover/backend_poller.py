"""Sends requests to several backends of a service concurrently."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from expression import Result

from ..membership.announcement import Announcement
from ..runtime.context import Context
from ..runtime.errors import CinderstairError
from .backend_control import BackendControl, BackendState

# Timeout for a backend's state, in microseconds; a slower backend is treated as unresponsive.
PROBE_WAIT_US = 400_000

StateRequest = Coroutine[Any, Any, Result[BackendState, CinderstairError]]
EnoughAnswers = Callable[[dict[str, BackendState]], bool]


def _wait_for_all(answers: dict[str, BackendState]) -> bool:
    return False


class BackendPoller:
    """Gathers the states of backends.

    Invariant: an unresponsive backend does not delay a decision for which the answers of the others suffice.
    """

    def __init__(self, *, ctx: Context, control: BackendControl) -> None:
        self.ctx = ctx
        self.control = control

    async def gather(self, *, requests: dict[str, StateRequest], enough: EnoughAnswers) -> dict[str, BackendState]:
        """Runs requests, keyed by backend name, until the answers are `enough` or all have arrived.

        :returns: the successful answers so far; pending requests continue, and their results are discarded.
        """
        pending = {self.ctx.spawn(work=request, name=name) for name, request in requests.items()}
        answers: dict[str, BackendState] = {}
        while pending and not enough(answers):
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            answers |= {task.get_name(): task.result().ok for task in done if task.result().is_ok()}
        return answers

    async def states(
        self, *, members: list[Announcement], enough: EnoughAnswers = _wait_for_all
    ) -> dict[str, BackendState]:
        """The states of these backends by name; backends that do not answer are omitted."""
        requests = {member.name: self.control.state(backend=member, wait_us=PROBE_WAIT_US) for member in members}
        return await self.gather(requests=requests, enough=enough)
