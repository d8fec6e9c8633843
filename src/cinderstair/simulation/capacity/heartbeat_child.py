"""Load generator for heartbeats: sends those of three backends per database over HTTP."""

import asyncio
import json
from typing import Any

from .child import Child, now_us, reading_of
from .heartbeat_connection import HeartbeatConnection
from .naming import REPLICAS, backend_name, service_name, zone_of

# Each connection has at most one request in flight.
CONNECTIONS_PER_CONTROLLER = 6
RECONNECT_DELAY_S = 0.2


class HeartbeatChild(Child):
    """Sends one heartbeat of every backend in each interval, over a fixed number of connections."""

    def __init__(self, *, options: dict[str, Any]) -> None:
        self.controls: list[str] = options["controls"]
        self.every_us: int = options["every_us"]
        self.databases: int = options["databases"]
        self.primaries = {n: backend_name(service=n, replica=REPLICAS[0]) for n in range(self.databases)}
        self.number = 1
        self.sent = 0
        self.failed = 0
        self.late = 0
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        backends_of: dict[int, list[tuple[int, str]]] = {}
        connections = len(self.controls) * CONNECTIONS_PER_CONTROLLER
        for database in range(self.databases):
            for number, replica in enumerate(REPLICAS):
                backends_of.setdefault((database * 3 + number) % connections, []).append((database, replica))
        for index, backends in backends_of.items():
            self.tasks.append(asyncio.create_task(self._heartbeat(index=index, backends=backends)))

    async def _heartbeat(self, *, index: int, backends: list[tuple[int, str]]) -> None:
        """Sends a heartbeat of each of these backends once per interval, evenly distributed over the interval."""
        interval_us = self.every_us // len(backends)
        due_us = now_us() + interval_us * index // (len(self.controls) * CONNECTIONS_PER_CONTROLLER)
        target = index % len(self.controls)
        connection: HeartbeatConnection | None = None
        turn = 0
        while True:
            await asyncio.sleep(max(0, due_us - now_us()) / 1_000_000)
            due_us += interval_us
            # A late heartbeat shifts the later ones; catching up would send a burst that real backends don't send.
            if due_us < now_us():
                self.late += 1
                due_us = now_us()
            database, replica = backends[turn % len(backends)]
            turn += 1
            try:
                if connection is None or connection.transport is None:
                    host, _, port = self.controls[target].rpartition(":")
                    loop = asyncio.get_running_loop()
                    _, connection = await loop.create_connection(HeartbeatConnection, host, int(port))
                name, body = self._body(database=database, replica=replica)
                async with asyncio.timeout(2):
                    status = await connection.put(
                        host=self.controls[target], path=f"/cinderstair/servers/{name}", body=body
                    )
                self.sent += 1
                self.failed += status != 200
            except (OSError, TimeoutError):
                self.failed += 1
                connection = None
                # Backends also change to the next controller when one fails.
                target = (target + 1) % len(self.controls)
                await asyncio.sleep(RECONNECT_DELAY_S)

    def _body(self, *, database: int, replica: str) -> tuple[str, bytes]:
        name = backend_name(service=database, replica=replica)
        self.number += 1
        value = {
            "call_count": self.number,
            "target": service_name(number=database),
            "address": f"10.{database // 250}.{database % 250}.{REPLICAS.index(replica) + 1}:6000",
            "zone": zone_of(number=database + REPLICAS.index(replica) * 3),
            "standing": "ready",
            "db_role": "primary" if self.primaries[database] == name else "copy",
            "call_room": 100,
        }
        return name, json.dumps(value).encode()

    async def do_lead(self, *, database: int, name: str) -> dict[str, Any]:
        """Makes a backend report itself primary of a database."""
        self.primaries[database] = name
        return {}

    async def do_read(self) -> dict[str, Any]:
        """Returns the resource counters of the process."""
        return reading_of(nets=[]).value()

    async def do_status(self) -> dict[str, Any]:
        """Counts the heartbeats that were sent, failed, and fell behind schedule."""
        return {"sent": self.sent, "failed": self.failed, "late": self.late}

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
