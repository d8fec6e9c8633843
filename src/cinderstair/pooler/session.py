"""One client's session: a connection, its values, its prepared statements, and the transaction it is in."""

import asyncio

from expression import Error, Ok, Result

from ..config.service_plan import Consistency, DatabaseRoute
from ..runtime.context import Context
from ..runtime.error_responses import ERROR_RESPONSES
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.position import Position
from .link import Link
from .link_pool import LinkPool
from .reply import Reply, State, refusal
from .router import Router
from .session_replay import replay_values
from .statement import Statement, Verb

HEDGE_US = 260_000
ANSWER_US = 30_000
PAUSE_US = 15_000
TRIES = 4
ENDS = (Verb.commit, Verb.rollback)
NOTHING: dict[bytes, bytes] = {}


class Transaction:
    """Begun towards the client at once, and towards a backend while the client thinks."""

    def __init__(self, *, route: DatabaseRoute, read_only: bool, arrived_us: int) -> None:
        self.route = route
        self.read_only = read_only
        self.arrived_us = arrived_us
        self.link: Link | None = None
        self.pool: LinkPool | None = None
        self.begun: asyncio.Task[Result[Link, CinderstairError]] | None = None
        self.requested = False
        self.used = False
        self.wrote = False
        self.touched_us = arrived_us


class Session:
    """Statements come one at a time; the adapter sees to that."""

    def __init__(self, *, ctx: Context, router: Router, database: str) -> None:
        self.ctx = ctx
        self.router = router
        self.database = database
        self.values: dict[bytes, bytes] = {}
        self.shapes: dict[bytes, tuple[bytes, bool]] = {}
        self.state = State.idle
        # why: a position says nothing of another service's log
        self.own: tuple[str, Position] | None = None
        self.transaction: Transaction | None = None
        self.busy = False

    def route(self) -> DatabaseRoute | None:
        return self.router.route(database=self.database)

    @property
    def holds_open(self) -> bool:
        """Whether a backend was asked to begin a transaction that may write, and none has ended it yet."""
        return self.transaction is not None and not self.transaction.read_only and self.transaction.requested

    async def run(self, *, statement: Statement) -> Reply:
        """The answer to one statement. Its state is the session's from then on."""
        self.busy = True
        try:
            reply = await self._run(statement=statement)
        finally:
            self.busy = False
        self.state = reply.state
        if self.transaction is not None:
            self.transaction.touched_us = self.ctx.now_us()
        if reply.fault is not None:
            self.ctx.counters.add(name=f"refused.{reply.native.decode(errors='replace') or reply.fault.value}")
        return reply

    async def _run(self, *, statement: Statement) -> Reply:
        verb = statement.verb
        if self.state == State.failed and verb not in ENDS:
            return refusal(kind=ErrorCode.TRANSACTION_FAILED, state=State.failed)
        if verb in (Verb.set_value, Verb.prepare, Verb.forget):
            return self._remember(statement=statement)
        if verb in (Verb.begin, Verb.begin_read):
            return self._begin(read_only=verb == Verb.begin_read)
        if verb in ENDS:
            return await self._end(statement=statement)
        if verb == Verb.execute and statement.name not in self.shapes:
            return self._failed(kind=ErrorCode.UNKNOWN_PREPARED)
        if self.transaction is not None:
            return await self._inside(statement=statement)
        return await self._single(statement=statement)

    def _failed(self, *, kind: ErrorCode, come_back_us: int = 0) -> Reply:
        """Nothing was done; inside a transaction that fails it."""
        state = State.idle if self.transaction is None else State.failed
        return refusal(kind=kind, state=state, come_back_us=come_back_us)

    def _remember(self, *, statement: Statement) -> Reply:
        """Values and prepared statements are the session's; a link is brought up to them when it is used."""
        if statement.verb == Verb.set_value:
            self.values = {**self.values, statement.name: statement.content}
        elif statement.verb == Verb.prepare:
            self.shapes[statement.name] = (statement.content, statement.writes)
        elif self.shapes.pop(statement.name, None) is None:
            return self._failed(kind=ErrorCode.UNKNOWN_PREPARED)
        return Reply(rows=[], state=self.state)

    def _writes(self, *, statement: Statement) -> bool:
        if statement.verb == Verb.execute:
            return self.shapes[statement.name][1]
        return statement.verb == Verb.write

    def _level(self, *, link: Link) -> None:
        """Brings a link that nobody else uses to this session's values."""
        replay_values(link=link, values=self.values)

    def _send(self, *, link: Link, statement: Statement, at_least: Position | None) -> asyncio.Future[Reply]:
        self._level(link=link)
        alias = b""
        if statement.verb == Verb.execute:
            shape, writes = self.shapes[statement.name]
            alias = self.router.alias(shape=shape, writes=writes)
            if link.prepared.get(alias) != (shape, writes):
                link.prepare(alias=alias, shape=shape, writes=writes)
        answer = link.send(statement=statement, at_least=at_least, alias=alias)
        transaction = self.transaction
        lands = self._writes(statement=statement) if transaction is None else statement.verb == Verb.commit
        if lands and (transaction is None or not transaction.read_only):
            self.router.shards.under_way.sent(database=self.database, link=link, answer=answer)
        return answer

    async def _answer(self, *, future: asyncio.Future[Reply], until_us: int) -> Reply | None:
        """The answer, or None where the time is up first. ConnectionError: the link is lost."""
        wait_us = max(0, until_us - self.ctx.now_us())
        done, _ = await asyncio.wait([future], timeout=wait_us / 1_000_000)
        return future.result() if done else None

    # -- single statements --

    async def _single(self, *, statement: Statement) -> Reply:
        route = self.route()
        if route is None:
            return refusal(kind=ErrorCode.UNKNOWN_DATABASE)
        arrived_us = self.ctx.now_us()
        until_us = arrived_us + route.time_limit_us - ANSWER_US
        if self._writes(statement=statement):
            return await self._write(statement=statement, route=route, until_us=until_us)
        return await self._read(statement=statement, route=route, arrived_us=arrived_us, until_us=until_us)

    def _refused(self, *, fault: CinderstairError) -> Reply:
        """What nothing was done about, with the time to come back where one is known."""
        come_back_us = int(fault.details.get("left_us", ERROR_RESPONSES[fault.code].retry_after_us))
        return self._failed(kind=fault.code, come_back_us=come_back_us)

    async def _write(self, *, statement: Statement, route: DatabaseRoute, until_us: int) -> Reply:
        fault = CinderstairError(code=ErrorCode.NO_BACKEND, reason="not tried")
        for number in range(TRIES):
            route = await self._placed(route=route, until_us=until_us)
            moving = self.router.shards.fault(database=route.database)
            if moving is not None:
                return self._refused(fault=moving)
            led = await self.router.primary(service=route.service, until_us=until_us)
            if led.is_error():
                return self._refused(fault=led.error)
            pool = led.ok
            taken = await pool.acquire(values=self.values, rank=route.rank, until_us=until_us, database=self.database)
            if taken.is_error():
                fault = taken.error
                if fault.code == ErrorCode.OVERLOADED:
                    break
                await self._pause(number=number, until_us=until_us)
                continue
            link = taken.ok
            # why: the lead may have moved while a link was waited for, and a write must not reach the old one
            if self.router.may_lead(service=route.service) != led or not self._still(route=route):
                pool.release(link=link)
                continue
            requested_us = self.ctx.now_us()
            future = self._send(link=link, statement=statement, at_least=None)
            try:
                reply = await self._answer(future=future, until_us=until_us)
            except ConnectionError:
                pool.release(link=link)
                return refusal(kind=ErrorCode.OUTCOME_UNKNOWN)
            except asyncio.CancelledError:
                pool.release(link=link, keep=False)
                raise
            if reply is None:
                pool.release_answered(link=link, answer=future)
                return refusal(kind=ErrorCode.OUTCOME_UNKNOWN)
            pool.release(link=link)
            self.router.heard(pool=pool, service=route.service, requested_us=requested_us, reply=reply)
            if not reply.not_run:
                if reply.fault is None and reply.position is not None:
                    self.own = (route.service, reply.position)
                return self._idle(reply=reply)
            fault = CinderstairError(code=ErrorCode.OVERLOADED, reason="the backend did not run it")
            if number + 1 < TRIES and self.ctx.now_us() + PAUSE_US < until_us:
                self.router.view.hurry()
                await self._pause(number=number, until_us=until_us)
                continue
            return self._idle(reply=reply)
        return self._refused(fault=fault)

    async def _placed(self, *, route: DatabaseRoute, until_us: int) -> DatabaseRoute:
        """The route as it is once a change of its place is over, where that is expected in time."""
        while True:
            moving = self.router.shards.fault(database=route.database)
            left_us = 0 if moving is None else int(moving.details["left_us"])
            if moving is None or self.ctx.now_us() + left_us >= until_us:
                return self.route() or route
            await self.router.view.change(until_us=until_us)

    def _still(self, *, route: DatabaseRoute) -> bool:
        """Whether this is the database's place yet, and takes everything; asked right before a statement leaves."""
        now = self.route()
        return (
            now is not None and now.service == route.service and not self.router.shards.fault(database=self.database)
        )

    def _idle(self, *, reply: Reply) -> Reply:
        # why: a single statement that fails leaves no transaction behind, whatever a backend calls its state
        reply.state = State.idle
        return reply

    async def _pause(self, *, number: int, until_us: int) -> None:
        wait_us = self.ctx.rng.randrange(PAUSE_US, PAUSE_US << (number + 1))
        await self.ctx.sleep(duration_us=max(0, min(wait_us, until_us - self.ctx.now_us())))

    def _places(
        self, *, route: DatabaseRoute, arrived_us: int
    ) -> tuple[list[tuple[LinkPool, Position | None]], CinderstairError | None]:
        """Where a read may go, best first, each with the position that its log must have."""
        if route.consistency != Consistency.primary:
            own = self.own[1] if self.own is not None and self.own[0] == route.service else None
            own = own if route.consistency == Consistency.session else None
            guard = self.router.guard(route=route, arrived_us=arrived_us, own=own)
            if guard.is_ok():
                readers = self.router.readers(service=route.service)
                if readers:
                    return [(pool, guard.ok) for pool in readers], None
        moving = self.router.shards.fault(database=route.database)
        if moving is not None:
            return [], moving
        led = self.router.may_lead(service=route.service)
        return ([(led.ok, None)], None) if led.is_ok() else ([], led.error)

    async def _read(self, *, statement: Statement, route: DatabaseRoute, arrived_us: int, until_us: int) -> Reply:
        """Offers a read to one place after another; the first success counts, a silent place is not waited for."""
        under_way: set[asyncio.Task[Reply | CinderstairError]] = set()
        fault: CinderstairError | None = None
        refused: Reply | None = None
        tried: set[str] = set()
        failures = 0
        try:
            while True:
                now_us = self.ctx.now_us()
                route = self.route() or route
                places, none = self._places(route=route, arrived_us=arrived_us)
                if places and len(under_way) < 2 and failures < 2 * TRIES:
                    place = self._untried(places=places, tried=tried)
                    work = self._read_at(statement=statement, route=route, place=place, until_us=until_us)
                    under_way.add(self.ctx.spawn(work=work, name="read"))
                elif not under_way:
                    fault = (
                        fault or none or CinderstairError(code=ErrorCode.NO_BACKEND, reason="no backend to read from")
                    )
                    left_us = int(fault.details.get("left_us", 50_000))
                    if failures >= 2 * TRIES or now_us + left_us >= until_us:
                        return refused or self._refused(fault=fault)
                    await self.router.view.change(until_us=until_us)
                    fault = None
                    continue
                wait_us = min(until_us - now_us, HEDGE_US if len(under_way) < 2 else until_us - now_us)
                done, under_way = await asyncio.wait(
                    under_way, timeout=max(0, wait_us) / 1_000_000, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    result = task.result()
                    if isinstance(result, Reply):
                        if result.fault is None or not (result.not_run or result.retriable):
                            return self._idle(reply=result)
                        refused = self._idle(reply=result)
                    else:
                        fault = result
                    failures += 1
                if self.ctx.now_us() >= until_us:
                    return refusal(kind=ErrorCode.TIME_LEFT_SPENT)
                if done and not under_way:
                    await self._pause(number=min(failures, TRIES) - 1, until_us=until_us)
        finally:
            for task in under_way:
                task.cancel()

    def _untried(
        self, *, places: list[tuple[LinkPool, Position | None]], tried: set[str]
    ) -> tuple[LinkPool, Position | None]:
        """The best place that this statement was not offered to yet; once all were, all may be again."""
        # why: their order changes with their load, so a place is known by its name and not by its number
        if all(pool.backend.name in tried for pool, _ in places):
            tried.clear()
        place = next(place for place in places if place[0].backend.name not in tried)
        tried.add(place[0].backend.name)
        return place

    async def _read_at(
        self,
        *,
        statement: Statement,
        route: DatabaseRoute,
        place: tuple[LinkPool, Position | None],
        until_us: int,
    ) -> Reply | CinderstairError:
        pool, at_least = place
        taken = await pool.acquire(values=self.values, rank=route.rank, until_us=until_us, database=self.database)
        if taken.is_error():
            return taken.error
        link = taken.ok
        led = self.router.may_lead(service=route.service)
        leads = led.is_ok() and led.ok is pool
        # why: without a guard only the surely leading primary will do, and that may have changed meanwhile
        if at_least is None and not (leads and self._still(route=route)):
            pool.release(link=link)
            return CinderstairError(code=ErrorCode.NO_LEAD, reason="the lead moved meanwhile")
        requested_us = self.ctx.now_us()
        future = self._send(link=link, statement=statement, at_least=at_least)
        try:
            reply = await asyncio.shield(future)
        except ConnectionError:
            pool.release(link=link)
            return CinderstairError(code=ErrorCode.WIRE_UNSURE, reason="the link was lost")
        except asyncio.CancelledError:
            # why: to close it would break off a backend at work, and cost a new link besides
            pool.release_answered(link=link, answer=future)
            raise
        pool.release(link=link)
        if leads:
            self.router.heard(pool=pool, service=route.service, requested_us=requested_us, reply=reply)
        else:
            pool.heard()
        return reply

    # -- transactions --

    def _begin(self, *, read_only: bool) -> Reply:
        if self.transaction is not None:
            return self._failed(kind=ErrorCode.IN_TRANSACTION)
        route = self.route()
        if route is None:
            return refusal(kind=ErrorCode.UNKNOWN_DATABASE)
        transaction = Transaction(route=route, read_only=read_only, arrived_us=self.ctx.now_us())
        self.transaction = transaction
        transaction.begun = self.ctx.spawn(work=self._open(transaction=transaction), name="begin")
        return Reply(rows=[], state=State.open)

    async def _open(self, *, transaction: Transaction) -> Result[Link, CinderstairError]:
        """Begins it at a backend, at another one where the first does not take it."""
        route = transaction.route
        until_us = self.ctx.now_us() + route.time_limit_us
        fault = CinderstairError(code=ErrorCode.NO_BACKEND, reason="no backend for a transaction")
        tried: set[str] = set()
        for number in range(2 * TRIES):
            if self.ctx.now_us() >= until_us:
                break
            places: list[tuple[LinkPool, Position | None]]
            route = transaction.route = self.route() or route
            if transaction.read_only:
                places, none = self._places(route=route, arrived_us=transaction.arrived_us)
            elif none := self.router.shards.fault(database=route.database):
                places = []
            else:
                led = self.router.may_lead(service=route.service)
                places = [(led.ok, None)] if led.is_ok() else []
                none = None if led.is_ok() else led.error
            if not places:
                fault = none or fault
                left_us = int(fault.details.get("left_us", 50_000))
                if self.ctx.now_us() + left_us >= until_us:
                    break
                await self.router.view.change(until_us=until_us)
                continue
            place = self._untried(places=places, tried=tried)
            result = await self._open_at(transaction=transaction, place=place, until_us=until_us)
            if result.is_ok():
                return result
            fault = result.error
            if fault.code == ErrorCode.OVERLOADED:
                break
            await self._pause(number=min(number, TRIES), until_us=until_us)
        return Error(fault)

    async def _open_at(
        self, *, transaction: Transaction, place: tuple[LinkPool, Position | None], until_us: int
    ) -> Result[Link, CinderstairError]:
        pool, at_least = place
        route = transaction.route
        taken = await pool.acquire(values=self.values, rank=route.rank, until_us=until_us, database=self.database)
        if taken.is_error():
            return Error(taken.error)
        link = taken.ok
        led = self.router.may_lead(service=route.service)
        leads = led.is_ok() and led.ok is pool
        if at_least is None and not (leads and self._still(route=route)):
            pool.release(link=link)
            return Error(CinderstairError(code=ErrorCode.NO_LEAD, reason="the lead moved meanwhile"))
        requested_us = self.ctx.now_us()
        kept = False
        try:
            self._level(link=link)
            transaction.requested = True
            future = link.begin(read_only=transaction.read_only, at_least=at_least)
            reply = await self._answer(future=future, until_us=min(until_us, requested_us + 2 * HEDGE_US))
            if reply is None:
                return Error(CinderstairError(code=ErrorCode.WIRE_UNSURE, reason="no answer to a begin"))
            if leads:
                self.router.heard(pool=pool, service=route.service, requested_us=requested_us, reply=reply)
            else:
                pool.heard()
            if reply.fault is not None or reply.state != State.open:
                self.router.view.hurry()
                return Error(CinderstairError(code=ErrorCode.STATEMENT_DENIED, reason="the backend did not begin"))
            kept = True
            transaction.link, transaction.pool = link, pool
            return Ok(link)
        except ConnectionError:
            return Error(
                CinderstairError(code=ErrorCode.WIRE_UNSENT, reason="the link was lost before the first statement")
            )
        finally:
            if not kept:
                pool.release(link=link, keep=False)

    async def _ready(self, *, transaction: Transaction, until_us: int) -> Result[Link, CinderstairError]:
        """The transaction's link; one that was lost before anything ran on it is replaced by another."""
        again = not transaction.used
        while True:
            # why: the client may have gone meanwhile, and nothing is begun for nobody
            if self.transaction is not transaction or transaction.begun is None or transaction.begun.cancelled():
                return Error(CinderstairError(code=ErrorCode.TRANSACTION_LOST, reason="given up"))
            # why: one that could not be begun while the client paused has the whole of this statement's time left
            tried_before = transaction.begun.done()
            wait_us = max(0, until_us - self.ctx.now_us())
            done, _ = await asyncio.wait([transaction.begun], timeout=wait_us / 1_000_000)
            if not done:
                return Error(CinderstairError(code=ErrorCode.TIME_LEFT_SPENT, reason="no backend began it in time"))
            if self.transaction is not transaction or transaction.begun.cancelled():
                continue
            result = transaction.begun.result()
            lost = result.is_ok() and not result.ok.open
            if transaction.used or not (lost or (result.is_error() and tried_before and again)):
                return result
            again = lost
            self._give_back(transaction=transaction, keep=False)
            transaction.begun = self.ctx.spawn(work=self._open(transaction=transaction), name="begin")

    async def _inside(self, *, statement: Statement) -> Reply:
        transaction = self.transaction
        assert transaction is not None
        until_us = self.ctx.now_us() + transaction.route.time_limit_us - ANSWER_US
        ready = await self._ready(transaction=transaction, until_us=until_us)
        if ready.is_error():
            self._forsake(transaction=transaction)
            kind = ErrorCode.TRANSACTION_LOST if ready.error.code == ErrorCode.TIME_LEFT_SPENT else ready.error.code
            come_back_us = int(ready.error.details.get("left_us", ERROR_RESPONSES[kind].retry_after_us))
            return refusal(kind=kind, state=State.failed, come_back_us=come_back_us)
        link, pool = ready.ok, transaction.pool
        assert pool is not None
        commits = statement.verb == Verb.commit
        # why: a transaction whose commit was never sent is kept nowhere once its link is closed
        lost = ErrorCode.OUTCOME_UNKNOWN if commits else ErrorCode.TRANSACTION_LOST
        state = State.idle if commits else State.failed
        moved = not transaction.read_only and not self._may_end(transaction=transaction)
        if not link.open or moved:
            self._forsake(transaction=transaction)
            return refusal(kind=ErrorCode.TRANSACTION_LOST, state=state)
        transaction.used = True
        requested_us = self.ctx.now_us()
        leads = self.router.may_lead(service=transaction.route.service)
        future = self._send(link=link, statement=statement, at_least=None)
        try:
            reply = await self._answer(future=future, until_us=until_us)
        except ConnectionError:
            self._forsake(transaction=transaction)
            return refusal(kind=lost, state=state)
        if reply is None:
            self._forsake(transaction=transaction)
            return refusal(kind=lost, state=state)
        if leads.is_ok() and leads.ok is pool:
            self.router.heard(pool=pool, service=transaction.route.service, requested_us=requested_us, reply=reply)
        else:
            pool.heard()
        transaction.wrote |= reply.fault is None and self._writes(statement=statement)
        return reply

    def _may_end(self, *, transaction: Transaction) -> bool:
        """Whether its place still takes it: not where a shard map has moved on under it."""
        return self.router.shards.may_end(database=self.database, since_us=transaction.arrived_us)

    async def _end(self, *, statement: Statement) -> Reply:
        transaction = self.transaction
        if transaction is None:
            # why: a failed transaction that was given up is ended by whatever ends it
            if self.state == State.failed:
                return Reply(rows=[]) if statement.verb == Verb.rollback else refusal(kind=ErrorCode.TRANSACTION_LOST)
            return refusal(kind=ErrorCode.NO_TRANSACTION)
        if self.state == State.failed or statement.verb == Verb.rollback:
            self.transaction = None
            self.ctx.spawn(work=self._roll_back(transaction=transaction), name="rollback")
            if statement.verb == Verb.rollback:
                return Reply(rows=[])
            return refusal(kind=ErrorCode.TRANSACTION_LOST)
        for number in range(TRIES):
            reply = await self._inside(statement=statement)
            # why: a commit that the backend says it did not run may be asked for again in the same transaction
            if not (reply.not_run and reply.state == State.open and self.transaction is transaction):
                break
            if number + 1 < TRIES:
                await self._pause(number=number, until_us=self.ctx.now_us() + 2 * PAUSE_US)
            if self.transaction is not transaction:
                break
        self.transaction = None
        if reply.state != State.idle:
            self.ctx.spawn(work=self._roll_back(transaction=transaction), name="rollback")
            reply.state = State.idle
            return reply
        self._give_back(transaction=transaction, keep=True)
        if reply.fault is None and transaction.wrote and reply.position is not None:
            self.own = (transaction.route.service, reply.position)
        return reply

    def _give_back(self, *, transaction: Transaction, keep: bool) -> None:
        link, pool = transaction.link, transaction.pool
        transaction.link = transaction.pool = None
        if link is not None and pool is not None:
            pool.release(link=link, keep=keep)

    def _forsake(self, *, transaction: Transaction) -> None:
        """Closes its link, which rolls it back."""
        self.transaction = None
        if transaction.begun is not None and not transaction.begun.done():
            transaction.begun.cancel()
        self._give_back(transaction=transaction, keep=False)

    async def _roll_back(self, *, transaction: Transaction) -> None:
        """Ends it at the backend; the link goes back to the others once the backend has said so."""
        begun = transaction.begun
        if begun is not None and not begun.done():
            await asyncio.wait([begun], timeout=1)
            if not begun.done():
                begun.cancel()
        link = transaction.link
        if link is None or not link.open:
            self._give_back(transaction=transaction, keep=False)
            return
        keep = False
        try:
            reply = await self._answer(future=link.rollback(), until_us=self.ctx.now_us() + 1_000_000)
            keep = reply is not None and reply.state == State.idle
        except ConnectionError:
            pass
        finally:
            self._give_back(transaction=transaction, keep=keep)

    def rest_too_long(self, *, limit_us: int) -> None:
        """Ends a transaction whose client rests; the client is told when it next asks."""
        transaction = self.transaction
        if transaction is None or self.busy or self.ctx.now_us() - transaction.touched_us <= limit_us:
            return
        self.abort()

    def abort(self) -> None:
        """Ends the open transaction, for whatever reason; the session's next statement learns of it."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            self.state = State.failed
            self.ctx.spawn(work=self._roll_back(transaction=transaction), name="rollback")

    def close(self) -> None:
        """The client is gone."""
        transaction, self.transaction = self.transaction, None
        if transaction is None:
            return
        # why: a statement of its may still be under way, and only the link's end surely rolls it back then
        if self.busy:
            self.transaction = transaction
            self._forsake(transaction=transaction)
        else:
            self.ctx.spawn(work=self._roll_back(transaction=transaction), name="rollback")
