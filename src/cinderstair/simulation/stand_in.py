"""A stand-in for a database server: a durable log, replicas that pull it, promotion by term, and heartbeats."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from ..runtime.context import Context
from ..runtime.http_request import HttpRequest, Line
from ..runtime.http_response import HttpResponse, json_response
from ..runtime.net import Connection
from .sent import Sent, sent_as

WAL = "wal"
PULL_HOLD_US = 300_000
HEARTBEAT_US = 1_000_000


@dataclass(kw_only=True)
class Open:
    """A transaction as the backend holds it for one line."""

    writes: list[tuple[str, str, Any]] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class Entry:
    position: int
    term: int
    writes: tuple[tuple[str, str, Any], ...]


class StatementError(Exception):
    """The statement can't be run; nothing of it is kept."""


def apply_write(*, state: dict[str, Any], write: tuple[str, str, Any]) -> None:
    verb, key, value = write
    if verb == "put":
        state[key] = value
    elif verb == "add":
        state[key] = int(state.get(key, 0)) + int(value)
    elif verb == "append":
        state[key] = [*state.get(key, []), value]


class StandIn:
    """Knows a few words: put, add, append, get, list, show. Everything it was asked is kept for the checkers."""

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
        # why: told of a term, a replica may still hold what another term overwrote; it vouches for its
        # positions in the new term only once its log has been matched with the leader's
        self.matched_term = 0
        self.is_primary = False
        self.incarnation = 0
        self.state = "ready"
        self.emptied_us: int | None = None
        self.leader = ""
        self.entries: list[Entry] = []
        self.applied = 0
        self.current: dict[str, Any] = {}
        self.open: dict[Line, Open] = {}
        self.lines: set[Line] = set()
        self.number = 0
        self.deaf = False
        self.heartbeats_enabled = True
        self.grown = asyncio.Event()
        self.ran: Counter[Sent] = Counter()
        self.peak_connections = 0
        self.mixed = 0
        self.heartbeat_channel: Connection | None = None

    @property
    def received(self) -> int:
        return len(self.entries)

    def _append(self, *, lines: list[dict[str, Any]]) -> None:
        data = "".join(json.dumps(line, separators=(",", ":")) + "\n" for line in lines)
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
        self._append(lines=[{"term": self.term, "incarnation": self.incarnation}])

    async def start(self) -> None:
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

    def _cut(self, *, length: int) -> None:
        """Forgets what another term has overwritten."""
        del self.entries[length:]
        self._append(lines=[{"cut": length}])
        if self.applied > length:
            self.current, self.applied = {}, 0
            self._apply_all()

    def _add(self, *, entries: list[Entry]) -> None:
        self._append(lines=[{"p": e.position, "t": e.term, "w": e.writes} for e in entries])
        self.entries.extend(entries)
        self.grown.set()
        self.grown = asyncio.Event()

    def _sweep(self) -> None:
        self.lines = {line for line in self.lines if not line.closed}
        for line in [line for line in self.open if line.closed]:
            del self.open[line]

    # ---- what others ask

    async def answer(self, request: HttpRequest) -> HttpResponse:
        body = json.loads(request.body) if request.body else {}
        if request.path in ("/run", "/position"):
            self._sweep()
            if request.line not in self.lines:
                # why: a server takes so many connections and no more
                if len(self.lines) >= self.cap:
                    return self._no(reason="full", message="no connection left")
                self.lines.add(request.line)
                self.peak_connections = max(self.peak_connections, len(self.lines))
        if request.path == "/run":
            return await self._run(body=body, line=request.line)
        if request.path == "/position":
            return await self._position(body=body)
        if request.path == "/pull":
            return await self._pull(body=body)
        if request.path == "/promote":
            return self._promote(term=body["term"])
        if request.path == "/follow":
            return self._reported(term=body["term"], leader=body["leader"])
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

    def _no(self, *, reason: str, message: str) -> HttpResponse:
        value = {"ok": False, "reason": reason, "why": message, "term": self.term, "position": self.applied}
        return json_response(status=409, value=value)

    def _yes(self, *, rows: list[Any], position: int, wrote: bool) -> HttpResponse:
        value = {"ok": True, "rows": rows, "term": self.matched_term, "position": position, "wrote": wrote}
        return json_response(status=200, value=value)

    async def _position(self, *, body: dict[str, Any]) -> HttpResponse:
        until_us = self.ctx.now_us() + int(body.get("holdUs", 0))
        while self.received < body.get("atLeast", 0) and self.ctx.now_us() < until_us:
            try:
                async with asyncio.timeout((until_us - self.ctx.now_us()) / 1_000_000):
                    await self.grown.wait()
            except TimeoutError:
                break
        value = {
            "term": self.matched_term,
            "received": self.received,
            "applied": self.applied,
            "leads": self.is_primary,
            "incarnation": self.incarnation,
        }
        return json_response(status=200, value=value)

    async def _run(self, *, body: dict[str, Any], line: Line) -> HttpResponse:
        step, kind = body["step"], body["kind"]
        primary = kind in ("write", "primary") or step != "alone"
        if primary and (not self.is_primary or body["term"] != self.term):
            self.open.pop(line, None)
            return self._no(reason="notLeading", message="does not lead in this term")
        if not primary and body["term"] != self.matched_term:
            return self._no(reason="term", message="follows another term")
        await self.ctx.sleep(duration_us=self.ctx.rng.randrange(self.service_us // 2, self.service_us * 2))
        if not primary and body["term"] != self.matched_term:
            return self._no(reason="term", message="follows another term")
        # why: much may have changed while the statement waited for its turn on the processor
        if primary and (not self.is_primary or body["term"] != self.term):
            self.open.pop(line, None)
            return self._no(reason="notLeading", message="does not lead in this term")
        if step == "begin":
            self.open[line] = Open()
            return self._yes(rows=[], position=self.applied, wrote=False)
        if step == "rollback":
            self.open.pop(line, None)
            return self._yes(rows=[], position=self.applied, wrote=False)
        if step == "commit":
            transaction = self.open.pop(line, None)
            if transaction is None:
                return self._no(reason="noTransaction", message="no transaction on this line")
            return self._commit(writes=transaction.writes, rows=[])
        return self._statement(body=body, line=line, step=step)

    def _statement(self, *, body: dict[str, Any], line: Line, step: str) -> HttpResponse:
        transaction = self.open.get(line)
        if step == "in" and transaction is None:
            return self._no(reason="noTransaction", message="no transaction on this line")
        if step == "alone" and transaction is not None:
            self.mixed += 1
            return self._no(reason="statement", message="a transaction of another is open on this line")
        self.ran[sent_as(kind=body["kind"], text=body["text"], params=body["params"], values=body["values"])] += 1
        try:
            rows, writes = self._evaluate(body=body, own=transaction)
        except StatementError as error:
            return self._no(reason="statement", message=str(error))
        if writes and body["kind"] != "write" and step == "alone":
            return self._no(reason="statement", message="this kind only reads")
        if transaction is not None:
            transaction.writes += writes
            return self._yes(rows=rows, position=self.applied, wrote=False)
        return self._commit(writes=writes, rows=rows)

    def _evaluate(self, *, body: dict[str, Any], own: Open | None) -> tuple[list[Any], list[tuple[str, str, Any]]]:
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

    def _lock(self, *, key: str, own: Open | None) -> None:
        for other in self.open.values():
            # why: two transactions at once on one key would each build on what the other may take back
            if other is not own and any(write[1] == key for write in other.writes):
                raise StatementError(f"{key} is locked by a transaction")

    def _commit(self, *, writes: list[tuple[str, str, Any]], rows: list[Any]) -> HttpResponse:
        if not writes:
            return self._yes(rows=rows, position=self.applied, wrote=False)
        position = self.received + 1
        self._add(entries=[Entry(position=position, term=self.term, writes=tuple(writes))])
        self._apply_all()
        return self._yes(rows=rows, position=position, wrote=True)

    # ---- leading and following

    def _promote(self, *, term: int) -> HttpResponse:
        if term < self.term:
            return self._no(reason="term", message="has seen a later term")
        if not (self.is_primary and term == self.term):
            self.term, self.matched_term, self.is_primary, self.leader = term, term, True, ""
            self._save_meta()
            self.open.clear()
            self._add(entries=[Entry(position=self.received + 1, term=term, writes=())])
            self._apply_all()
        return json_response(status=200, value={"ok": True, "term": self.term})

    def _reported(self, *, term: int, leader: str) -> HttpResponse:
        if term < self.term:
            return self._no(reason="term", message="has seen a later term")
        if term > self.term:
            self.term, self.is_primary = term, False
            self._save_meta()
            self.open.clear()
        if not self.is_primary:
            self.leader = leader
        return json_response(status=200, value={"ok": True, "term": self.term})

    async def _pull(self, *, body: dict[str, Any]) -> HttpResponse:
        if not self.is_primary or body["term"] != self.term:
            return self._no(reason="notLeading", message="does not lead in this term")
        after = body["after"]
        if after > self.received or (after and self.entries[after - 1].term != body["afterTerm"]):
            return json_response(status=200, value={"ok": True, "mismatch": True, "term": self.term})
        if after == self.received:
            try:
                async with asyncio.timeout(PULL_HOLD_US / 1_000_000):
                    await self.grown.wait()
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
            if self.is_primary or not leader or self.deaf:
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
            self._take(value=result.ok.json(), term=term, after=body["after"])

    def _take(self, *, value: dict[str, Any], term: int, after: int) -> None:
        # why: the answer may belong to a term that ended while it was on its way
        if self.is_primary or self.term != term or value["term"] != term or self.received != after or self.deaf:
            return
        if value.get("mismatch"):
            last = self.entries[-1].term if self.entries else 0
            keep = len(self.entries)
            while keep and self.entries[keep - 1].term == last:
                keep -= 1
            self._cut(length=keep)
            return
        self.matched_term = term
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

    # ---- beats

    def heartbeat(self) -> dict[str, Any]:
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
        """One beat to any one daemon; if that one can't be reached, to another."""
        body = json.dumps(self.heartbeat()).encode()
        for _ in range(3):
            if self.heartbeat_channel is None or not self.heartbeat_channel.open:
                dialled = await self.ctx.net.dial(address=self.ctx.rng.choice(self.http_proxies), wait_us=250_000)
                if dialled.is_error():
                    continue
                self.heartbeat_channel = dialled.ok
            result = await self.heartbeat_channel.send_request(
                request=HttpRequest(method="POST", path="/v1/beats", body=body), wait_us=400_000
            )
            if result.is_ok():
                return
            self.heartbeat_channel.close()
