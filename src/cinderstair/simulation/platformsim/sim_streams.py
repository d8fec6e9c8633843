"""The platform's streams in memory, for one run of one machine."""

import asyncio
import contextvars
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from ...runtime.errors import CinderstairError, ErrorCode
from ..virtual_loop import BOOT, Boot
from .listener import Listener
from .stream_fabric import StreamFabric


class SimStreams:
    """Does what the adapter may ask of a network; every callback runs on the machine it belongs to."""

    def __init__(self, *, fabric: StreamFabric, host: str, boot: Boot | None) -> None:
        self.fabric = fabric
        self.host = host
        self.boot = boot
        self.context = contextvars.Context()
        if boot is not None:
            self.context.run(BOOT.set, boot)

    async def connect(
        self, *, address: str, protocol: Callable[[], Any], wait_us: int
    ) -> Result[Any, CinderstairError]:
        opened = self.fabric.dial(host=self.host, boot=self.boot, context=self.context, address=address)
        try:
            async with asyncio.timeout(wait_us / 1_000_000):
                end = await opened
        except (TimeoutError, OSError) as error:
            details = {"ended": int(isinstance(error, ConnectionRefusedError))}
            return Error(
                CinderstairError(
                    code=ErrorCode.REQUEST_NOT_SENT, reason=f"{address}: {type(error).__name__}", details=details
                )
            )
        made = protocol()
        end.attach(protocol=made)
        return Ok(made)

    async def serve(self, *, address: str, protocol: Callable[[], Any]) -> None:
        listener = Listener(host=self.host, boot=self.boot, context=self.context, protocol=protocol)
        self.fabric.listen(address=address, listener=listener)

    async def stop_listening(self) -> None:
        self.fabric.deafen(host=self.host, boot=self.boot)
