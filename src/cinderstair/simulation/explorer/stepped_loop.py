"""A virtual event loop that is run step by step from outside."""

import asyncio
import contextvars
from typing import Any

from ..virtual_loop import VirtualLoop


class SteppedLoop(VirtualLoop):
    """Runs ready callbacks on request; its clock advances only by `fire` and `advance`."""

    _ready: Any
    _scheduled: Any

    def _make_self_pipe(self) -> None:
        # No other thread wakes the loop, and the two sockets of each of thousands of loops would be wasted.
        return

    def _close_self_pipe(self) -> None:
        return

    def now_us(self) -> int:
        """The virtual time in microseconds."""
        return round(self.virtual * 1_000_000)

    def settle(self) -> None:
        """Runs callbacks until none is ready, without advancing the clock."""
        self.stop()
        self.run_forever()
        while self._ready:
            self.stop()
            self.run_forever()

    def next_due(self) -> float | None:
        """The time of the first timer, in seconds of the loop; None if there is none."""
        return min((handle.when() for handle in self._scheduled if not handle.cancelled()), default=None)

    def fire(self) -> None:
        """Advances the clock to the first timer and runs it."""
        due = self.next_due()
        if due is not None:
            self.virtual = max(self.virtual, due)
        self.settle()

    def advance(self, *, for_us: int) -> None:
        """Advances the clock, running the timers that expire on the way."""
        until = self.virtual + for_us / 1_000_000
        while (due := self.next_due()) is not None and due <= until:
            self.fire()
        self.virtual = until
        self.settle()

    def discard(self) -> None:
        """Closes the loop without running pending callbacks."""
        self.ended = True
        self.set_exception_handler(lambda loop, context: None)
        self._ready.clear()
        self._scheduled.clear()
        self.close()

    def _make_task(self, loop: Any, work: Any, context: Any = None) -> asyncio.Task[Any]:
        task = asyncio.Task(work, loop=loop, context=contextvars.copy_context() if context is None else context)
        # Discarded processes leave unfinished tasks behind; asyncio should not warn about them.
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        return task
