"""A backend's room for work."""

from collections import deque
from collections.abc import Callable

from ..virtual_loop import VirtualLoop

MOST_WAITING = 24


class Slots:
    """So many at a time; some more wait their turn, and the rest are told that it is busy."""

    def __init__(self, *, loop: VirtualLoop, count: int) -> None:
        self.loop = loop
        self.count = count
        self.busy = 0
        self.waiting: deque[tuple[float, Callable[[], None]]] = deque()
        self.life = 0

    def take(self, *, cost_s: float, then: Callable[[], None]) -> bool:
        """False where there is no room; otherwise `then` is called once a slot was held for that long."""
        if self.busy < self.count:
            self._hold(cost_s=cost_s, then=then)
            return True
        if len(self.waiting) >= MOST_WAITING:
            return False
        self.waiting.append((cost_s, then))
        return True

    def _hold(self, *, cost_s: float, then: Callable[[], None]) -> None:
        self.busy += 1
        life = self.life

        def done() -> None:
            if life != self.life:
                return
            self.busy -= 1
            if self.waiting:
                next_s, next_then = self.waiting.popleft()
                self._hold(cost_s=next_s, then=next_then)
            then()

        self.loop.call_later(cost_s, done)

    def clear(self) -> None:
        """The backend has ended, and with it all that it was doing."""
        self.life += 1
        self.busy = 0
        self.waiting.clear()
