"""A simulated network: records and HTTP connections with delays, partitions, resets and lost responses."""

import asyncio
import contextvars
import json
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.http_request import ClientConnection, HttpRequest
from ..runtime.http_response import HttpResponse
from ..runtime.net import Connection, HttpHandler, RecordHandler
from ..runtime.protocol_versions import split_version_header
from .virtual_loop import CURRENT_PROCESS, SimProcess, VirtualLoop

PATHS = frozenset(["/run", "/position", "/pull", "/v1/beats", "/promote"])
RESEND_US, RESEND_MOST_US = 200_000, 10_000_000


class Arrival(NamedTuple):
    """A statement or position request that reached a backend."""

    at_us: int
    path: str
    source: str


class HeartbeatArrival(NamedTuple):
    """A backend's heartbeat that reached an HTTP proxy, with the state that it reported."""

    at_us: int
    state: str


def corrupted(*, response: HttpResponse, rng: random.Random) -> HttpResponse:
    """Returns an invalid response: truncated, of another JSON type, or with missing or mistyped fields."""
    body = response.body
    ways = [
        body[: rng.randrange(len(body))],
        b"[]",
        b"null",
        b"\xff\xfe",
        b'{"ok": true}',
        b'{"ok": true, "term": "x"}',
    ]
    ways.append(body.replace(b'"position":', b'"place":').replace(b'"received":', b'"got":'))
    return HttpResponse(status=response.status, body=rng.choice(ways), headers=response.headers)


class SimClientConnection(ClientConnection):
    """The server's end of a connection."""

    def __init__(self) -> None:
        self.ended = False

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self.ended


class SimNetwork:
    """The network between all simulated processes: listeners, connections, delays and faults.

    `cuts` holds the (source, target) pairs whose traffic is dropped; `lose_answers` and `corrupt_answers` the
    probability by server that a response is lost or corrupted; `lags_us` the extra delay of a slow machine.
    """

    def __init__(self, *, loop: VirtualLoop, rng: random.Random) -> None:
        self.loop = loop
        self.rng = rng
        self.records: dict[str, tuple[SimProcess, RecordHandler]] = {}
        self.https: dict[str, tuple[SimProcess, HttpHandler]] = {}
        self.hosts: dict[str, str] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.connections: list[SimConnection] = []
        self.lose_answers: dict[str, float] = {}
        self.corrupt_answers: dict[str, float] = {}
        self.fast_us, self.slow_us = 200, 1_500
        self.lags_us: dict[str, int] = {}
        self.sent = 0
        # Requests by kind: the traffic that a larger fleet adds
        self.work: Counter[str] = Counter()
        self.dials: list[tuple[int, str, str]] = []
        # Recorded on arrival and not when read, since a frozen process reads nothing
        self.arrivals: dict[str, list[Arrival]] = defaultdict(list)
        self.heartbeats: dict[str, list[HeartbeatArrival]] = defaultdict(list)

    @property
    def now_us(self) -> int:
        """The virtual time in us."""
        return round(self.loop.virtual * 1_000_000)

    def arrived(self, *, source: str, target: str, request: HttpRequest) -> None:
        """Records requests that reach a backend, and heartbeats that reach anyone."""
        if request.path in ("/run", "/position"):
            self.arrivals[target].append(Arrival(self.now_us, request.path, source))
        elif request.path == "/v1/beats":
            try:
                self.heartbeats[source].append(HeartbeatArrival(self.now_us, str(json.loads(request.body)["state"])))
            except (ValueError, KeyError, TypeError):
                # A malformed heartbeat isn't recorded; how the HTTP proxy rejects it is not checked here
                return

    def delay_s(self, *names: str) -> float:
        """Draws the delay between these machines, including the lag of slow ones."""
        lag_us = sum(self.lags_us.get(name, 0) for name in names)
        return (self.rng.randrange(self.fast_us, self.slow_us) + lag_us) / 1_000_000

    def passes(self, *, source: str, target: str) -> bool:
        """Whether no partition drops this traffic."""
        return (source, target) not in self.cuts

    def schedule(self, *, call: Callable[[], None], delay_s: float | None = None) -> None:
        """Schedules an event of the network itself, which no freeze or kill of a process holds up."""
        self.loop.call_later(self.delay_s() if delay_s is None else delay_s, call, context=contextvars.Context())

    def run_at(self, *, process: SimProcess, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs a coroutine as part of a process."""
        context = contextvars.Context()
        context.run(CURRENT_PROCESS.set, process)
        return self.loop.create_task(work, context=context)

    def close_all(self, *, process: SimProcess) -> None:
        """Removes the listeners of an ended process and closes its connections."""
        self.records = {a: entry for a, entry in self.records.items() if entry[0] is not process}
        self.https = {a: entry for a, entry in self.https.items() if entry[0] is not process}
        for connection in list(self.connections):
            if connection.client is process:
                connection.hang_up()
            elif connection.server is process:
                connection.schedule(call=connection.reset)
        self.connections = [c for c in self.connections if c.client is not process and not c.broken]


class SimConnection:
    """The client's end of a connection."""

    def __init__(self, *, network: SimNetwork, client: SimProcess, server: SimProcess, answer: HttpHandler) -> None:
        self.network = network
        self.client = client
        self.server = server
        self.answer = answer
        self.client_connection = SimClientConnection()
        self.broken = False
        self.waiting: asyncio.Future[HttpResponse] | None = None
        self.limit: asyncio.Timeout | None = None
        self.path = ""

    @property
    def open(self) -> bool:
        """Whether requests can still be sent."""
        return not self.broken

    def schedule(self, *, call: Callable[[], None]) -> None:
        """Schedules an event after the network delay between both ends."""
        self.network.schedule(call=call, delay_s=self.network.delay_s(self.client.name, self.server.name))

    def reset(self) -> None:
        """Ends the connection at once at both ends; a waiting request fails."""
        self.broken = True
        self.client_connection.ended = True
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(ConnectionResetError())

    def hang_up(self) -> None:
        """Closes the connection; the other end learns of it after the network delay."""
        # The close must cross the network too; through a partition it takes effect when TCP gives up
        self.broken = True
        cut = not self.network.passes(source=self.client.name, target=self.server.name)
        self.network.schedule(call=self._end, delay_s=10.0 if cut else None)

    def _end(self) -> None:
        self.client_connection.ended = True

    async def send_request(self, *, request: HttpRequest, wait_us: int) -> Result[HttpResponse, CinderstairError]:
        """Sends a request and awaits its response; REQUEST_NOT_SENT, or NO_RESPONSE if it may have been served."""
        if self.broken:
            return Error(
                CinderstairError(code=ErrorCode.REQUEST_NOT_SENT, reason=f"{self.server.name}: connection closed")
            )
        self.waiting = asyncio.get_running_loop().create_future()
        self.network.sent += 1
        self.network.work[f"http {request.path if request.path in PATHS else 'other'}"] += 1
        self.schedule(call=lambda: self._arrive(request=request))
        try:
            async with asyncio.timeout(wait_us / 1_000_000) as self.limit:
                return Ok(await self.waiting)
        except (TimeoutError, ConnectionResetError) as error:
            self.close()
            return Error(
                CinderstairError(code=ErrorCode.NO_RESPONSE, reason=f"{self.server.name}: {type(error).__name__}")
            )
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self.limit = None

    def expire_in_flight(self) -> None:
        """Makes the pending request time out now."""
        if self.limit is not None and not self.limit.expired():
            self.limit.reschedule(asyncio.get_running_loop().time())

    def _resend_later(self, *, call: Callable[[int], None], wait_us: int) -> None:
        """Retransmits with doubling delay, as TCP does, what a partition dropped; it may still arrive late."""
        if wait_us < RESEND_MOST_US:
            self.network.schedule(call=lambda: call(wait_us * 2), delay_s=wait_us / 1_000_000)

    def _arrive(self, *, request: HttpRequest, wait_us: int = RESEND_US) -> None:
        # Closing a connection discards what is still queued for retransmission
        if wait_us > RESEND_US and self.broken:
            return
        if not self.network.passes(source=self.client.name, target=self.server.name):
            self._resend_later(call=lambda next_us: self._arrive(request=request, wait_us=next_us), wait_us=wait_us)
            return
        if self.server.dead or self.client_connection.ended:
            self.reset()
            return
        self.path = request.path
        self.network.arrived(source=self.client.name, target=self.server.name, request=request)
        served = HttpRequest(
            method=request.method,
            path=request.path,
            body=request.body,
            query=request.query,
            client_connection=self.client_connection,
        )
        task = self.network.run_at(process=self.server, work=self.answer(served))  # type: ignore[arg-type]
        task.add_done_callback(self._answered, context=contextvars.Context())

    def _answered(self, task: asyncio.Task[HttpResponse]) -> None:
        if task.cancelled() or self.server.dead:
            return
        response = task.result()
        # The backend has run the statement, and its response is lost
        if self.network.rng.random() < self.network.lose_answers.get(self.server.name, 0):
            self.schedule(call=self.reset)
            return
        # Traffic between backends isn't corrupted: it isn't part of the system under test
        share = self.network.corrupt_answers.get(self.server.name, 0) if self.path in ("/run", "/position") else 0
        if share and self.network.rng.random() < share:
            response = corrupted(response=response, rng=self.network.rng)
        self.schedule(call=lambda: self._deliver(response=response))

    def _deliver(self, *, response: HttpResponse, wait_us: int = RESEND_US) -> None:
        if not self.network.passes(source=self.server.name, target=self.client.name):
            self._resend_later(
                call=lambda next_us: self._deliver(response=response, wait_us=next_us), wait_us=wait_us
            )
            return
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(response)
        if response.headers.get("Connection") == "close":
            self.close()

    def close(self) -> None:
        """Closes the connection and forgets it."""
        if not self.broken:
            self.hang_up()
        if self in self.network.connections:
            self.network.connections.remove(self)


class SimNet:
    """The network of one simulated process: implements the runtime's Net on the SimNetwork."""

    def __init__(self, *, network: SimNetwork, process: SimProcess) -> None:
        self.network = network
        self.process = process

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        """Sends a record and awaits the reply; NO_RESPONSE on a timeout or refusal."""
        waiting: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        network, me = self.network, self.process
        network.sent += 1
        network.work[f"record {split_version_header(data=body).body[0]}"] += 1

        def fail() -> None:
            if not waiting.done():
                waiting.set_exception(ConnectionRefusedError())

        def arrive() -> None:
            host = network.hosts.get(address, "")
            if not network.passes(source=me.name, target=host):
                return
            entry = network.records.get(address)
            if entry is None:
                network.schedule(call=fail)
                return
            process, answer = entry
            task = network.run_at(process=process, work=answer(body))  # type: ignore[arg-type]
            task.add_done_callback(lambda done: answered(done, process), context=contextvars.Context())

        def answered(task: asyncio.Task[bytes], process: SimProcess) -> None:
            # The receiver drops a malformed record, and the sender's request times out
            if task.cancelled() or process.dead or isinstance(task.exception(), ValueError):
                return
            response = task.result()
            network.schedule(call=lambda: deliver(response, process), delay_s=network.delay_s(process.name))

        def deliver(response: bytes, process: SimProcess) -> None:
            if network.passes(source=process.name, target=me.name) and not waiting.done():
                waiting.set_result(response)

        network.schedule(call=arrive, delay_s=network.delay_s(me.name))
        try:
            async with asyncio.timeout(wait_us / 1_000_000):
                return Ok(await waiting)
        except (TimeoutError, ConnectionRefusedError) as error:
            return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason=f"{address}: {type(error).__name__}"))

    async def listen(self, *, address: str, handler: RecordHandler) -> None:
        """Serves records at an address."""
        self.network.records[address] = (self.process, handler)
        self.network.hosts[address] = self.process.name

    async def dial(self, *, address: str, wait_us: int) -> Result[Connection, CinderstairError]:
        """Opens an HTTP connection; REQUEST_NOT_SENT if that fails."""
        network, me = self.network, self.process
        network.dials.append((network.now_us, me.name, network.hosts.get(address, "")))
        waiting: asyncio.Future[SimConnection | None] = asyncio.get_running_loop().create_future()

        def settle(connection: SimConnection | None) -> None:
            if not waiting.done():
                waiting.set_result(connection)

        def arrive() -> None:
            host = network.hosts.get(address, "")
            if not network.passes(source=me.name, target=host):
                return
            entry = network.https.get(address)
            connection = None
            if entry is not None:
                connection = SimConnection(network=network, client=me, server=entry[0], answer=entry[1])
                network.connections.append(connection)
            if network.passes(source=host, target=me.name):
                network.schedule(call=lambda: settle(connection))

        network.schedule(call=arrive)
        try:
            async with asyncio.timeout(wait_us / 1_000_000):
                connection = await waiting
        except TimeoutError:
            connection = None
        if connection is None:
            return Error(
                CinderstairError(
                    code=ErrorCode.REQUEST_NOT_SENT,
                    reason=f"{address}: connection failed or timed out after {wait_us} us",
                )
            )
        return Ok(connection)

    async def serve(self, *, address: str, handler: HttpHandler) -> None:
        """Serves HTTP at an address."""
        self.network.https[address] = (self.process, handler)
        self.network.hosts[address] = self.process.name

    async def stop_accepting_http(self) -> None:
        """Stops accepting HTTP connections; open ones stay."""
        self.network.https = {a: entry for a, entry in self.network.https.items() if entry[0] is not self.process}

    async def close(self) -> None:
        """Removes the process's listeners and closes its connections."""
        self.network.close_all(process=self.process)
