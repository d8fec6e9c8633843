"""What our processes may ask of a network."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from expression import Result

from .fault import Fault
from .httpjob import HttpJob
from .httpresponse import HttpResponse

RecordAnswer = Callable[[bytes], Awaitable[bytes]]
HttpAnswer = Callable[[HttpJob], Awaitable[HttpResponse]]


class Channel(Protocol):
    """One explicit HTTP/1.1 connection. It sends each job once, and never again by itself."""

    @property
    def open(self) -> bool: ...

    async def pass_job(self, *, job: HttpJob, wait_us: int) -> Result[HttpResponse, Fault]: ...

    def give_up(self) -> None:
        """Ends the wait of a job that is under way, as if its time were up; its outcome is then unsure."""
        ...

    def close(self) -> None: ...


class Net(Protocol):
    """Records between our own processes, HTTP at the edges."""

    async def ask(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, Fault]:
        """Sends a record and waits for the record that answers it."""
        ...

    async def listen(self, *, address: str, answer: RecordAnswer) -> None: ...

    async def dial(self, *, address: str, wait_us: int) -> Result[Channel, Fault]: ...

    async def serve(self, *, address: str, answer: HttpAnswer) -> None: ...

    async def refuse(self) -> None:
        """Takes no new HTTP connections; those that are open are served on."""
        ...

    async def close(self) -> None: ...
