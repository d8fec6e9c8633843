"""A stand-in for a client: opens a session, works, notes every answer, comes back when it is told to."""

import json
from typing import Any

from ..pitch.context import Context
from ..pitch.httpjob import HttpJob
from ..pitch.httpresponse import HttpResponse
from ..pitch.net import Channel
from .event import Event

DIAL_WAIT_US = 500_000
TIME_LEFT_US = 2_500_000


class Caller:
    def __init__(
        self,
        *,
        ctx: Context,
        stalls: list[str],
        database: str,
        history: list[Event],
        thinkUs: int = 300_000,
        keys: int = 3,
        untilUs: int = 1 << 62,
    ) -> None:
        self.ctx = ctx
        self.stalls = stalls
        self.database = database
        self.history = history
        self.thinkUs = thinkUs
        self.keys = keys
        self.untilUs = untilUs
        self.channel: Channel | None = None
        self.session = ""
        self.stall = ""
        self.value = ""
        self.step = 0
        self.sessionsLost = 0
        self.stopped = False
        self.abandons = False
        self.lookedFor = 0
        self.unreached = False
        self.sent: set[str] = set()

    def moveOn(self) -> None:
        """Goes to the next stall, as a client does that has changed its site, and asks there for its session."""
        following = (self.stalls.index(self.stall) + 1) % len(self.stalls) if self.stall in self.stalls else 0
        self.stall, self.channel = self.stalls[following], None

    async def run(self) -> None:
        while not self.stopped and self.ctx.nowUs() < self.untilUs:
            if not self.session and not await self._open():
                await self.ctx.rest(waitUs=150_000 + self.ctx.luck.randrange(150_000))
                continue
            await self._one()
            await self.ctx.rest(waitUs=self.ctx.luck.randrange(self.thinkUs // 2, self.thinkUs * 3 // 2))

    async def _send(
        self, *, method: str, path: str, body: dict[str, Any], timeLeftUs: int = TIME_LEFT_US
    ) -> HttpResponse | None:
        """One try and no more: a client that sends again by itself would break the rules it checks."""
        if self.channel is None or not self.channel.open:
            self.channel = None
            dialled = await self.ctx.net.dial(address=self.stall, waitUs=DIAL_WAIT_US)
            # why: a stall that isn't there has dropped nothing
            self.unreached = dialled.is_error()
            if dialled.is_error():
                return None
            self.channel = dialled.ok
        self.unreached = False
        data = json.dumps({**body, "timeLeftUs": timeLeftUs}).encode()
        result = await self.channel.passJob(
            job=HttpJob(method=method, path=path, body=data), waitUs=timeLeftUs + 1_000_000
        )
        if result.is_error():
            self.channel = None
            return None
        return result.ok

    async def _open(self) -> bool:
        self.stall = self.ctx.luck.choice(self.stalls)
        response = await self._send(method="POST", path="/v1/sessions", body={"database": self.database})
        if response is None or response.status != 201:
            return False
        self.session = response.json()["session"]
        self.value = f"v{self.ctx.luck.getrandbits(32):08x}"
        path = f"/v1/sessions/{self.session}/values"
        kept = await self._send(method="PUT", path=path, body={"values": {"mine": self.value}})
        if kept is None or kept.status != 200:
            self.session = ""
        return bool(self.session)

    def _note(self, *, event: Event, response: HttpResponse | None) -> str:
        event.endUs = self.ctx.nowUs()
        event.stall = self.stall
        if response is None and self.unreached:
            event.outcome = "unreached"
        if response is not None:
            value = response.json()
            event.outcome, event.kind = value["outcome"], value.get("kind", "")
            event.rows = value.get("rows", [])
        if event.kind == "sessionElsewhere" and response is not None:
            self.stall, self.channel = response.json()["elsewhere"][0], None
            return event.outcome
        # why: its stall may have stopped in order and handed the session on; any other stall knows where to
        if response is None and self.lookedFor < len(self.stalls):
            self.lookedFor += 1
            following = (self.stalls.index(self.stall) + 1) % len(self.stalls) if self.stall in self.stalls else 0
            self.stall, self.channel = self.stalls[following], None
            return event.outcome
        self.lookedFor = 0
        # why: a session is gone only when its stall says so, or can't be asked any more
        if response is None or event.kind == "unknownSession":
            self.session = ""
            self.sessionsLost += 1
        return event.outcome

    def _event(self, *, verb: str, key: str, tokens: tuple[str, ...] = ()) -> Event:
        event = Event(
            caller=self.ctx.name,
            session=self.session,
            verb=verb,
            key=key,
            tokens=tokens,
            startUs=self.ctx.nowUs(),
            timeLeftUs=TIME_LEFT_US,
        )
        self.history.append(event)
        return event

    def _token(self) -> str:
        self.step += 1
        return f"{self.ctx.name}.{self.step}"

    async def _statement(self, *, kind: str, text: str) -> HttpResponse | None:
        self.sent.add(text)
        path = f"/v1/sessions/{self.session}/statements"
        return await self._send(method="POST", path=path, body={"kind": kind, "text": text})

    async def _one(self) -> None:
        key = f"k{self.ctx.luck.randrange(self.keys)}"
        drawn = self.ctx.luck.random()
        if drawn < 0.35:
            token = self._token()
            event = self._event(verb="append", key=key, tokens=(token,))
            self._note(event=event, response=await self._statement(kind="write", text=f"append {key} {token}"))
        elif drawn < 0.45:
            await self._transaction(key=key)
        elif drawn < 0.5:
            event = self._event(verb="show", key=self.value)
            self._note(event=event, response=await self._statement(kind="primary", text="show mine"))
        else:
            kind = "primary" if drawn < 0.65 else "live" if drawn < 0.85 else "fresh"
            event = self._event(verb=kind, key=key)
            self._note(event=event, response=await self._statement(kind=kind, text=f"list {key}"))

    async def _rollback(self) -> None:
        """Ends the transaction where the session is; a client that left it open would go on inside it unawares."""
        for _ in range(3):
            if not self.session:
                return
            response = await self._send(method="POST", path=f"/v1/sessions/{self.session}/rollback", body={})
            value = {} if response is None else response.json()
            if value.get("kind") != "sessionElsewhere":
                break
            self.stall, self.channel = value["elsewhere"][0], None
        if response is None or response.status not in (200, 409):
            # why: a client that can't tell whether its transaction is over must not use the session again
            self.session = ""

    async def _transaction(self, *, key: str) -> None:
        tokens = (self._token(), self._token())
        event = self._event(verb="transaction", key=key, tokens=tokens)
        path = f"/v1/sessions/{self.session}"
        response = await self._send(method="POST", path=f"{path}/begin", body={})
        if response is None or response.status != 200:
            self._note(event=event, response=response)
            # why: without a begin nothing can have been kept, whatever became of the answer
            event.outcome = "denied"
            return
        for token in tokens:
            response = await self._statement(kind="write", text=f"append {key} {token}")
            if response is None or response.status != 200:
                self._note(event=event, response=response)
                event.outcome = "denied"
                await self._rollback()
                return
        if self.abandons:
            # why: a client that died says nothing more, and its stall has to notice by itself
            event.outcome, event.endUs, self.session, self.channel = "denied", self.ctx.nowUs(), "", None
            return
        response = await self._send(method="POST", path=f"{path}/commit", body={})
        self._note(event=event, response=response)
        # why: a commit that was sent to a stall that no longer has the session has ended nothing
        if event.kind == "sessionElsewhere":
            await self._rollback()
