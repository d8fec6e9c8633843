"""A stub of a link to a backend: opens no connection and answers from memory."""

import asyncio
from collections.abc import Callable

from expression import Ok, Result

from ...membership.announcement import Announcement
from ...pooler.link import Link
from ...pooler.reply import Reply, State
from ...pooler.statement import PreparedStatement, Statement, Verb
from ...runtime.errors import CinderstairError
from ...runtime.position import Position

ROW = b"1 Bolt 10.49"


class StubLink:
    """Tracks transaction state, position, values and prepared statements as a backend would."""

    __slots__ = ("committed", "ended", "on_lost", "prepared", "state", "term", "values")

    def __init__(self, *, term: int = 1) -> None:
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, PreparedStatement] = {}
        self.on_lost: Callable[[], None] | None = None
        self.state = State.idle
        self.term = term
        self.committed = 1
        self.ended = False

    @property
    def open(self) -> bool:
        return not self.ended

    @property
    def waiting(self) -> int:
        return 0

    @property
    def oldest_wait_us(self) -> int:
        return 0

    def _answered(self, *, rows: list[bytes]) -> asyncio.Future[Reply]:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Reply] = loop.create_future()
        reply = Reply(rows=rows, stamp=b"1", state=self.state, position=Position(self.term, self.committed))
        # A real reply arrives in a later iteration of the event loop, so callers must suspend here too.
        loop.call_soon(settle, future, reply)
        return future

    def send(
        self, *, statement: Statement, at_least: Position | None = None, alias: bytes = b""
    ) -> asyncio.Future[Reply]:
        if statement.verb in (Verb.commit, Verb.rollback):
            self.state = State.idle
        if statement.verb in (Verb.write, Verb.commit):
            self.committed += 1
        return self._answered(rows=[ROW] if statement.verb in (Verb.read, Verb.execute) else [])

    def set_value(self, *, name: bytes, value: bytes) -> None:
        self.values[name] = value

    def clear(self) -> None:
        self.values, self.prepared = {}, {}

    def prepare(self, *, alias: bytes, shape: bytes, writes: bool) -> None:
        self.prepared[alias] = PreparedStatement(shape, writes)

    def begin(self, *, read_only: bool, at_least: Position | None) -> asyncio.Future[Reply]:
        self.state = State.open
        return self._answered(rows=[])

    def rollback(self) -> asyncio.Future[Reply]:
        self.state = State.idle
        return self._answered(rows=[])

    def ask_position(self) -> asyncio.Future[Reply]:
        return self._answered(rows=[])

    def close(self) -> None:
        self.ended = True


def settle(future: asyncio.Future[Reply], reply: Reply) -> None:
    """Completes a future unless its waiter has cancelled it."""
    if not future.done():
        future.set_result(reply)


async def stub_dialer(*, backend: Announcement, wait_us: int) -> Result[Link, CinderstairError]:
    """Returns a stub link for any backend."""
    return Ok(StubLink())
