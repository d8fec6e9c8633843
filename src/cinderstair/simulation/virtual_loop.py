"""An asyncio loop on virtual time, on which whole machines can be frozen and killed."""

import asyncio
import contextvars
import selectors
from collections.abc import Callable
from typing import Any


class SimProcess:
    """One run of one simulated machine, from its start to its end."""

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.dead = False
        self.frozen = False
        self.held: list[tuple[Callable[[], None], contextvars.Context]] = []


CURRENT_PROCESS: contextvars.ContextVar[SimProcess | None] = contextvars.ContextVar("boot", default=None)


class VirtualSelector(selectors.SelectSelector):
    """Instead of waiting it moves the clock to the next thing that is due."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        # why: with nothing due and nothing ready the world would stand still for ever
        if timeout is None:
            raise RuntimeError("the simulated world has nothing left to do")
        if timeout > 0:
            self.loop.virtual += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Every callback belongs to the machine in whose context it was made.

    Those of a frozen machine are held until it thaws; those of a dead one never run.
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
        return self.virtual

    def _make_task(self, loop: Any, work: Any, context: Any = None) -> asyncio.Task[Any]:
        # why: an empty context is false in itself, and still not to be replaced by the current one;
        # a dead machine's coroutines must not be collected, since that would run their clean-up code
        task = asyncio.Task(work, loop=loop, context=context)
        process = (contextvars.copy_context() if context is None else context).get(CURRENT_PROCESS)
        if process is not None:
            self.retained_tasks.append(task)
            if len(self.retained_tasks) > 20_000:
                self.retained_tasks = [each for each in self.retained_tasks if not each.done()]
        return task

    def _gated(
        self, callback: Callable[..., Any], args: tuple[Any, ...], context: contextvars.Context
    ) -> tuple[Callable[..., Any], tuple[Any, ...], list[asyncio.Handle]]:
        process = context.get(CURRENT_PROCESS)
        made: list[asyncio.Handle] = []
        if process is None:
            return callback, args, made

        def gate() -> None:
            # why: what fell due in a frozen machine may be cancelled by what runs before it after the thaw
            if process.dead or (made and made[0].cancelled()):
                return
            if process.frozen:
                process.held.append((gate, context))
                return
            callback(*args)

        return gate, (), made

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.Handle:
        context = contextvars.copy_context() if context is None else context
        # why: when a world is cleared away, its coroutines' clean-up code still runs and finds nothing to call
        if self.ended:
            return asyncio.Handle(callback, args, self, context)
        callback, args, made = self._gated(callback, args, context)
        handle = super().call_soon(callback, *args, context=context)
        made.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        context = contextvars.copy_context() if context is None else context
        if self.ended:
            return asyncio.TimerHandle(when, callback, args, self, context)
        callback, args, made = self._gated(callback, args, context)
        handle = super().call_at(when, callback, *args, context=context)
        made.append(handle)
        return handle

    def freeze(self, *, process: SimProcess) -> None:
        process.frozen = True

    def thaw(self, *, process: SimProcess) -> None:
        process.frozen = False
        held, process.held = process.held, []
        for gate, context in held:
            # why: each is its own gate already, so it is put back as it is
            super().call_soon(gate, context=context)

    def kill(self, *, process: SimProcess) -> None:
        process.dead = True
        process.held.clear()
