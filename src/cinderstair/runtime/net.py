"""What our processes may ask of a network."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from expression import Result

from .errors import CinderstairError
from .http_request import HttpRequest
from .http_response import HttpResponse

RecordAnswer = Callable[[bytes], Awaitable[bytes]]
HttpAnswer = Callable[[HttpRequest], Awaitable[HttpResponse]]


class Connection(Protocol):
    """One explicit HTTP/1.1 connection. It sends each job once, and never again by itself."""

    @property
    def open(self) -> bool: ...

    async def send_request(self, *, request: HttpRequest, wait_us: int) -> Result[HttpResponse, CinderstairError]: ...

    def give_up(self) -> None:
        """Ends the wait of a job that is under way, as if its time were up; its outcome is then unsure."""
        ...

    def close(self) -> None: ...


class Net(Protocol):
    """Records between our own processes, HTTP at the edges."""

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        """Sends a record and waits for the record that answers it."""
        ...

    async def listen(self, *, address: str, answer: RecordAnswer) -> None: ...

    async def dial(self, *, address: str, wait_us: int) -> Result[Connection, CinderstairError]: ...

    async def serve(self, *, address: str, answer: HttpAnswer) -> None: ...

    async def refuse(self) -> None:
        """Takes no new HTTP connections; those that are open are served on."""
        ...

    async def close(self) -> None: ...
