"""An HTTP client for stand-ins: one request per connection."""

import asyncio
from typing import Any

from .sim_streams import SimStreams


class HttpCaller(asyncio.Protocol):
    """Reads one response with a Content-Length; `answer` is None if the connection ends or it is invalid."""

    def __init__(self) -> None:
        self.data = b""
        self.transport: Any = None
        self.answer: asyncio.Future[tuple[int, dict[str, str], bytes] | None]
        self.answer = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._settle(None)

    def _settle(self, answer: tuple[int, dict[str, str], bytes] | None) -> None:
        if not self.answer.done():
            self.answer.set_result(answer)

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, blank, body = self.data.partition(b"\r\n\r\n")
        if not blank:
            return
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {key.lower(): value.strip() for key, _, value in (line.partition(":") for line in lines)}
        version, _, rest = first.partition(" ")
        status = rest.partition(" ")[0]
        if version != "HTTP/1.1" or not status.isdigit() or not headers.get("content-length", "").isdigit():
            self._settle(None)
            return
        length = int(headers["content-length"])
        if len(body) >= length:
            self._settle((int(status), headers, body[:length]))


async def http_call(
    *,
    streams: SimStreams,
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    wait_us: int = 1_000_000,
) -> tuple[int, dict[str, str], bytes] | None:
    """Status, headers and body; None if connecting fails, or without a valid response within `wait_us`."""
    until = asyncio.get_running_loop().time() + wait_us / 1_000_000
    opened = await streams.connect(address=address, protocol=HttpCaller, wait_us=wait_us)
    if opened.is_error():
        return None
    caller: HttpCaller = opened.ok
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", f"Content-Length: {len(body)}", "Connection: close"]
    lines += [f"{key}: {value}" for key, value in (headers or {}).items()]
    if body:
        lines.append("Content-Type: application/json")
    caller.transport.write("\r\n".join([*lines, "", ""]).encode() + body)
    try:
        async with asyncio.timeout_at(until):
            return await caller.answer
    except TimeoutError:
        return None
    finally:
        caller.transport.close()
