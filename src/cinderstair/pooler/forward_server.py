"""Sends other proxies' statements over this proxy's links."""

import asyncio
from collections import Counter

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.message_types import MessageType
from ..runtime.unpacker import Unpacker
from .forward_record import ForwardAnswer, ForwardQuestion, ForwardStep, Outcome, read_forward_question
from .link import Link
from .link_pool import LinkPool
from .reply import Reply, State, refusal
from .router import Router
from .session_replay import replay_values
from .statement import Verb

UNKEPT_US = 2_500_000
SINGLES = (ForwardStep.single, ForwardStep.position)
GONE = Reply(rows=[], fault=ErrorCode.TRANSACTION_LOST)


class Connection:
    """Another proxy's transaction on a link of ours. Without a link while it is being begun."""

    def __init__(self, *, question: ForwardQuestion, now_us: int) -> None:
        self.service = question.service
        self.database = question.database
        self.read_only = question.read_only
        self.opened_us = self.touched_us = now_us
        self.link: Link | None = None
        self.pool: LinkPool | None = None
        self.busy = True
        self.closed = False


class ForwardServer:
    """Owns the channels. What may be sent is decided here, by this proxy's own view, at the moment of sending."""

    def __init__(self, *, ctx: Context, router: Router, dispatcher: Dispatcher) -> None:
        self.ctx = ctx
        self.router = router
        self._life = 0
        self.connections: dict[tuple[str, int], Connection] = {}
        self.writes: Counter[str] = Counter()
        self.stopping = False
        dispatcher.add_handler(message_type=MessageType.FORWARD, handler=self.answer)

    @property
    def life(self) -> int:
        """Drawn when it is first asked for."""
        self._life = self._life or self.ctx.rng.getrandbits(62) | 1
        return self._life

    # -- what the proxy asks --

    def writing(self, *, databases: frozenset[str]) -> bool:
        """Whether anything may still be written here for others at these databases' old places."""
        held = any(not each.read_only and each.database in databases for each in self.connections.values())
        return held or any(self.writes[name] for name in databases)

    @property
    def open(self) -> int:
        return len(self.connections)

    def stop(self) -> None:
        """Takes nothing new; what runs may end."""
        self.stopping = True

    def end(self) -> None:
        """Rolls back what rests in a transaction."""
        for key, connection in list(self.connections.items()):
            if not connection.busy:
                self._close(key=key, connection=connection)

    def tend(self) -> None:
        """A transaction whose asker says nothing more of it is rolled back."""
        now_us = self.ctx.now_us()
        for key, connection in list(self.connections.items()):
            if not connection.busy and now_us - connection.touched_us > UNKEPT_US:
                self.ctx.counters.add(name="forward.unkept")
                self._close(key=key, connection=connection)

    # -- answers --

    async def answer(self, unpacker: Unpacker) -> bytes:
        question = read_forward_question(unpacker=unpacker)
        outcome, reply, unknown = Outcome.answered, Reply(rows=[]), ()  # type: Outcome, Reply, tuple[int, ...]
        if question.step == ForwardStep.hello:
            pass
        elif question.life != self.life:
            # why: its moments are by the clock of an earlier life of this daemon
            outcome, reply = self._refused(fault=CinderstairError(code=ErrorCode.NO_BACKEND, reason="begun anew"))
        elif question.step == ForwardStep.keep:
            unknown = self._keep(question=question)
        elif question.step in SINGLES:
            outcome, reply = await self._single(question=question)
        elif question.step == ForwardStep.begin:
            outcome, reply = await self._begin(question=question)
        else:
            outcome, reply = await self._next(question=question)
        self.ctx.counters.add(name=f"forward.{outcome.name}")
        return ForwardAnswer(
            life=self.life, now_us=self.ctx.now_us(), outcome=outcome, reply=reply, unknown=unknown
        ).bytes()

    def _refused(self, *, fault: CinderstairError) -> tuple[Outcome, Reply]:
        """Nothing was sent, so it may be offered elsewhere."""
        reply = refusal(kind=fault.code, come_back_us=int(fault.details.get("left_us", 0)))
        reply.not_run = True
        return Outcome.not_sent, reply

    def _keep(self, *, question: ForwardQuestion) -> tuple[int, ...]:
        unknown = []
        for number in question.connections:
            connection = self.connections.get((question.asker, number))
            if connection is None:
                unknown.append(number)
            else:
                connection.touched_us = self.ctx.now_us()
        return tuple(unknown)

    def _writes(self, *, question: ForwardQuestion) -> bool:
        return question.step == ForwardStep.single and question.statement.writes

    def may_send(self, *, question: ForwardQuestion) -> Result[LinkPool, CinderstairError]:
        """The pool over which this may be sent now. Asked when it comes, and again when it leaves."""
        # why: one that stood still, or lay in a wire, must not run when its asker has long said what became of it
        if self.ctx.now_us() >= question.until_us:
            return Error(CinderstairError(code=ErrorCode.TIME_LEFT_SPENT, reason="its time is up"))
        if self.stopping:
            return Error(CinderstairError(code=ErrorCode.DRAINING, reason="this proxy stops"))
        pool = self.router.pools.get(question.backend)
        if pool is None or pool.closed or not pool.limit:
            return Error(CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"no links to {question.backend} here"))
        if question.step == ForwardStep.position:
            return self._leads(question=question, pool=pool)
        if question.at_least is not None:
            return Ok(pool)
        route = self.router.route(database=question.database)
        if route is None or route.service != question.service:
            return Error(
                CinderstairError(
                    code=ErrorCode.MOVING, reason=f"{question.database} is elsewhere by what is known here"
                )
            )
        moving = self.router.shards.fault(database=question.database)
        if moving is not None:
            return Error(moving)
        return self._leads(question=question, pool=pool)

    def _leads(self, *, question: ForwardQuestion, pool: LinkPool) -> Result[LinkPool, CinderstairError]:
        led = self.router.may_lead(service=question.service)
        if led.is_ok() and led.ok is not pool:
            return Error(
                CinderstairError(
                    code=ErrorCode.NO_LEAD, reason=f"{question.backend} does not lead by what is known here"
                )
            )
        return led

    async def _take(self, *, question: ForwardQuestion) -> Result[tuple[LinkPool, Link], CinderstairError]:
        may = self.may_send(question=question)
        if may.is_error():
            return Error(may.error)
        pool = may.ok
        taken = await pool.acquire_own(values=question.values, rank=question.rank, until_us=question.until_us)
        if taken.is_error():
            return Error(taken.error)
        # why: a link may have been waited for, and everything may be otherwise by now
        may = self.may_send(question=question)
        if may.is_error():
            pool.release(link=taken.ok)
            return Error(may.error)
        return Ok((pool, taken.ok))

    async def _wait(self, *, future: asyncio.Future[Reply], until_us: int) -> Reply | None:
        """ConnectionError: the link is lost."""
        wait_us = max(0, until_us - self.ctx.now_us())
        done, _ = await asyncio.wait([future], timeout=wait_us / 1_000_000)
        return future.result() if done else None

    def _heard(
        self, *, question: ForwardQuestion, pool: LinkPool, requested_us: int, leads: bool, reply: Reply
    ) -> None:
        if leads:
            self.router.heard(pool=pool, service=question.service, requested_us=requested_us, reply=reply)
        else:
            pool.heard()

    def _send(self, *, question: ForwardQuestion, link: Link) -> asyncio.Future[Reply]:
        if question.step == ForwardStep.position:
            return link.ask_position()
        replay_values(link=link, values=question.values)
        statement, alias = question.statement, b""
        if statement.verb == Verb.execute:
            alias = self.router.alias(shape=question.shape, writes=statement.writes)
            if link.prepared.get(alias) != (question.shape, statement.writes):
                link.prepare(alias=alias, shape=question.shape, writes=statement.writes)
        answer = link.send(statement=statement, at_least=question.at_least, alias=alias)
        if statement.verb == Verb.commit or self._writes(question=question):
            self.router.shards.under_way.sent(database=question.database, link=link, answer=answer)
        return answer

    async def _single(self, *, question: ForwardQuestion) -> tuple[Outcome, Reply]:
        writes = self._writes(question=question)
        self.writes[question.database] += writes
        try:
            return await self._single_now(question=question)
        finally:
            self.writes[question.database] -= writes

    async def _single_now(self, *, question: ForwardQuestion) -> tuple[Outcome, Reply]:
        taken = await self._take(question=question)
        if taken.is_error():
            return self._refused(fault=taken.error)
        pool, link = taken.ok
        led = self.router.may_lead(service=question.service)
        leads, requested_us = led.is_ok() and led.ok is pool, self.ctx.now_us()
        future = self._send(question=question, link=link)
        try:
            reply = await self._wait(future=future, until_us=question.until_us)
        except ConnectionError:
            pool.release(link=link)
            return Outcome.lost, GONE
        if reply is None:
            pool.release_answered(link=link, answer=future)
            return Outcome.lost, GONE
        pool.release(link=link)
        self._heard(question=question, pool=pool, requested_us=requested_us, leads=leads, reply=reply)
        return Outcome.answered, reply

    # -- transactions --

    def _close(self, *, key: tuple[str, int], connection: Connection, keep: bool = False) -> None:
        connection.closed = True
        self.connections.pop(key, None)
        link, pool = connection.link, connection.pool
        connection.link = connection.pool = None
        if link is not None and pool is not None:
            pool.release(link=link, keep=keep)

    async def _begin(self, *, question: ForwardQuestion) -> tuple[Outcome, Reply]:
        key = (question.asker, question.connection)
        if key in self.connections:
            return Outcome.lost, GONE
        connection = self.connections[key] = Connection(question=question, now_us=self.ctx.now_us())
        begun = False
        try:
            taken = await self._take(question=question)
            if taken.is_error():
                return self._refused(fault=taken.error)
            connection.pool, connection.link = taken.ok
            if connection.closed:
                return Outcome.lost, GONE
            pool, link = taken.ok
            led = self.router.may_lead(service=question.service)
            leads, requested_us = led.is_ok() and led.ok is pool, self.ctx.now_us()
            replay_values(link=link, values=question.values)
            future = link.begin(read_only=question.read_only, at_least=question.at_least)
            reply = await self._wait(future=future, until_us=question.until_us)
            if reply is None or connection.closed:
                return Outcome.lost, GONE
            self._heard(question=question, pool=pool, requested_us=requested_us, leads=leads, reply=reply)
            begun = reply.fault is None and reply.state == State.open
            return Outcome.answered, reply
        except ConnectionError:
            return Outcome.lost, GONE
        finally:
            connection.busy, connection.touched_us = False, self.ctx.now_us()
            if not begun:
                self._close(key=key, connection=connection)

    async def _next(self, *, question: ForwardQuestion) -> tuple[Outcome, Reply]:
        """What belongs to a transaction. One that is not there any more was rolled back."""
        key = (question.asker, question.connection)
        connection = self.connections.get(key)
        if connection is None:
            return Outcome.lost, GONE
        if question.step == ForwardStep.close:
            self._close(key=key, connection=connection)
            return Outcome.answered, Reply(rows=[])
        link, pool = connection.link, connection.pool
        if (
            connection.busy
            or link is None
            or pool is None
            or not self._may_go_on(question=question, connection=connection)
        ):
            self._close(key=key, connection=connection)
            return Outcome.lost, GONE
        connection.busy = True
        ended = keep = False
        led = self.router.may_lead(service=connection.service)
        leads, requested_us = led.is_ok() and led.ok is pool, self.ctx.now_us()
        try:
            if question.step == ForwardStep.rollback:
                future = link.rollback()
            else:
                future = self._send(question=question, link=link)
            reply = await self._wait(future=future, until_us=question.until_us)
            if reply is None or connection.closed:
                ended = True
                return Outcome.lost, GONE
            self._heard(question=question, pool=pool, requested_us=requested_us, leads=leads, reply=reply)
            ended = keep = reply.state == State.idle
            return Outcome.answered, reply
        except ConnectionError:
            ended = True
            return Outcome.lost, GONE
        finally:
            connection.busy, connection.touched_us = False, self.ctx.now_us()
            if ended:
                self._close(key=key, connection=connection, keep=keep)

    def _may_go_on(self, *, question: ForwardQuestion, connection: Connection) -> bool:
        """Whether a transaction's statement may still be sent: in its time, and while its place takes it."""
        if self.ctx.now_us() >= question.until_us or connection.link is None or not connection.link.open:
            return False
        if connection.read_only or question.step == ForwardStep.rollback:
            return True
        return self.router.shards.may_end(database=connection.database, since_us=connection.opened_us)
