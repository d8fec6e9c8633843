"""One owner a table, working through a queue of commands."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from .context import Context


class CommandQueueMixin:
    """Gives a table's owner its queue. Commands run one at a time, in the order in which they came."""

    ctx: Context

    def open_queue(self) -> None:
        self._commands: asyncio.Queue[tuple[Callable[[], Any], asyncio.Future[Any] | None, str]] = asyncio.Queue()
        self._waiting: set[str] = set()
        self.ctx.spawn(work=self._work_queue(), name=f"{type(self).__name__}.queue")

    async def order(self, *, command: Callable[[], Any]) -> Any:
        """Runs a command in its turn and gives its result to the caller."""
        done: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._commands.put_nowait((command, done, ""))
        return await done

    def post(self, *, command: Callable[[], Any], once: str = "") -> None:
        """Queues a command that nobody waits for."""
        # why: a tick that finds its predecessor still queued adds nothing, and the queue stays bounded
        if once and once in self._waiting:
            return
        if once:
            self._waiting.add(once)
        self._commands.put_nowait((command, None, once))

    def every(self, *, every_us: int, command: Callable[[], Any], name: str) -> None:
        """Queues a command at each tick."""
        self.ctx.timer(every_us=every_us).subscribe(lambda _: self.post(command=command, once=name))

    async def _work_queue(self) -> None:
        while True:
            command, done, once = await self._commands.get()
            self._waiting.discard(once)
            try:
                result = command()
                if isinstance(result, Awaitable):
                    result = await result
            except Exception as error:  # noqa: BLE001
                # why: one broken command must not end the owner, or its table would freeze for good
                if done is not None and not done.done():
                    done.set_exception(error)
                else:
                    self.ctx.crash(where=type(self).__name__, error=error)
            else:
                if done is not None and not done.done():
                    done.set_result(result)
