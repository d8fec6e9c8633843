"""A queue of commands that gives a component's state a single writer."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from .context import Context

Command = Callable[[], Any]
"""Changes the component's state; if it returns an awaitable, that is awaited before the next command runs."""


class _QueuedCommand(NamedTuple):
    """A queued command and the future of its caller.

    :ivar result: receives the command's result or exception; None if no caller waits for it.
    :ivar key: the key that ``post`` was given; empty if none.
    """

    command: Command
    result: asyncio.Future[Any] | None
    key: str


class CommandQueueMixin:
    """Runs a component's commands one at a time, in the order in which they were queued.

    Commands are queued without bound. A class that inherits from it sets ``ctx`` and then calls ``open_queue`` in its
    event loop.
    """

    ctx: Context

    def open_queue(self) -> None:
        """Create the queue and start the task that runs its commands."""
        self._commands: asyncio.Queue[_QueuedCommand] = asyncio.Queue()
        self._queued_keys: set[str] = set()
        self.ctx.spawn(work=self._run_commands(), name=f"{type(self).__name__}.queue")

    async def execute(self, *, command: Command) -> Any:
        """Queue a command, wait until it has run, and return its result.

        :raises Exception: what the command raises.
        """
        result: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._commands.put_nowait(_QueuedCommand(command=command, result=result, key=""))
        return await result

    def post(self, *, command: Command, once: str = "") -> None:
        """Queue a command without waiting for it.

        :param once: a key; while a command with the same key is queued, this one is dropped. Empty: never dropped.
        """
        # A timer that fires faster than its command runs would otherwise grow the queue without bound.
        if once and once in self._queued_keys:
            return
        if once:
            self._queued_keys.add(once)
        self._commands.put_nowait(_QueuedCommand(command=command, result=None, key=once))

    def every(self, *, every_us: int, command: Command, name: str) -> None:
        """Queue a command at a fixed interval, unless the one of the previous interval is still queued.

        :param every_us: the interval in microseconds.
        :param name: the key of the command in the queue.
        """
        self.ctx.timer(every_us=every_us).subscribe(lambda _: self.post(command=command, once=name))

    async def _run_commands(self) -> None:
        while True:
            queued = await self._commands.get()
            self._queued_keys.discard(queued.key)
            await self._run(queued=queued)

    async def _run(self, *, queued: _QueuedCommand) -> None:
        try:
            value = queued.command()
            if isinstance(value, Awaitable):
                value = await value
        except Exception as error:  # noqa: BLE001
            # An exception must not end the task, or no later command would ever run.
            self._fail(queued=queued, error=error)
        else:
            if queued.result is not None and not queued.result.done():
                queued.result.set_result(value)

    def _fail(self, *, queued: _QueuedCommand, error: Exception) -> None:
        if queued.result is not None and not queued.result.done():
            queued.result.set_exception(error)
        else:
            self.ctx.crash(where=type(self).__name__, error=error)
