"""The duty of keeping a lead for every database; done by the holder of its lease alone."""

import asyncio
from collections import deque
from dataclasses import replace

from expression import Error, Ok, Result

from ..config.configuration import Configuration
from ..consensus.lease import Lease
from ..consensus.register import Register
from ..http_frontend.backend_reachability import BackendReachability
from ..http_frontend.connection_pools import ConnectionPools
from ..http_frontend.position_query import BackendPosition, query_position
from ..http_frontend.view import View
from ..membership.heartbeat import EMPTYING
from ..membership.heartbeat_table import QUIET_US, HeartbeatTable
from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .database_primary import CLOSING, MOVING, SETTLED, DatabasePrimary, database_primary_key
from .platform import Platform

TIMER_PERIOD_US = 200_000
# why: every view older than a write has run out this long after the write was seen, clocks' drift included
VIEW_MARGIN_US = 300_000
LAG_US = 1_000_000
FOLLOW_WAIT_US = 1_500_000
GROWN_US = 1_300_000
FIRST_WAIT_US = 4_000_000
DATABASE_FAILOVER_LEASE = "lead"


class DatabaseFailover(CommandQueueMixin):
    """Every step is a compare-and-set on the database's lead key, so two holders at once do no harm."""

    def __init__(
        self,
        *,
        ctx: Context,
        register: Register,
        view: View,
        heartbeat_table: HeartbeatTable,
        connection_pools: ConnectionPools,
        platform: Platform,
        reachability: BackendReachability,
    ) -> None:
        self.reachability = reachability
        self.ctx = ctx
        self.register = register
        self.view = view
        self.heartbeat_table = heartbeat_table
        self.connection_pools = connection_pools
        self.platform = platform
        self.lease = Lease(
            ctx=ctx, register=register, duty=DATABASE_FAILOVER_LEASE, seekers=lambda: len(view.proxy_ids.names)
        )
        self.started_us = ctx.now_us()
        self.tending: set[str] = set()
        self.passed: dict[str, deque[tuple[int, int, int]]] = {}
        self.bad_since_us: dict[str, int] = {}
        self.first_seen_us: dict[str, int] = {}
        self.fit_since_us: dict[str, int] = {}
        self.reasons: dict[str, str] = {}
        self.window_holds: dict[str, str] = {}
        self.sync_holds: dict[str, str] = {}
        self.open_queue()
        self.every(every_us=TIMER_PERIOD_US, command=self._on_timer, name="lead")

    async def _on_timer(self) -> None:
        # why: who reaches no backend can move no lead, and must not keep the others from it
        if self.reachability.blind:
            if self.lease.held:
                self.ctx.log.warning("gives up the duty of leads: reaches no backend")
                await self.lease.drop()
            return
        if self.lease.due:
            held = self.lease.held
            if await self.lease.seek() and not held:
                self.ctx.log.info("holds the duty of leads")
                self.bad_since_us.clear()
                self.passed.clear()
        configuration = self.view.configuration
        # why: what held back a former holder is no longer its to say
        if not self.lease.held:
            self.reasons.clear()
            self.window_holds.clear()
            self.sync_holds.clear()
        if not self.lease.may_act(as_of_us=self.view.as_of_us) or not self.view.current or configuration is None:
            return
        for database in configuration.databases:
            if database not in self.tending:
                self.tending.add(database)
                self.ctx.spawn(
                    work=self._tend(database=database, configuration=configuration), name=f"tend.{database}"
                )

    async def _tend(self, *, database: str, configuration: Configuration) -> None:
        try:
            lead = self.view.lead(database=database)
            if lead is None:
                await self._first(database=database, configuration=configuration)
            elif lead.state == MOVING:
                await self._finish(database=database, configuration=configuration, lead=lead)
            elif reason := await self._must_move(lead=lead, configuration=configuration):
                await self._start_move(database=database, configuration=configuration, lead=lead, reason=reason)
            elif lead.state == CLOSING:
                await self._close(database=database, configuration=configuration, lead=lead)
            elif not await self._obey_window(database=database, lead=lead):
                await self._tend_sets(database=database, configuration=configuration, lead=lead)
        finally:
            self.tending.discard(database)

    async def _put(self, *, database: str, old: DatabasePrimary | None, new: DatabasePrimary) -> bool:
        """The one way in which a lead changes: from exactly what this holder saw, while it holds the lease."""
        if not self.lease.held:
            return False
        before = b"" if old is None else old.bytes()

        def decide(current: bytes) -> Result[bytes, CinderstairError]:
            if current != before and current != new.bytes():
                return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason="the lead changed meanwhile"))
            return Ok(new.bytes())

        result = await self.register.change(key=database_primary_key(database=database), decide=decide)
        self.view.take_own(key=database_primary_key(database=database), result=result)
        if result.is_ok():
            self.ctx.log.info(
                "%s: term %d %s primary %s in sync %s joining %s",
                database,
                new.term,
                new.state,
                new.primary,
                ",".join(new.in_sync),
                ",".join(new.joining),
            )
        return result.is_ok()

    def _say(self, *, database: str, reason: str) -> None:
        # why: a line only when the state changes; the same reason again is no news
        if self.reasons.get(database) != reason:
            self.reasons[database] = reason
            if reason:
                self.ctx.log.warning("%s: %s", database, reason)

    async def _gauges(self, *, names: tuple[str, ...]) -> dict[str, BackendPosition]:
        results = await asyncio.gather(
            *(query_position(connection_pools=self.connection_pools, name=n, direct=True) for n in names)
        )
        return {name: result.ok for name, result in zip(names, results, strict=True) if result.is_ok()}

    async def _first(self, *, database: str, configuration: Configuration) -> None:
        """Nobody was ever written down as lead: the backend with the furthest log begins."""
        names = configuration.databases[database]
        since_us = self.first_seen_us.setdefault(database, self.ctx.now_us())
        readings = await self._gauges(names=names)
        waited = self.ctx.now_us() - since_us > FIRST_WAIT_US
        # why: a backend that isn't there yet may hold more than those that are, so the first start waits for it
        if len(readings) < len(names) and not (waited and len(readings) > len(names) // 2):
            self._say(database=database, reason=f"waits for backends: {len(readings)} of {len(names)} answer")
            return
        best = max(sorted(readings), key=lambda n: (readings[n].term, readings[n].received, readings[n].leads))
        term = max(reading.term for reading in readings.values()) + 1
        lead = DatabasePrimary(term=term, primary=best, incarnation=readings[best].incarnation, state=MOVING)
        await self._put(database=database, old=None, new=lead)

    async def _must_move(self, *, lead: DatabasePrimary, configuration: Configuration) -> str:
        """Why the lead can't stay where it is; empty where it can."""
        name = lead.primary
        if name not in configuration.backends:
            return "is no longer declared"
        heard = self.heartbeat_table.latest(name=name)
        if heard is not None and not self.heartbeat_table.quiet(name=name):
            if heard.heartbeat.state == EMPTYING:
                return "is emptying"
            # why: a primary that was restarted does not lead any more, whatever it thought before
            if heard.heartbeat.incarnation > lead.incarnation:
                return "was restarted"
            return ""
        now_us = self.ctx.now_us()
        held_us = now_us - self.started_us
        # why: a holder that hears nobody may be the one that is cut off; it must not judge by its own deafness
        if held_us < QUIET_US + TIMER_PERIOD_US or not self.heartbeat_table.hearing:
            return ""
        reading = await query_position(connection_pools=self.connection_pools, name=name, direct=True)
        if reading.is_ok() and reading.ok.leads:
            return ""
        return "is quiet"

    def _staying(self, *, names: tuple[str, ...]) -> tuple[str, ...]:
        """Those that no open window wants empty, and that are fit."""
        return tuple(n for n in names if n not in self.view.leaving.backends and self.heartbeat_table.fit(name=n))

    async def _obey_window(self, *, database: str, lead: DatabasePrimary) -> bool:
        """Begins a planned move where a window wants the primary empty; True where it has begun."""
        why = self.view.leaving.reason(name=lead.primary)
        if not why:
            self.window_holds.pop(database, None)
            return False
        # why: a window never takes the last that could lead; it waits, and says so, until another is in sync
        if not self._staying(names=lead.in_sync):
            self.window_holds[database] = f"{why} holds back: nobody outside it is in sync to follow {lead.primary}"
            return False
        self.window_holds.pop(database, None)
        self.ctx.log.info("%s: %s empties %s", database, why, lead.primary)
        return await self._put(database=database, old=lead, new=replace(lead, state=CLOSING, planned=True))

    async def _close(self, *, database: str, configuration: Configuration, lead: DatabasePrimary) -> None:
        """Open transactions may still finish; then the lead moves. A window that is gone is obeyed no more."""
        why = self.view.leaving.reason(name=lead.primary)
        if not why or not self._staying(names=lead.in_sync):
            await self._put(database=database, old=lead, new=replace(lead, state=SETTLED, planned=False))
            return
        close_us = configuration.amount(name="closeWait", database=database)
        if self.ctx.now_us() - self.view.lead_since_us[database] >= close_us:
            await self._start_move(
                database=database, configuration=configuration, lead=lead, reason=f"must leave ({why})"
            )

    async def _candidate(
        self, *, lead: DatabasePrimary, configuration: Configuration, holders: tuple[str, ...]
    ) -> tuple[str, BackendPosition] | None:
        """Of those that hold every acknowledged commit: reachable, willing, furthest, and not the one to leave."""
        names = tuple(name for name in holders if name in configuration.backends)
        readings = await self._gauges(names=names)

        def rank(name: str) -> tuple[bool, bool, bool, int]:
            heard = self.heartbeat_table.latest(name=name)
            empties = heard is not None and heard.heartbeat.state == EMPTYING
            stays = name not in self.view.leaving.backends
            return not empties, stays, name != lead.primary, readings[name].received

        if not readings:
            return None
        best = max(sorted(readings), key=rank)
        return best, readings[best]

    async def _start_move(
        self, *, database: str, configuration: Configuration, lead: DatabasePrimary, reason: str
    ) -> None:
        # why: the old primary has every commit it ever acknowledged, so where it lives it may lead again
        holders = (*(lead.in_sync or lead.heirs), lead.primary)
        found = await self._candidate(lead=lead, configuration=configuration, holders=holders)
        if found is None:
            self._say(database=database, reason=f"{lead.primary} {reason}, and no replica in sync answers")
            return
        name, reading = found
        # why: moving from an emptying primary to itself would be no move, only an outage
        if name == lead.primary and (reason == "is emptying" or lead.state == CLOSING):
            self._say(database=database, reason=f"{lead.primary} {reason}, and nobody can take its place")
            return
        self.ctx.log.info("%s: %s %s; moves to %s", database, lead.primary, reason, name)
        self.ctx.counters.add(name="leads.moved")
        new = DatabasePrimary(
            term=lead.term + 1,
            primary=name,
            incarnation=reading.incarnation,
            state=MOVING,
            in_sync=tuple(holder for holder in holders if holder != name),
            # why: where the primary still serves the move is short and sure, and clients may wait for its end
            planned=lead.state == CLOSING or reason in ("is emptying", "is no longer declared"),
        )
        await self._put(database=database, old=lead, new=new)

    async def _finish(self, *, database: str, configuration: Configuration, lead: DatabasePrimary) -> None:
        """From moving to settled: promote, see it lead, see replicas follow, and outwait every older view."""
        since_us = self.view.lead_since_us[database]
        promoted = await self.platform.promote(database=database, backend=lead.primary, term=lead.term)
        reading = await query_position(connection_pools=self.connection_pools, name=lead.primary, direct=True)
        if reading.is_error() or not reading.ok.leads or reading.ok.term != lead.term:
            await self._supersede(database=database, configuration=configuration, lead=lead, promoted=promoted)
            return
        base = reading.ok.received
        wait_us = since_us + self.view.lease_us + VIEW_MARGIN_US - self.ctx.now_us()
        if wait_us > 0:
            await self.ctx.sleep(duration_us=wait_us)
        names = tuple(name for name in configuration.databases.get(database, ()) if name != lead.primary)
        follow_until_us = self.ctx.now_us() + FOLLOW_WAIT_US
        while True:
            readings = await self._gauges(names=tuple(n for n in names if self.heartbeat_table.fit(name=n)))
            # why: nothing is acknowledged before the lead is settled, so whoever has the new term's
            # beginning now, and is waited for from the first commit on, is in sync
            most = configuration.amount(name="inSync", database=database)
            following = tuple(n for n, r in readings.items() if r.term == lead.term and r.received >= base)
            following = tuple(sorted(following, key=lambda n: n in self.view.leaving.backends))[:most]
            if following or self.ctx.now_us() > follow_until_us:
                break
            await self.ctx.sleep(duration_us=100_000)
        settled = replace(
            lead,
            state=SETTLED,
            in_sync=following,
            joining=(),
            planned=False,
            # why: until somebody is in sync nothing new is acknowledged, so who could be placed still can be
            heirs=() if following else lead.in_sync,
            incarnation=reading.ok.incarnation,
        )
        if await self._put(database=database, old=lead, new=settled):
            self._say(database=database, reason="")

    async def _supersede(
        self, *, database: str, configuration: Configuration, lead: DatabasePrimary, promoted: bool
    ) -> None:
        """The one placed does not lead. Another that holds everything takes its place, in a later term."""
        since_us = self.view.lead_since_us[database]
        # why: a slow promotion is asked for again before anybody else is placed
        if self.ctx.now_us() - since_us < 2 * self.view.lease_us and (
            promoted or self.heartbeat_table.fit(name=lead.primary)
        ):
            return
        found = await self._candidate(lead=lead, configuration=configuration, holders=(*lead.in_sync, lead.primary))
        if found is None:
            self._say(database=database, reason="no backend that holds everything answers")
            return
        holders = tuple(name for name in (*lead.in_sync, lead.primary) if name != found[0])
        new = DatabasePrimary(
            term=lead.term + 1,
            primary=found[0],
            incarnation=found[1].incarnation,
            state=MOVING,
            in_sync=holders,
            planned=lead.planned,
        )
        await self._put(database=database, old=lead, new=new)

    async def _tend_sets(self, *, database: str, configuration: Configuration, lead: DatabasePrimary) -> None:
        """Who is in sync: drops those that lag, and takes in those that follow, in two steps."""
        names = configuration.databases.get(database, ())
        now_us = self.ctx.now_us()
        # why: what stands empty is not even asked how far it is, unless somebody still rests on it
        requested = (lead.primary, *lead.confirmers, *self._staying(names=names))
        readings = await self._gauges(
            names=tuple(n for n in dict.fromkeys(requested) if self.heartbeat_table.fit(name=n))
        )
        primary = readings.get(lead.primary)
        if primary is None or not primary.leads or primary.term != lead.term:
            return
        passed = self.passed.setdefault(database, deque())
        passed.append((now_us, lead.term, primary.received))
        while len(passed) > 1 and passed[1][0] <= now_us - LAG_US:
            passed.popleft()
        # why: a replica keeps up if it has by now what the primary had a little while ago
        mark = min((p for _, term, p in passed if term == lead.term), default=primary.received)
        good = {n for n, r in readings.items() if r.term == lead.term and r.received >= mark}
        self.fit_since_us = {name: self.fit_since_us.get(name, now_us) for name in self._staying(names=names)} | {
            name: since_us for name, since_us in self.fit_since_us.items() if name not in names
        }
        changed = self._dropped(database=database, lead=lead, good=good, now_us=now_us)
        if changed is None:
            most = configuration.amount(name="inSync", database=database)
            changed = await self._joined(database=database, lead=lead, names=names, good=good, most=most)
        if changed is not None:
            await self._put(database=database, old=lead, new=changed)
        if lead.in_sync:
            self._say(database=database, reason="")
        else:
            self._say(database=database, reason="no replica is in sync; writes are denied")

    def _dropped(
        self, *, database: str, lead: DatabasePrimary, good: set[str], now_us: int
    ) -> DatabasePrimary | None:
        self.sync_holds.pop(database, None)
        for name in lead.confirmers:
            if name in good:
                self.bad_since_us.pop(name, None)
            else:
                self.bad_since_us.setdefault(name, now_us)
        # why: one that has fallen silent by its own word or by the news goes at once, one that lags a bit later
        bad = [
            name
            for name in lead.confirmers
            if name in self.bad_since_us
            and (not self.heartbeat_table.fit(name=name) or now_us - self.bad_since_us[name] > LAG_US)
        ]
        in_sync = tuple(name for name in lead.in_sync if name not in bad)
        # why: what a window wants empty leaves the set as soon as somebody outside the window is in it
        if any(name in good for name in self._staying(names=in_sync)):
            in_sync = tuple(name for name in in_sync if name not in self.view.leaving.backends)
        elif any(name in self.view.leaving.backends for name in in_sync):
            # why: one that a window wants empty has to stay in sync, and one is enough
            in_sync = tuple(sorted(in_sync, key=lambda name: name not in good))[:1]
            self.sync_holds[database] = f"window holds back: nobody outside it is in sync, so {in_sync[0]} stays"
        # why: the last one in sync stays, for it alone could replace a primary that dies now
        if lead.in_sync and not in_sync:
            in_sync = lead.in_sync[:1]
        joining = tuple(name for name in lead.joining if name not in bad)
        if (in_sync, joining) == (lead.in_sync, lead.joining):
            return None
        return replace(lead, in_sync=in_sync, joining=joining)

    async def _joined(
        self, *, database: str, lead: DatabasePrimary, names: tuple[str, ...], good: set[str], most: int
    ) -> DatabasePrimary | None:
        since_us = self.view.lead_since_us[database]
        expired = self.ctx.now_us() - since_us > self.view.lease_us + VIEW_MARGIN_US
        if lead.joining and expired:
            # why: from here on every commit waits for the joining ones; what came before is at or below this
            mark = await query_position(connection_pools=self.connection_pools, name=lead.primary, direct=True)
            if mark.is_error() or mark.ok.term != lead.term:
                return None
            readings = await self._gauges(names=lead.joining)
            arrived = tuple(
                n
                for n in lead.joining
                if n in readings and readings[n].term == lead.term and readings[n].received >= mark.ok.received
            )
            if arrived:
                joining = tuple(name for name in lead.joining if name not in arrived)
                return replace(lead, in_sync=(*lead.in_sync, *arrived), joining=joining, heirs=())
            return None
        fresh = tuple(n for n in names if n in good and n != lead.primary and n not in lead.confirmers)
        # why: every commit waits for one that joins, so it joins when every HTTP proxy has had the time to grow
        # its channels to it; before that, writes would have to be denied for want of them
        ripe_us = self.ctx.now_us() - self.view.lease_us - GROWN_US
        fresh = tuple(n for n in self._staying(names=fresh) if self.fit_since_us.get(n, 1 << 62) <= ripe_us)
        room = most - sum(name not in self.view.leaving.backends for name in lead.in_sync)
        if fresh and room > 0 and not lead.joining:
            return replace(lead, joining=fresh[:room])
        return None

    async def override(self, *, database: str, backend: str) -> Result[DatabasePrimary, CinderstairError]:
        """An operator's explicit word: this backend leads, whatever may be lost by it."""
        configuration, lead = self.view.configuration, self.view.lead(database=database)
        if configuration is None or backend not in configuration.databases.get(database, ()):
            return Error(
                CinderstairError(code=ErrorCode.UNKNOWN_DATABASE, reason=f"no backend '{backend}' of '{database}'")
            )
        if lead is None:
            return Error(CinderstairError(code=ErrorCode.NO_LEAD, reason=f"{database}: nobody leads yet"))
        new = DatabasePrimary(term=lead.term + 1, primary=backend, incarnation=0, state=MOVING)
        self.ctx.log.warning(
            "OVERRIDE by an operator: %s led by %s in term %d; acknowledged commits may be lost",
            database,
            backend,
            new.term,
        )
        self.ctx.counters.add(name="leads.overridden")

        def decide(current: bytes) -> Result[bytes, CinderstairError]:
            if current != lead.bytes():
                return Error(
                    CinderstairError(code=ErrorCode.VERSION_TAKEN, reason="the lead changed meanwhile; look again")
                )
            return Ok(new.bytes())

        result = await self.register.change(key=database_primary_key(database=database), decide=decide)
        self.view.take_own(key=database_primary_key(database=database), result=result)
        return Ok(new) if result.is_ok() else Error(result.error)
