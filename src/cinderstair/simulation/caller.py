"""A stand-in for a client: opens a session, works, notes every answer, comes back when it is told to."""

import json
from collections import Counter
from typing import Any

from ..runtime.context import Context
from ..runtime.http_request import HttpRequest
from ..runtime.http_response import HttpResponse
from ..runtime.net import Connection
from .event import Event
from .sent import Sent, sent_as

DIAL_WAIT_US = 500_000
TIME_LEFT_US = 2_500_000
PATIENT_US = 20_000_000
READS = ("primary", "live", "fresh")
LOOK = "look"
ENDED = ("noTransaction", "transactionLost", "handleOld")
AGAIN = ("sessionElsewhere", "sessionSought", "handleOld")
# why: keys change with time, so that over a long day none grows without end
KEY_EVERY_US = 20_000_000
# why: what is left of one goes to showing, setting and preparing
MIX = {"append": 0.33, "transaction": 0.1, "primary": 0.14, "live": 0.19, "fresh": 0.15}


class Caller:
    """With `once` it is one of those who open a session at one HTTP proxy, do a single job, and close."""

    def __init__(
        self,
        *,
        ctx: Context,
        http_proxies: list[str],
        database: str,
        history: list[Event],
        think_us: int = 300_000,
        keys: int = 3,
        until_us: int = 1 << 62,
        once: bool = False,
        time_left_us: int = TIME_LEFT_US,
        mix: dict[str, float] | None = None,
    ) -> None:
        self.ctx = ctx
        self.http_proxies = http_proxies
        self.database = database
        self.history = history
        self.think_us = think_us
        self.keys = keys
        self.until_us = until_us
        self.once = once
        self.time_left_us = time_left_us
        self.mix = mix or MIX
        self.connection: Connection | None = None
        self.session = ""
        self.life = ""
        self.lives = 0
        self.http_proxy = ""
        self.values: dict[str, str] = {}
        self.looks_at = ""
        self.step = 0
        self.sessions_lost = 0
        # why: each with its time, its handle, and whether it had been told that it stands on one HTTP proxy
        self.losses: list[tuple[str, int, str, bool]] = []
        self.stands = 0
        self.closes = False
        self.stopped = False
        self.abandons = False
        self.looked_for = 0
        self.unreached = False
        self.sending = False
        self.sent: Counter[Sent] = Counter()

    def move_on(self) -> None:
        """Goes to the next HTTP proxy, as a client does that has changed its site, and asks there for its session."""
        following = (
            (self.http_proxies.index(self.http_proxy) + 1) % len(self.http_proxies)
            if self.http_proxy in self.http_proxies
            else 0
        )
        self._go_to(http_proxy=self.http_proxies[following])

    def _go_to(self, *, http_proxy: str) -> None:
        # why: the channel goes to the HTTP proxy that it was opened to, wherever the client goes
        if http_proxy != self.http_proxy and self.connection is not None and not self.sending:
            self.connection.close()
        if http_proxy != self.http_proxy:
            self.connection = None
        self.http_proxy = http_proxy

    async def run(self) -> None:
        while not self.stopped and self.ctx.now_us() < self.until_us:
            if not self.session and not await self._open():
                await self.ctx.sleep(duration_us=150_000 + self.ctx.rng.randrange(150_000))
                continue
            await self._one()
            if self.once and self.session:
                await self._close()
            await self.ctx.sleep(duration_us=self.ctx.rng.randrange(self.think_us // 2, self.think_us * 3 // 2))
        if self.closes and self.session:
            await self._close()

    # ---- one job

    async def _send(self, *, event: Event, method: str, path: str, body: dict[str, Any]) -> HttpResponse | None:
        """One try and no more: a client that sends again by itself would break the rules it checks."""
        event.last_us = self.ctx.now_us()
        if self.connection is None or not self.connection.open:
            self.connection = None
            dialled = await self.ctx.net.dial(address=self.http_proxy, wait_us=DIAL_WAIT_US)
            # why: an HTTP proxy that isn't there has dropped nothing
            self.unreached = dialled.is_error()
            if dialled.is_error():
                return None
            self.connection = dialled.ok
            event.last_us = self.ctx.now_us()
        self.unreached = False
        data = json.dumps({**body, "timeLeftUs": self.time_left_us}).encode()
        self.sending, event.http_proxy = True, self.http_proxy
        result = await self.connection.send_request(
            request=HttpRequest(method=method, path=path, body=data), wait_us=self.time_left_us + 1_000_000
        )
        self.sending = False
        if result.is_error():
            self.connection = None
            return None
        return result.ok

    def _event(self, *, verb: str, key: str = "", tokens: tuple[str, ...] = ()) -> Event:
        event = Event(
            caller=self.ctx.name,
            session=self.life,
            database=self.database,
            verb=verb,
            key=key,
            tokens=tokens,
            start_us=self.ctx.now_us(),
            time_left_us=self.time_left_us,
            http_proxy=self.http_proxy,
        )
        self.history.append(event)
        return event

    def _note(self, *, event: Event, response: HttpResponse | None) -> str:
        event.end_us = self.ctx.now_us()
        if response is None and self.unreached:
            event.outcome = "unreached"
        if response is not None:
            value = response.json()
            event.outcome, event.kind = value["outcome"], value.get("kind", "")
            event.rows = value.get("rows", [])
            event.retry_after_us = value.get("retryAfterUs")
            event.retry_after_s = response.headers.get("Retry-After", "")
            # why: the handle of a session may change; the newest one that was told counts
            self.session = value.get("session", self.session)
            self.stands = value.get("stands", self.stands)
        if event.kind == "sessionElsewhere" and response is not None:
            self._go_to(http_proxy=response.json()["elsewhere"][0])
            return event.outcome
        # why: its HTTP proxy may be gone, or have handed the session on; any other HTTP proxy knows where to
        if response is None and self.looked_for < len(self.http_proxies):
            self.looked_for += 1
            self.move_on()
            return event.outcome
        self.looked_for = 0
        # why: a session is gone only when its HTTP proxy says so, or can't be asked any more
        if self.session and response is None and self.once:
            # why: it knows one HTTP proxy only, so that it can't reach it says nothing of its session
            self.session = ""
        elif self.session and (response is None or event.kind == "unknownSession"):
            self._lose()
        return event.outcome

    def _lose(self) -> None:
        self.losses.append((self.life, self.ctx.now_us(), self.session, self.stands < 2))
        self.session = ""
        self.sessions_lost += 1

    # ---- what a session keeps

    async def _open(self) -> bool:
        self.lives += 1
        self.life = f"{self.ctx.name}/{self.lives}"
        self._go_to(http_proxy=self.ctx.rng.choice(self.http_proxies))
        event = self._event(verb="open")
        response = await self._send(event=event, method="POST", path="/v1/sessions", body={"database": self.database})
        self._note(event=event, response=response)
        if response is None or response.status != 201:
            self.session = ""
            return False
        self.values, self.looks_at = {}, ""
        return await self._set_value()

    async def _keep(self, *, verb: str, path: str, body: dict[str, Any]) -> bool:
        """A change of what the session keeps, again until it is sure; a client may repeat what changes nothing."""
        unsure = False
        for _ in range(12):
            if not self.session:
                return False
            event = self._event(verb=verb)
            full = f"/v1/sessions/{self.session}/{path}"
            response = await self._send(event=event, method="PUT", path=full, body=body)
            outcome = self._note(event=event, response=response)
            if outcome == "done":
                return True
            unsure = unsure or outcome in ("unknown", "unanswered")
            if not unsure and event.kind not in AGAIN:
                return False
            await self.ctx.sleep(duration_us=150_000)
        # why: a client that does not know what its session keeps can't go on with it
        self.session = ""
        return False

    async def _set_value(self) -> bool:
        value = f"{self.life}/{self.ctx.rng.getrandbits(32):08x}"
        kept = await self._keep(verb="values", path="values", body={"values": {"mine": value}})
        if kept:
            self.values = {"mine": value}
        elif not self.values:
            # why: without a value of its own its statements can't be told from others'
            self.session = ""
        return kept

    async def _prepare(self) -> None:
        key = self._key()
        if await self._keep(verb="prepare", path=f"prepared/{LOOK}", body={"text": f"list {key}"}):
            self.looks_at = key

    async def _close(self) -> None:
        lost = self.sessions_lost
        for _ in range(6):
            event = self._event(verb="close")
            response = await self._send(event=event, method="DELETE", path=f"/v1/sessions/{self.session}", body={})
            self._note(event=event, response=response)
            if not self.session or event.kind not in AGAIN:
                break
            await self.ctx.sleep(duration_us=event.retry_after_us or 0)
        # why: who closes does not miss a session that is gone already
        if self.sessions_lost > lost:
            self.sessions_lost = lost
            self.losses.pop()
        self.session = ""

    # ---- work

    def _token(self) -> str:
        self.step += 1
        return f"{self.ctx.name}.{self.step}"

    async def _statement(
        self, *, event: Event, kind: str, text: str, params: tuple[str, ...] = (), prepared: str = ""
    ) -> HttpResponse | None:
        self.sent[sent_as(kind=kind, text=text, params=list(params), values=self.values)] += 1
        path = f"/v1/sessions/{self.session}/statements"
        body: dict[str, Any] = {"kind": kind, "params": list(params)}
        body |= {"prepared": prepared} if prepared else {"text": text}
        return await self._send(event=event, method="POST", path=path, body=body)

    def _key(self) -> str:
        return f"k{self.ctx.now_us() // KEY_EVERY_US}.{self.ctx.rng.randrange(self.keys)}"

    async def _one(self) -> None:
        key, drawn, verb = self._key(), self.ctx.rng.random(), ""
        for each, share in self.mix.items():
            drawn -= share
            if drawn < 0:
                verb = each
                break
        if verb == "append":
            await self._append(key=key)
        elif verb == "transaction":
            await self._transaction(key=key)
        elif verb:
            await self._read(kind=verb, key=key)
        elif self.once or drawn % 0.03 < 0.015:
            event = self._event(verb="show", key=self.values["mine"])
            self._note(event=event, response=await self._statement(event=event, kind="primary", text="show mine"))
        elif drawn % 0.03 < 0.022:
            await self._set_value()
        else:
            await self._prepare()

    async def _append(self, *, key: str) -> None:
        token = self._token()
        event = self._event(verb="append", key=key, tokens=(token,))
        # why: half of them give what they write as params, since both must reach the backend unchanged
        if self.step % 2:
            response = await self._statement(event=event, kind="write", text="append", params=(key, token))
        else:
            response = await self._statement(event=event, kind="write", text=f"append {key} {token}")
        self._note(event=event, response=response)

    async def _read(self, *, kind: str, key: str) -> None:
        prepared = bool(self.looks_at) and self.ctx.rng.random() < 0.3
        key = self.looks_at if prepared else key
        event = self._event(verb=kind, key=key)
        response = await self._statement(
            event=event, kind=kind, text=f"list {key}", prepared=LOOK if prepared else ""
        )
        self._note(event=event, response=response)

    async def _rollback(self) -> None:
        """Ends the transaction where the session is; a client that left it open would go on inside it unawares."""
        for _ in range(4):
            if not self.session:
                return
            event = self._event(verb="rollback")
            path = f"/v1/sessions/{self.session}/rollback"
            response = await self._send(event=event, method="POST", path=path, body={})
            self._note(event=event, response=response)
            if event.kind not in ("sessionElsewhere", "sessionSought"):
                break
            await self.ctx.sleep(duration_us=event.retry_after_us or 0)
        if event.outcome != "done" and event.kind not in ENDED:
            # why: a client that can't tell whether its transaction is over must not use the session again
            self.session = ""

    async def _transaction(self, *, key: str) -> None:
        tokens = (self._token(), self._token())
        event = self._event(verb="transaction", key=key, tokens=tokens)
        path = f"/v1/sessions/{self.session}/begin"
        response = await self._send(event=event, method="POST", path=path, body={})
        if response is None or response.status != 200:
            self._note(event=event, response=response)
            await self._ended(event=event, response=response)
            return
        for token in tokens:
            response = await self._statement(event=event, kind="write", text=f"append {key} {token}")
            if response is None or response.status != 200:
                self._note(event=event, response=response)
                await self._ended(event=event, response=response)
                return
        if self.abandons:
            # why: a client that died says nothing more, and its HTTP proxy has to notice by itself
            event.outcome, event.end_us, self.session, self.connection = "denied", self.ctx.now_us(), "", None
            return
        path = f"/v1/sessions/{self.session}/commit"
        response = await self._send(event=event, method="POST", path=path, body={})
        self._note(event=event, response=response)
        # why: a commit that was sent to an HTTP proxy that does not have the session has ended nothing
        if event.kind in ("sessionElsewhere", "sessionSought"):
            await self._rollback()

    async def _ended(self, *, event: Event, response: HttpResponse | None) -> None:
        """Without a commit nothing can have been kept, whatever became of the answer."""
        dropped = response is None and not self.unreached
        event.outcome = "cutOff" if dropped else "denied"
        if dropped or event.kind not in ("noLead", "moving", "notInSync", "noBackend", "crowded", "transactionLost"):
            await self._rollback()
