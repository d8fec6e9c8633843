"""The platform's streams in memory, for one run of one machine."""

import asyncio
import contextvars
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from ...runtime.errors import CinderstairError, ErrorCode
from ..virtual_loop import CURRENT_PROCESS, SimProcess
from .listener import Listener
from .stream_fabric import StreamFabric


class SimStreams:
    """Does what the adapter may ask of a network; every callback runs on the machine it belongs to."""

    def __init__(self, *, fabric: StreamFabric, host: str, process: SimProcess | None) -> None:
        self.fabric = fabric
        self.host = host
        self.process = process
        self.context = contextvars.Context()
        if process is not None:
            self.context.run(CURRENT_PROCESS.set, process)

    async def connect(
        self, *, address: str, protocol: Callable[[], Any], wait_us: int
    ) -> Result[Any, CinderstairError]:
        opened = self.fabric.dial(host=self.host, process=self.process, context=self.context, address=address)
        try:
            async with asyncio.timeout(wait_us / 1_000_000):
                end = await opened
        except (TimeoutError, OSError) as error:
            details = {"ended": int(isinstance(error, ConnectionRefusedError))}
            return Error(
                CinderstairError(
                    code=ErrorCode.WIRE_UNSENT, reason=f"{address}: {type(error).__name__}", details=details
                )
            )
        made = protocol()
        end.attach(protocol=made)
        return Ok(made)

    async def serve(self, *, address: str, protocol: Callable[[], Any]) -> None:
        listener = Listener(host=self.host, process=self.process, context=self.context, protocol=protocol)
        self.fabric.listen(address=address, listener=listener)

    async def stop_listening(self) -> None:
        self.fabric.deafen(host=self.host, process=self.process)
