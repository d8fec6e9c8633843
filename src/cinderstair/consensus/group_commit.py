"""Group commit: commands are applied in batches, and each batch is synced once before it is answered."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..runtime.context import Context
from .store import Store


@dataclass(frozen=True, kw_only=True)
class Applied:
    """The result of a command: the answer, and the log entries to sync before the answer is sent."""

    answer: bytes
    entries: tuple[bytes, ...] = ()


Command = Callable[[], Applied]


@dataclass(frozen=True, kw_only=True)
class QueuedCommand:
    """A queued command, and the future that its requester awaits."""

    apply: Command
    answer: asyncio.Future[bytes]


class GroupCommit:
    """Owns the command queue of an acceptor, and applies the commands one at a time in order.

    :param halt: called with the reason when the disk fails; no command is answered after that.
    """

    def __init__(self, *, ctx: Context, store: Store, halt: Callable[[str], None]) -> None:
        self.ctx = ctx
        self.store = store
        self.halt = halt
        self.halted = False
        self.queue: asyncio.Queue[QueuedCommand] = asyncio.Queue()
        ctx.spawn(work=self._process_commands(), name="acceptor")

    async def execute(self, *, command: Command) -> bytes:
        """Queues a command and returns its answer once its entries are synced; never returns if the disk fails."""
        answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.queue.put_nowait(QueuedCommand(apply=command, answer=answer))
        return await answer

    async def _process_commands(self) -> None:
        while not self.halted:
            batch = [await self.queue.get()]
            while not self.queue.empty():
                batch.append(self.queue.get_nowait())
            await self._process_batch(batch=batch)

    async def _process_batch(self, *, batch: list[QueuedCommand]) -> None:
        results = [command.apply() for command in batch]
        entries = [entry for result in results for entry in result.entries]
        if entries and not await self._save(entries=entries):
            return
        for command, result in zip(batch, results, strict=True):
            if not command.answer.done():
                command.answer.set_result(result.answer)

    async def _save(self, *, entries: list[bytes]) -> bool:
        """Syncs the entries. False after an error: it is then unknown which are on disk, so no answer may be sent."""
        try:
            await self.store.disk.run_in_background(work=partial(self.store.save, entries=entries))
        except OSError as error:
            self.halted = True
            self.halt(f"disk failed: {error}")
            return False
        self.ctx.counters.add(name="vault.syncs")
        return True
