"""A virtual loop that runs what is ready and stops, so that somebody else says what happens next."""

import asyncio
import contextvars
from typing import Any

from ..virtual_loop import VirtualLoop


class SteppedLoop(VirtualLoop):
    """Its clock moves only when it is told to."""

    _ready: Any
    _scheduled: Any

    def _make_self_pipe(self) -> None:
        # why: nothing outside ever wakes it, and thousands of loops live at once, each with two sockets otherwise
        return

    def _close_self_pipe(self) -> None:
        return

    def now_us(self) -> int:
        return round(self.virtual * 1_000_000)

    def settle(self) -> None:
        """Runs all that is ready, and all that comes of it, at the moment that it is."""
        self.stop()
        self.run_forever()
        while self._ready:
            self.stop()
            self.run_forever()

    def next_due(self) -> float | None:
        """When the first timer is due, in the loop's seconds; None where there is none."""
        return min((handle.when() for handle in self._scheduled if not handle.cancelled()), default=None)

    def fire(self) -> None:
        """Moves the clock to the first timer and runs it."""
        due = self.next_due()
        if due is not None:
            self.virtual = max(self.virtual, due)
        self.settle()

    def let_pass(self, *, for_us: int) -> None:
        """Moves the clock on, running on the way what falls due."""
        until = self.virtual + for_us / 1_000_000
        while (due := self.next_due()) is not None and due <= until:
            self.fire()
        self.virtual = until
        self.settle()

    def discard(self) -> None:
        """Ends it without running anything more."""
        self.ended = True
        self.set_exception_handler(lambda loop, context: None)
        self._ready.clear()
        self._scheduled.clear()
        self.close()

    def _make_task(self, loop: Any, work: Any, context: Any = None) -> asyncio.Task[Any]:
        task = asyncio.Task(work, loop=loop, context=contextvars.copy_context() if context is None else context)
        # why: a process that is not needed any more is left where it stands, and that is no news
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        return task
