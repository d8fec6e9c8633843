"""A simulated database server: a durable log, replicas that pull it, promotion by term, and heartbeats."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from ..runtime.context import Context
from ..runtime.http_request import ClientConnection, HttpRequest
from ..runtime.http_response import HttpResponse, json_response
from ..runtime.net import Connection
from .sent_statement import SentStatement, sent_statement

WAL = "wal"
PULL_HOLD_US = 300_000
HEARTBEAT_US = 1_000_000


@dataclass(kw_only=True)
class OpenTransaction:
    """The uncommitted writes of one connection."""

    writes: list[tuple[str, str, Any]] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class Entry:
    """A log entry: the writes of one commit, or none at the start of a term."""

    position: int
    term: int
    writes: tuple[tuple[str, str, Any], ...]


class StatementError(Exception):
    """The statement is invalid or conflicts with a transaction; it has no effect."""


def apply_write(*, state: dict[str, Any], write: tuple[str, str, Any]) -> None:
    """Applies one write to the key-value state."""
    verb, key, value = write
    if verb == "put":
        state[key] = value
    elif verb == "add":
        state[key] = int(state.get(key, 0)) + int(value)
    elif verb == "append":
        state[key] = [*state.get(key, []), value]


class StandIn:
    """Runs the statements put, add, append, get, list and show, and records them for the checkers.

    It owns the log (durable), the applied state and the open transactions. The highest `term` that it has seen fences
    requests of older terms. `ran` counts executed statements, `peak_connections` the most connections at once, and
    `interleaved` the statements that met another client's transaction on their connection.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        address: str,
        database: str,
        cap: int,
        http_proxies: tuple[str, ...],
        service_us: int = 2_000,
        apply_us: int = 5_000,
    ) -> None:
        self.ctx = ctx
        self.address = address
        self.database = database
        self.cap = cap
        self.http_proxies = http_proxies
        self.service_us = service_us
        self.apply_us = apply_us
        self.term = 0
        # A replica that learned of a term may still hold entries that this term overwrote; it reports its position
        # in the new term only once its log matches the primary's
        self.log_matched_term = 0
        self.is_primary = False
        self.incarnation = 0
        self.state = "ready"
        self.emptied_us: int | None = None
        self.leader = ""
        self.entries: list[Entry] = []
        self.applied = 0
        self.current: dict[str, Any] = {}
        self.open: dict[ClientConnection, OpenTransaction] = {}
        self.connections: set[ClientConnection] = set()
        self.number = 0
        self.replication_paused = False
        self.heartbeats_enabled = True
        self.log_grown = asyncio.Event()
        self.ran: Counter[SentStatement] = Counter()
        self.peak_connections = 0
        self.interleaved = 0
        self.heartbeat_connection: Connection | None = None

    @property
    def received(self) -> int:
        """The position of the last log entry."""
        return len(self.entries)

    def _append(self, *, records: list[dict[str, Any]]) -> None:
        data = "".join(json.dumps(record, separators=(",", ":")) + "\n" for record in records)
        self.ctx.disk.append(name=WAL, data=data.encode())

    def _recover(self) -> None:
        for line in (self.ctx.disk.read(name=WAL) or b"").split(b"\n"):
            try:
                value = json.loads(line)
            except ValueError:
                continue
            if "cut" in value:
                del self.entries[value["cut"] :]
            elif "term" in value:
                self.term, self.incarnation = value["term"], value["incarnation"]
            else:
                writes = tuple((w[0], w[1], w[2]) for w in value["w"])
                self.entries.append(Entry(position=value["p"], term=value["t"], writes=writes))

    def _save_meta(self) -> None:
        self._append(records=[{"term": self.term, "incarnation": self.incarnation}])

    async def start(self) -> None:
        """Recovers the log, raises the incarnation, and serves."""
        self._recover()
        self.incarnation += 1
        self._save_meta()
        self._apply_all()
        await self.ctx.net.serve(address=self.address, handler=self.answer)
        self.ctx.spawn(work=self._follow(), name="follow")
        self.ctx.spawn(work=self._heartbeats(), name="beats")
        self.ctx.timer(every_us=50_000).subscribe(lambda _: self._sweep())

    def _apply_all(self, *, up_to: int | None = None) -> None:
        target = self.received if up_to is None else min(up_to, self.received)
        for entry in self.entries[self.applied : target]:
            for write in entry.writes:
                apply_write(state=self.current, write=write)
        self.applied = max(self.applied, target)

    def _truncate(self, *, length: int) -> None:
        """Removes entries that another term has overwritten."""
        del self.entries[length:]
        self._append(records=[{"cut": length}])
        if self.applied > length:
            self.current, self.applied = {}, 0
            self._apply_all()

    def _add(self, *, entries: list[Entry]) -> None:
        self._append(records=[{"p": e.position, "t": e.term, "w": e.writes} for e in entries])
        self.entries.extend(entries)
        self.log_grown.set()
        self.log_grown = asyncio.Event()

    def _sweep(self) -> None:
        self.connections = {line for line in self.connections if not line.closed}
        for line in [line for line in self.open if line.closed]:
            del self.open[line]

    # ---- requests

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Serves a request of an HTTP proxy, the platform, another backend or a test."""
        body = json.loads(request.body) if request.body else {}
        if request.path in ("/run", "/position"):
            self._sweep()
            if request.client_connection not in self.connections:
                # A database server rejects connections above its limit
                if len(self.connections) >= self.cap:
                    return self._reject(reason="full", message=f"connection limit of {self.cap} reached")
                self.connections.add(request.client_connection)
                self.peak_connections = max(self.peak_connections, len(self.connections))
        if request.path == "/run":
            return await self._run(body=body, line=request.client_connection)
        if request.path == "/position":
            return await self._position(body=body)
        if request.path == "/pull":
            return await self._pull(body=body)
        if request.path == "/promote":
            return self._promote(term=body["term"])
        if request.path == "/follow":
            return self._set_leader(term=body["term"], leader=body["leader"])
        if request.path == "/empty":
            self.state, self.emptied_us = "emptying", self.ctx.now_us()
            return json_response(status=200, value={"ok": True})
        if request.path == "/refill":
            self.state, self.emptied_us = "ready", None
            return json_response(status=200, value={"ok": True})
        if request.path == "/dump":
            value = {"state": self.current, "term": self.term, "leads": self.is_primary, "received": self.received}
            value["ran"] = [[*each, count] for each, count in self.ran.items()]
            return json_response(status=200, value=value)
        return json_response(status=404, value={"ok": False})

    def _reject(self, *, reason: str, message: str) -> HttpResponse:
        value = {"ok": False, "reason": reason, "why": message, "term": self.term, "position": self.applied}
        return json_response(status=409, value=value)

    def _accept(self, *, rows: list[Any], position: int, wrote: bool) -> HttpResponse:
        value = {"ok": True, "rows": rows, "term": self.log_matched_term, "position": position, "wrote": wrote}
        return json_response(status=200, value=value)

    async def _position(self, *, body: dict[str, Any]) -> HttpResponse:
        until_us = self.ctx.now_us() + int(body.get("holdUs", 0))
        while self.received < body.get("atLeast", 0) and self.ctx.now_us() < until_us:
            try:
                async with asyncio.timeout((until_us - self.ctx.now_us()) / 1_000_000):
                    await self.log_grown.wait()
            except TimeoutError:
                break
        value = {
            "term": self.log_matched_term,
            "received": self.received,
            "applied": self.applied,
            "leads": self.is_primary,
            "incarnation": self.incarnation,
        }
        return json_response(status=200, value=value)

    async def _run(self, *, body: dict[str, Any], line: ClientConnection) -> HttpResponse:
        step, kind = body["step"], body["kind"]
        primary = kind in ("write", "primary") or step != "alone"
        if primary and (not self.is_primary or body["term"] != self.term):
            self.open.pop(line, None)
            return self._reject(reason="notLeading", message=f"is not the primary of term {body['term']}")
        if not primary and body["term"] != self.log_matched_term:
            return self._reject(
                reason="term", message=f"log matched with term {self.log_matched_term}, not {body['term']}"
            )
        await self.ctx.sleep(duration_us=self.ctx.rng.randrange(self.service_us // 2, self.service_us * 2))
        if not primary and body["term"] != self.log_matched_term:
            return self._reject(
                reason="term", message=f"log matched with term {self.log_matched_term}, not {body['term']}"
            )
        # The role may have changed during the service time
        if primary and (not self.is_primary or body["term"] != self.term):
            self.open.pop(line, None)
            return self._reject(reason="notLeading", message=f"is not the primary of term {body['term']}")
        if step == "begin":
            self.open[line] = OpenTransaction()
            return self._accept(rows=[], position=self.applied, wrote=False)
        if step == "rollback":
            self.open.pop(line, None)
            return self._accept(rows=[], position=self.applied, wrote=False)
        if step == "commit":
            transaction = self.open.pop(line, None)
            if transaction is None:
                return self._reject(reason="noTransaction", message="no transaction is open on this connection")
            return self._commit(writes=transaction.writes, rows=[])
        return self._statement(body=body, line=line, step=step)

    def _statement(self, *, body: dict[str, Any], line: ClientConnection, step: str) -> HttpResponse:
        transaction = self.open.get(line)
        if step == "in" and transaction is None:
            return self._reject(reason="noTransaction", message="no transaction is open on this connection")
        if step == "alone" and transaction is not None:
            self.interleaved += 1
            return self._reject(reason="statement", message="a transaction is open on this connection")
        self.ran[
            sent_statement(kind=body["kind"], text=body["text"], params=body["params"], values=body["values"])
        ] += 1
        try:
            rows, writes = self._evaluate(body=body, own=transaction)
        except StatementError as error:
            return self._reject(reason="statement", message=str(error))
        if writes and body["kind"] != "write" and step == "alone":
            return self._reject(reason="statement", message=f"a statement of kind {body['kind']} must not write")
        if transaction is not None:
            transaction.writes += writes
            return self._accept(rows=rows, position=self.applied, wrote=False)
        return self._commit(writes=writes, rows=rows)

    def _evaluate(
        self, *, body: dict[str, Any], own: OpenTransaction | None
    ) -> tuple[list[Any], list[tuple[str, str, Any]]]:
        words = [str(word) for word in body["text"].split()]
        words += [str(param) for param in body.get("params", [])]
        seen = dict(self.current)
        for write in own.writes if own is not None else []:
            apply_write(state=seen, write=write)
        verb = words[0] if words else ""
        if verb == "get" and len(words) == 2:
            return [seen.get(words[1])], []
        if verb == "list" and len(words) == 2:
            return list(seen.get(words[1], [])), []
        if verb == "show" and len(words) == 2:
            return [body["values"].get(words[1])], []
        if verb in ("put", "add", "append") and len(words) == 3:
            self._lock(key=words[1], own=own)
            return [], [(verb, words[1], words[2])]
        raise StatementError(f"no such statement: {body['text'][:40]}")

    def _lock(self, *, key: str, own: OpenTransaction | None) -> None:
        for other in self.open.values():
            # Without a lock each transaction would depend on writes that the other may roll back
            if other is not own and any(write[1] == key for write in other.writes):
                raise StatementError(f"key {key} is locked by another transaction")

    def _commit(self, *, writes: list[tuple[str, str, Any]], rows: list[Any]) -> HttpResponse:
        if not writes:
            return self._accept(rows=rows, position=self.applied, wrote=False)
        position = self.received + 1
        self._add(entries=[Entry(position=position, term=self.term, writes=tuple(writes))])
        self._apply_all()
        return self._accept(rows=rows, position=position, wrote=True)

    # ---- replication

    def _promote(self, *, term: int) -> HttpResponse:
        if term < self.term:
            return self._reject(reason="term", message=f"term {term} is older than {self.term}")
        if not (self.is_primary and term == self.term):
            self.term, self.log_matched_term, self.is_primary, self.leader = term, term, True, ""
            self._save_meta()
            self.open.clear()
            self._add(entries=[Entry(position=self.received + 1, term=term, writes=())])
            self._apply_all()
        return json_response(status=200, value={"ok": True, "term": self.term})

    def _set_leader(self, *, term: int, leader: str) -> HttpResponse:
        if term < self.term:
            return self._reject(reason="term", message=f"term {term} is older than {self.term}")
        if term > self.term:
            self.term, self.is_primary = term, False
            self._save_meta()
            self.open.clear()
        if not self.is_primary:
            self.leader = leader
        return json_response(status=200, value={"ok": True, "term": self.term})

    async def _pull(self, *, body: dict[str, Any]) -> HttpResponse:
        if not self.is_primary or body["term"] != self.term:
            return self._reject(reason="notLeading", message=f"is not the primary of term {body['term']}")
        after = body["after"]
        if after > self.received or (after and self.entries[after - 1].term != body["afterTerm"]):
            return json_response(status=200, value={"ok": True, "mismatch": True, "term": self.term})
        if after == self.received:
            try:
                async with asyncio.timeout(PULL_HOLD_US / 1_000_000):
                    await self.log_grown.wait()
            except TimeoutError:
                pass
        entries = [[e.position, e.term, e.writes] for e in self.entries[after : after + 500]]
        if not self.is_primary:
            entries = []
        return json_response(status=200, value={"ok": True, "term": self.term, "entries": entries})

    async def _follow(self) -> None:
        connection: Connection | None = None
        at = ""
        while True:
            leader, term = self.leader, self.term
            if self.is_primary or not leader or self.replication_paused:
                await self.ctx.sleep(duration_us=50_000)
                continue
            if connection is None or not connection.open or at != leader:
                dialled = await self.ctx.net.dial(address=leader, wait_us=300_000)
                if dialled.is_error():
                    await self.ctx.sleep(duration_us=100_000)
                    continue
                connection, at = dialled.ok, leader
            body = {
                "after": self.received,
                "afterTerm": self.entries[-1].term if self.entries else 0,
                "term": term,
            }
            result = await connection.send_request(
                request=HttpRequest(method="POST", path="/pull", body=json.dumps(body).encode()), wait_us=1_000_000
            )
            if result.is_error() or result.ok.status != 200:
                connection.close()
                connection = None
                await self.ctx.sleep(duration_us=50_000)
                continue
            self._append_pulled(value=result.ok.json(), term=term, after=body["after"])

    def _append_pulled(self, *, value: dict[str, Any], term: int, after: int) -> None:
        # The response may belong to a term that ended meanwhile
        if (
            self.is_primary
            or self.term != term
            or value["term"] != term
            or self.received != after
            or self.replication_paused
        ):
            return
        if value.get("mismatch"):
            last = self.entries[-1].term if self.entries else 0
            keep = len(self.entries)
            while keep and self.entries[keep - 1].term == last:
                keep -= 1
            self._truncate(length=keep)
            return
        self.log_matched_term = term
        entries = [
            Entry(position=p, term=t, writes=tuple((w[0], w[1], w[2]) for w in writes))
            for p, t, writes in value["entries"]
        ]
        if entries:
            self._add(entries=entries)
            self.ctx.spawn(work=self._apply_later(position=self.received, term=term), name="apply")

    async def _apply_later(self, *, position: int, term: int) -> None:
        await self.ctx.sleep(duration_us=self.apply_us)
        if self.term == term:
            self._apply_all(up_to=position)

    # ---- heartbeats

    def heartbeat(self) -> dict[str, Any]:
        """Returns the next heartbeat's body."""
        self.number += 1
        return {
            "name": self.ctx.name,
            "incarnation": self.incarnation,
            "number": self.number,
            "site": self.ctx.site,
            "state": self.state,
            "leads": self.is_primary,
            "term": self.term,
            "position": self.received,
        }

    async def _heartbeats(self) -> None:
        while True:
            if self.heartbeats_enabled:
                await self._heartbeat_once()
            await self.ctx.sleep(duration_us=HEARTBEAT_US - self.ctx.rng.randrange(100_000))

    async def _heartbeat_once(self) -> None:
        """Sends a heartbeat to a random HTTP proxy, with up to three attempts at different ones."""
        body = json.dumps(self.heartbeat()).encode()
        for _ in range(3):
            if self.heartbeat_connection is None or not self.heartbeat_connection.open:
                dialled = await self.ctx.net.dial(address=self.ctx.rng.choice(self.http_proxies), wait_us=250_000)
                if dialled.is_error():
                    continue
                self.heartbeat_connection = dialled.ok
            result = await self.heartbeat_connection.send_request(
                request=HttpRequest(method="POST", path="/v1/beats", body=body), wait_us=400_000
            )
            if result.is_ok():
                return
            self.heartbeat_connection.close()
