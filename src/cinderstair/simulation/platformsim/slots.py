"""A backend's concurrency limit."""

from collections import deque
from collections.abc import Callable

from ..virtual_loop import VirtualLoop

MAX_WAITING = 24


class WorkSlots:
    """Runs up to `count` statements at once; MAX_WAITING more wait, and the rest are refused as busy.

    `incarnation` rises when the backend ends, so that callbacks of work begun before it do nothing.
    """

    def __init__(self, *, loop: VirtualLoop, count: int) -> None:
        self.loop = loop
        self.count = count
        self.busy = 0
        self.waiting: deque[tuple[float, Callable[[], None]]] = deque()
        self.incarnation = 0

    def submit(self, *, cost_s: float, then: Callable[[], None]) -> bool:
        """False if the queue is full; otherwise `then` is called once a slot was held for `cost_s`."""
        if self.busy < self.count:
            self._run(cost_s=cost_s, then=then)
            return True
        if len(self.waiting) >= MAX_WAITING:
            return False
        self.waiting.append((cost_s, then))
        return True

    def _run(self, *, cost_s: float, then: Callable[[], None]) -> None:
        self.busy += 1
        incarnation = self.incarnation

        def done() -> None:
            if incarnation != self.incarnation:
                return
            self.busy -= 1
            if self.waiting:
                next_s, next_then = self.waiting.popleft()
                self._run(cost_s=next_s, then=next_then)
            then()

        self.loop.call_later(cost_s, done)

    def clear(self) -> None:
        """Drops all work when the backend ends."""
        self.incarnation += 1
        self.busy = 0
        self.waiting.clear()
