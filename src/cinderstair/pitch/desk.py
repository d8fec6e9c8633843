"""One record address a process: the first byte names the desk that a record is for."""

from collections.abc import Awaitable, Callable

from .unpacker import Unpacker

DeskAnswer = Callable[[Unpacker], Awaitable[bytes]]

PREPARE, ACCEPT, READ, VECTOR, LEASE, HELLO, ADOPT, SNAPSHOT = 1, 2, 3, 4, 5, 6, 7, 8
PROBE, PROBE_FOR = 20, 21
NEWS = 30
HANDOVER, SEEK = 40, 41


class Desk:
    """Hands each record to the table owner that answers for its kind."""

    def __init__(self) -> None:
        self.answers: dict[int, DeskAnswer] = {}

    def open(self, *, kind: int, answer: DeskAnswer) -> None:
        self.answers[kind] = answer

    async def answer(self, body: bytes) -> bytes:
        unpacker = Unpacker(data=body)
        answer = self.answers.get(unpacker.u8())
        # why: a newer daemon may ask what an older one does not know; it must get silence, not a crash
        if answer is None:
            raise ValueError("no such desk")
        return await answer(unpacker)
