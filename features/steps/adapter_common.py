"""Shared helpers of the adapter's steps: escaped bytes, a valid document and scripted connections."""

import asyncio
from collections import deque
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result
from stage import MemoryTransport

from cinderstair.runtime.errors import CinderstairError, ErrorCode

REPOSITORY = Path(__file__).resolve().parents[2]


def raw(*, text: str) -> bytes:
    r"""The bytes of a text with Python's escapes (\r, \n, \t, \xNN); `(empty)` for none."""
    return b"" if text == "(empty)" else text.encode().decode("unicode_escape").encode("latin-1")


def document() -> dict[str, Any]:
    """A valid configuration document with two services and three routes, two of which are of db2."""
    base = {"path_start": "/", "sort": "primary", "give_up_ms": 650, "rank": 1, "target": "s1", "max_age_ms": 1100}
    return {
        "revision": 21,
        "routes": [
            {**base, "name": "r1", "host_name": "db1"},
            {**base, "name": "r2", "host_name": "db2", "sort": "recent_enough", "target": "s2", "give_up_ms": 0.5},
            {**base, "name": "r3", "host_name": "db2", "path_start": "/x", "sort": "self_hosted"},
        ],
        "services": [
            {"name": "s1", "max_links": 40, "waits_for": 1},
            {"name": "s2", "max_links": 26, "waits_for": 0},
        ],
        "limits": {"tx_rest_ms": 2400},
    }


def connect(*, context: Any, make: Any) -> None:
    """Sets `context.protocol` to the protocol that `make` creates, and `context.transport` to its transport."""

    def work() -> None:
        context.protocol = make()
        context.transport = MemoryTransport(protocol=context.protocol)

    context.stage.call(call=work)


class MemoryStreams:
    """Connects to a scripted peer. Each entry of the script serves one connection: texts to send, `close`, `silence`
    or `refuse`, joined by ` + ` and run 1 ms apart.
    """

    def __init__(self, *, script: list[str]) -> None:
        self.script = deque(script)
        self.transports: list[MemoryTransport] = []

    async def connect(self, *, address: str, protocol: Any, wait_us: int) -> Result[Any, CinderstairError]:
        await asyncio.sleep(0.001)
        answer_script = self.script.popleft()
        if answer_script == "refuse":
            return Error(CinderstairError(code=ErrorCode.REQUEST_NOT_SENT, reason=f"{address}: refused"))
        client_protocol = protocol()
        transport = MemoryTransport(protocol=client_protocol)
        self.transports.append(transport)
        loop = asyncio.get_running_loop()
        for number, part in enumerate(answer_script.split(" + "), start=1):
            if part == "close":
                loop.call_later(number / 1_000, lambda: transport.lose(error=None))
            elif part != "silence":
                loop.call_later(number / 1_000, transport.feed, raw(text=part))
        return Ok(client_protocol)
