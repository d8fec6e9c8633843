"""Entry point of the child processes: `python -m cinderstair.simulation.capacity.children ROLE OPTIONS`."""

import asyncio
import json
import signal
import sys
from typing import Any

from .child import Child


def create_child(*, role: str, options: dict[str, Any]) -> Child:
    """Returns the child of a role; ValueError for an unknown role."""
    # Modules are imported by role, since a child's memory is measured.
    if role == "guildhall":
        from .controller_child import ControllerChild

        return ControllerChild(options=options)
    if role == "booths":
        from .proxy_child import ProxyChild

        return ProxyChild(options=options)
    if role == "beats":
        from .heartbeat_child import HeartbeatChild

        return HeartbeatChild(options=options)
    if role == "alone":
        from .microbenchmark_child import MicrobenchmarkChild

        return MicrobenchmarkChild(options=options)
    raise ValueError(f"unknown role {role!r}")


async def main() -> None:
    await create_child(role=sys.argv[1], options=json.loads(sys.argv[2])).run()


if __name__ == "__main__":
    # Ctrl-C reaches the whole process group; the parent stops its children in order.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    asyncio.run(main())
