"""An asyncio loop on virtual time, on which simulated processes can be frozen and killed."""

import asyncio
import contextvars
import selectors
from collections.abc import Callable
from typing import Any


class SimProcess:
    """One process of a simulated machine, from its start to its end.

    `deferred` holds the callbacks that fell due while it was frozen.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.dead = False
        self.frozen = False
        self.deferred: list[tuple[Callable[[], None], contextvars.Context]] = []


CURRENT_PROCESS: contextvars.ContextVar[SimProcess | None] = contextvars.ContextVar("boot", default=None)


class VirtualSelector(selectors.SelectSelector):
    """Advances the virtual clock to the next timer instead of waiting; raises RuntimeError if there is none."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advances the clock by the timeout; reports no events."""
        # No timer and no ready callback: real time would block forever
        if timeout is None:
            raise RuntimeError("deadlock in the simulation: no timer and no callback is pending")
        if timeout > 0:
            self.loop.virtual += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs each callback as part of the process in whose context it was made.

    Callbacks of a frozen process are deferred until it thaws; those of a dead one never run. `virtual` is the time in
    seconds.
    """

    def __init__(self) -> None:
        selector = VirtualSelector()
        selector.loop = self
        self.virtual = 1000.0
        self.ended = False
        self.retained_tasks: list[asyncio.Task[Any]] = []
        super().__init__(selector)
        self.set_task_factory(self._make_task)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.virtual

    def _make_task(self, loop: Any, work: Any, context: Any = None) -> asyncio.Task[Any]:
        # An empty context is falsy, so compare with None. Tasks are retained because collecting the coroutine of a
        # dead process would run its clean-up code
        task = asyncio.Task(work, loop=loop, context=context)
        process = (contextvars.copy_context() if context is None else context).get(CURRENT_PROCESS)
        if process is not None:
            self.retained_tasks.append(task)
            if len(self.retained_tasks) > 20_000:
                self.retained_tasks = [each for each in self.retained_tasks if not each.done()]
        return task

    def _guard(
        self, callback: Callable[..., Any], args: tuple[Any, ...], context: contextvars.Context
    ) -> tuple[Callable[..., Any], tuple[Any, ...], list[asyncio.Handle]]:
        process = context.get(CURRENT_PROCESS)
        handles: list[asyncio.Handle] = []
        if process is None:
            return callback, args, handles

        def gate() -> None:
            # A deferred callback may be cancelled by one that runs before it after the thaw
            if process.dead or (handles and handles[0].cancelled()):
                return
            if process.frozen:
                process.deferred.append((gate, context))
                return
            callback(*args)

        return gate, (), handles

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.Handle:
        """Schedules a callback as part of its context's process."""
        context = contextvars.copy_context() if context is None else context
        # Clean-up code that runs when a finished simulation is collected must not schedule anything
        if self.ended:
            return asyncio.Handle(callback, args, self, context)
        callback, args, handles = self._guard(callback, args, context)
        handle = super().call_soon(callback, *args, context=context)
        handles.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """Schedules a timer as part of its context's process."""
        context = contextvars.copy_context() if context is None else context
        if self.ended:
            return asyncio.TimerHandle(when, callback, args, self, context)
        callback, args, handles = self._guard(callback, args, context)
        handle = super().call_at(when, callback, *args, context=context)
        handles.append(handle)
        return handle

    def freeze(self, *, process: SimProcess) -> None:
        """Defers the process's callbacks from now on."""
        process.frozen = True

    def thaw(self, *, process: SimProcess) -> None:
        """Runs the deferred callbacks in order."""
        process.frozen = False
        deferred, process.deferred = process.deferred, []
        for gate, context in deferred:
            # Each callback is already wrapped in its gate, so it bypasses _guard
            super().call_soon(gate, context=context)

    def kill(self, *, process: SimProcess) -> None:
        """Drops the process's callbacks, deferred and future ones."""
        process.dead = True
        process.deferred.clear()
