"""The network of one modelled process, on which every delivery and timeout is an explicit event."""

import asyncio
from typing import Any

from expression import Error, Ok, Result

from ...runtime.errors import CinderstairError, ErrorCode
from ...runtime.net import Connection, HttpHandler, RecordHandler
from .event import Output, RequestId, RequestSent, ResponseSent


class ControlledNet:
    """Emits requests as outputs; responses and timeouts arrive as events. Stream connections are not supported."""

    def __init__(self, *, outputs: list[Output]) -> None:
        self.outputs = outputs
        self.number = 0
        self.pending: dict[int, asyncio.Future[Result[bytes, CinderstairError]]] = {}
        self.handler: RecordHandler | None = None
        self.serving: set[asyncio.Task[Any]] = set()

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        self.number += 1
        number = self.number
        self.pending[number] = asyncio.get_running_loop().create_future()
        self.outputs.append(RequestSent(number, address, body))
        return await self.pending[number]

    def deliver_response(self, *, number: int, body: bytes) -> None:
        """Completes a pending request."""
        self.pending.pop(number).set_result(Ok(body))

    def time_out(self, *, number: int) -> None:
        """Fails a pending request; its receiver may still process it."""
        fault = CinderstairError(code=ErrorCode.NO_RESPONSE, reason="request timed out")
        self.pending.pop(number).set_result(Error(fault))

    def serve_record(self, *, loop: asyncio.AbstractEventLoop, request_id: RequestId, body: bytes) -> None:
        """Processes a received request in a task; the response becomes an output."""
        assert self.handler is not None
        task: asyncio.Task[bytes] = loop.create_task(self.handler(body))  # type: ignore[arg-type]
        self.serving.add(task)
        task.add_done_callback(lambda done: self._served(task=done, request_id=request_id))

    def _served(self, *, task: asyncio.Task[bytes], request_id: RequestId) -> None:
        self.serving.discard(task)
        # A malformed record is dropped, and its sender times out.
        if isinstance(task.exception(), ValueError):
            return
        self.outputs.append(ResponseSent(request_id, task.result()))

    async def listen(self, *, address: str, handler: RecordHandler) -> None:
        self.handler = handler

    async def dial(self, *, address: str, wait_us: int) -> Result[Connection, CinderstairError]:
        raise NotImplementedError

    async def serve(self, *, address: str, handler: HttpHandler) -> None:
        raise NotImplementedError

    async def stop_accepting_http(self) -> None:
        return

    async def close(self) -> None:
        return
