"""A simulated client: opens sessions, runs operations, records every response and retries as told."""

import json
from collections import Counter
from typing import Any

from ..runtime.context import Context
from ..runtime.http_request import HttpRequest
from ..runtime.http_response import HttpResponse
from ..runtime.net import Connection
from .event import Event
from .sent_statement import SentStatement, sent_statement

DIAL_WAIT_US = 500_000
TIME_LEFT_US = 2_500_000
ONCE_TIME_LEFT_US = 20_000_000
READS = ("primary", "live", "fresh")
PREPARED_NAME = "look"
TRANSACTION_OVER = ("noTransaction", "transactionLost", "handleOld")
RETRYABLE = ("sessionElsewhere", "sessionSought", "handleOld")
# Keys change with time, which bounds the length of each list
KEY_EVERY_US = 20_000_000
# Shares of operations; the rest to 1 reads or sets session values and prepares statements
MIX = {"append": 0.33, "transaction": 0.1, "primary": 0.14, "live": 0.19, "fresh": 0.15}


class Caller:
    """Runs random operations until stopped; with `once` it opens a session for each operation and closes it.

    It owns its current session and connection, the session state that it expects, and what it sent. Every operation
    is appended to `history`; sessions that were lost are kept in `losses`.
    """

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
        self.session_name = ""
        self.sessions_opened = 0
        self.http_proxy = ""
        self.values: dict[str, str] = {}
        self.prepared_key = ""
        self.step = 0
        self.sessions_lost = 0
        # (session name, time, session token, whether the client was told that only one HTTP proxy has the session)
        self.losses: list[tuple[str, int, str, bool]] = []
        self.copies = 0
        self.close_when_stopped = False
        self.stopped = False
        self.vanishes = False
        self.search_attempts = 0
        self.unreached = False
        self.sending = False
        self.sent: Counter[SentStatement] = Counter()

    def switch_http_proxy(self) -> None:
        """Uses the next HTTP proxy from now on, as a client does that has changed its site."""
        following = (
            (self.http_proxies.index(self.http_proxy) + 1) % len(self.http_proxies)
            if self.http_proxy in self.http_proxies
            else 0
        )
        self._use_http_proxy(http_proxy=self.http_proxies[following])

    def _use_http_proxy(self, *, http_proxy: str) -> None:
        # The open connection leads to the previous HTTP proxy
        if http_proxy != self.http_proxy and self.connection is not None and not self.sending:
            self.connection.close()
        if http_proxy != self.http_proxy:
            self.connection = None
        self.http_proxy = http_proxy

    async def run(self) -> None:
        """Runs operations until stopped or until `until_us`."""
        while not self.stopped and self.ctx.now_us() < self.until_us:
            if not self.session and not await self._open():
                await self.ctx.sleep(duration_us=150_000 + self.ctx.rng.randrange(150_000))
                continue
            await self._run_operation()
            if self.once and self.session:
                await self._close()
            await self.ctx.sleep(duration_us=self.ctx.rng.randrange(self.think_us // 2, self.think_us * 3 // 2))
        if self.close_when_stopped and self.session:
            await self._close()

    # ---- requests

    async def _send(self, *, event: Event, method: str, path: str, body: dict[str, Any]) -> HttpResponse | None:
        """Sends a request once and returns None without a response; a retry here would apply writes twice."""
        event.last_us = self.ctx.now_us()
        if self.connection is None or not self.connection.open:
            self.connection = None
            dialled = await self.ctx.net.dial(address=self.http_proxy, wait_us=DIAL_WAIT_US)
            # A request that was never sent can't have been dropped
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
            session=self.session_name,
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

    def _record(self, *, event: Event, response: HttpResponse | None) -> str:
        event.end_us = self.ctx.now_us()
        if response is None and self.unreached:
            event.outcome = "unreached"
        if response is not None:
            value = response.json()
            event.outcome, event.kind = value["outcome"], value.get("kind", "")
            event.rows = value.get("rows", [])
            event.retry_after_us = value.get("retryAfterUs")
            event.retry_after_s = response.headers.get("Retry-After", "")
            # The session token may change; the latest one counts
            self.session = value.get("session", self.session)
            self.copies = value.get("stands", self.copies)
        if event.kind == "sessionElsewhere" and response is not None:
            self._use_http_proxy(http_proxy=response.json()["elsewhere"][0])
            return event.outcome
        # The HTTP proxy may be down or have handed the session over; any other one can locate the session
        if response is None and self.search_attempts < len(self.http_proxies):
            self.search_attempts += 1
            self.switch_http_proxy()
            return event.outcome
        self.search_attempts = 0
        # A session is lost only if an HTTP proxy says so, or if none answers
        if self.session and response is None and self.once:
            # Such a client uses one HTTP proxy; its failure to respond doesn't mean that the session is lost
            self.session = ""
        elif self.session and (response is None or event.kind == "unknownSession"):
            self._record_loss()
        return event.outcome

    def _record_loss(self) -> None:
        self.losses.append((self.session_name, self.ctx.now_us(), self.session, self.copies < 2))
        self.session = ""
        self.sessions_lost += 1

    # ---- session state

    async def _open(self) -> bool:
        self.sessions_opened += 1
        self.session_name = f"{self.ctx.name}/{self.sessions_opened}"
        self._use_http_proxy(http_proxy=self.ctx.rng.choice(self.http_proxies))
        event = self._event(verb="open")
        response = await self._send(event=event, method="POST", path="/v1/sessions", body={"database": self.database})
        self._record(event=event, response=response)
        if response is None or response.status != 201:
            self.session = ""
            return False
        self.values, self.prepared_key = {}, ""
        return await self._set_value()

    async def _change_state(self, *, verb: str, path: str, body: dict[str, Any]) -> bool:
        """Changes session state, with retries until the outcome is known; the change is idempotent."""
        unsure = False
        for _ in range(12):
            if not self.session:
                return False
            event = self._event(verb=verb)
            full = f"/v1/sessions/{self.session}/{path}"
            response = await self._send(event=event, method="PUT", path=full, body=body)
            outcome = self._record(event=event, response=response)
            if outcome == "done":
                return True
            unsure = unsure or outcome in ("unknown", "unanswered")
            if not unsure and event.kind not in RETRYABLE:
                return False
            await self.ctx.sleep(duration_us=150_000)
        # The session state is unknown, so the session can't be used any more
        self.session = ""
        return False

    async def _set_value(self) -> bool:
        value = f"{self.session_name}/{self.ctx.rng.getrandbits(32):08x}"
        kept = await self._change_state(verb="values", path="values", body={"values": {"mine": value}})
        if kept:
            self.values = {"mine": value}
        elif not self.values:
            # Without a value of its own the session's statements can't be identified
            self.session = ""
        return kept

    async def _prepare(self) -> None:
        key = self._key()
        if await self._change_state(verb="prepare", path=f"prepared/{PREPARED_NAME}", body={"text": f"list {key}"}):
            self.prepared_key = key

    async def _close(self) -> None:
        lost = self.sessions_lost
        for _ in range(6):
            event = self._event(verb="close")
            response = await self._send(event=event, method="DELETE", path=f"/v1/sessions/{self.session}", body={})
            self._record(event=event, response=response)
            if not self.session or event.kind not in RETRYABLE:
                break
            await self.ctx.sleep(duration_us=event.retry_after_us or 0)
        # A session that was lost while it was closed doesn't count as lost
        if self.sessions_lost > lost:
            self.sessions_lost = lost
            self.losses.pop()
        self.session = ""

    # ---- operations

    def _token(self) -> str:
        self.step += 1
        return f"{self.ctx.name}.{self.step}"

    async def _statement(
        self, *, event: Event, kind: str, text: str, params: tuple[str, ...] = (), prepared: str = ""
    ) -> HttpResponse | None:
        self.sent[sent_statement(kind=kind, text=text, params=list(params), values=self.values)] += 1
        path = f"/v1/sessions/{self.session}/statements"
        body: dict[str, Any] = {"kind": kind, "params": list(params)}
        body |= {"prepared": prepared} if prepared else {"text": text}
        return await self._send(event=event, method="POST", path=path, body=body)

    def _key(self) -> str:
        return f"k{self.ctx.now_us() // KEY_EVERY_US}.{self.ctx.rng.randrange(self.keys)}"

    async def _run_operation(self) -> None:
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
            self._record(event=event, response=await self._statement(event=event, kind="primary", text="show mine"))
        elif drawn % 0.03 < 0.022:
            await self._set_value()
        else:
            await self._prepare()

    async def _append(self, *, key: str) -> None:
        token = self._token()
        event = self._event(verb="append", key=key, tokens=(token,))
        # Half of the writes use parameters; text and parameters must both reach the backend unchanged
        if self.step % 2:
            response = await self._statement(event=event, kind="write", text="append", params=(key, token))
        else:
            response = await self._statement(event=event, kind="write", text=f"append {key} {token}")
        self._record(event=event, response=response)

    async def _read(self, *, kind: str, key: str) -> None:
        prepared = bool(self.prepared_key) and self.ctx.rng.random() < 0.3
        key = self.prepared_key if prepared else key
        event = self._event(verb=kind, key=key)
        response = await self._statement(
            event=event, kind=kind, text=f"list {key}", prepared=PREPARED_NAME if prepared else ""
        )
        self._record(event=event, response=response)

    async def _rollback(self) -> None:
        """Rolls back a transaction that may still be open, so that later operations don't run inside it."""
        for _ in range(4):
            if not self.session:
                return
            event = self._event(verb="rollback")
            path = f"/v1/sessions/{self.session}/rollback"
            response = await self._send(event=event, method="POST", path=path, body={})
            self._record(event=event, response=response)
            if event.kind not in ("sessionElsewhere", "sessionSought"):
                break
            await self.ctx.sleep(duration_us=event.retry_after_us or 0)
        if event.outcome != "done" and event.kind not in TRANSACTION_OVER:
            # The transaction may still be open, so the session must not be used again
            self.session = ""

    async def _transaction(self, *, key: str) -> None:
        tokens = (self._token(), self._token())
        event = self._event(verb="transaction", key=key, tokens=tokens)
        path = f"/v1/sessions/{self.session}/begin"
        response = await self._send(event=event, method="POST", path=path, body={})
        if response is None or response.status != 200:
            self._record(event=event, response=response)
            await self._fail_transaction(event=event, response=response)
            return
        for token in tokens:
            response = await self._statement(event=event, kind="write", text=f"append {key} {token}")
            if response is None or response.status != 200:
                self._record(event=event, response=response)
                await self._fail_transaction(event=event, response=response)
                return
        if self.vanishes:
            # A client that died sends nothing more; its HTTP proxy has to detect that
            event.outcome, event.end_us, self.session, self.connection = "denied", self.ctx.now_us(), "", None
            return
        path = f"/v1/sessions/{self.session}/commit"
        response = await self._send(event=event, method="POST", path=path, body={})
        self._record(event=event, response=response)
        # The HTTP proxy doesn't have the session, so the commit had no effect
        if event.kind in ("sessionElsewhere", "sessionSought"):
            await self._rollback()

    async def _fail_transaction(self, *, event: Event, response: HttpResponse | None) -> None:
        """Records a transaction that failed before its commit, which can't have been applied, and rolls it back."""
        dropped = response is None and not self.unreached
        event.outcome = "cutOff" if dropped else "denied"
        if dropped or event.kind not in ("noLead", "moving", "notInSync", "noBackend", "crowded", "transactionLost"):
            await self._rollback()
