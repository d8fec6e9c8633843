"""Picks the backend for a statement: the primary, or a copy of the proxy's share that is fresh enough."""

from collections.abc import Callable
from dataclasses import replace

from expression import Error, Ok, Result

from ..config.service_plan import PLAN_KEY, DatabaseRoute
from ..failover.proxy_addresses import PROXY_ADDRESSES_KEY
from ..failover.proxy_ids import PROXY_IDS_KEY
from ..failover.service_primary import PREFIX, PrimaryState, ServicePrimary
from ..http_frontend.subsetting import allotment, subset
from ..membership.announcement import GONE
from ..membership.heartbeat import READY
from ..membership.pooled_sample import ASK_AFTER_US
from ..runtime.context import Context
from ..runtime.error_responses import ERROR_RESPONSES
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.position import Position
from .detours import Detours
from .forwarder import Forwarder, Holder
from .freshness import Freshness
from .link import Dialer
from .link_allocation import Location, allocate_links, allocate_replicas
from .link_pool import LinkPool
from .relayed_view import LEASE_US, RelayedView
from .reply import Reply
from .shards import Shards

# why: the source's typical subset is 20 to 100; shorter lists are taken whole
SUBSET_SIZE = 20
CONTROL_LINKS = 6
AGE_MARGIN_US = 60_000
SAMPLE_AHEAD_US = 600_000
# why: a look in a while, the answer of a far primary, and a link that is waited for
ASK_SPAN_US = 600_000
PRIMARY_READS = 3
WANTED_FOR_US = 4_000_000
DRAIN_US, HEARSAY_US = 7_000_000, 2_000_000
LAPSE_US = 300_000
BEGIN_US = 3_000_000
SILENT_LEFT_US = 1_000_000
MOST_ALIASES = 4_096
# why: longer than a view is current, so that whoever holds fewer links from now on has heard so
RISE_US = 1_500_000
UNPLACED_US = 10_000_000
TENDED_AT_ONCE = 50
UNHEARD_US, LOOKED_AT_ONCE = 300_000, 64
TABLES = (PROXY_IDS_KEY, PROXY_ADDRESSES_KEY)
RECKONED = (PLAN_KEY, PROXY_IDS_KEY, PROXY_ADDRESSES_KEY, "backends")


class Router:
    """Owns the pools. Everything is reckoned from the view, by this proxy alone."""

    def __init__(
        self,
        *,
        ctx: Context,
        view: RelayedView,
        dialer: Dialer,
        distance: Callable[[str], int],
        region: Callable[[str], str] = lambda site: site,
        drain_us: int = DRAIN_US,
        open_: Callable[[frozenset[str]], bool] = lambda databases: False,
    ) -> None:
        self.ctx = ctx
        self.view = view
        self.dialer = dialer
        self.distance = distance
        self.region = region
        # why: set where this proxy can be reached by others; without it links are lent
        self.forwarder: Forwarder | None = None
        self.detours = Detours(ctx=ctx, others=self._others)
        self.links: dict[tuple[str, int], dict[int, int]] = {}
        self.table_us = -RISE_US
        self.rising = False
        self.unplaced = False
        self.began_us = ctx.now_us()
        self.drain_us = drain_us
        self.pools: dict[str, LinkPool] = {}
        self.fresh: dict[str, Freshness] = {}
        self.shares: dict[str, tuple[str, ...]] = {}
        self.leaving_us: dict[str, int] = {}
        self.aliases: dict[tuple[bytes, bool], int] = {}
        self.members: dict[str, list[str]] = {}
        self.parts: dict[int, int] = {}
        self.allocations: dict[tuple[tuple[Location, ...], int], dict[int, int]] = {}
        self.turn = 0
        self.shards = Shards(ctx=ctx, view=view, open_=open_)
        view.troubled = self.troubled
        view.samples.wanted = self._wanted
        view.samples.note = self._pooled
        view.ask = self._asked_for
        view.changes.subscribe(self._changed)

    def troubled(self) -> tuple[str, ...]:
        """Backends that look dead from here."""
        return tuple(name for name, pool in self.pools.items() if pool.problem and not pool.closed)

    def _changed(self, key: str) -> None:
        if key.startswith(PREFIX):
            service = key.removeprefix(PREFIX)
            lead = self.view.leads[service]
            if lead.state == PrimaryState.moving:
                self.freshness(service=service).fence(as_of_us=-(1 << 60), position=lead.fence)
            # why: with thousands of services a lead that moves must not cost the reckoning of all others
            if service in self.members:
                self._reckon_service(service=service)
        elif key in RECKONED:
            if key in TABLES:
                # why: what is known when this proxy begins was dealt before, and nobody else holds it
                self.table_us = self.ctx.now_us() if self.links else self.table_us
                self.links = {}
            self.reckon()

    def alias(self, *, shape: bytes, writes: bool) -> bytes:
        """The name under which a shape is prepared on this proxy's links, whatever its clients call it."""
        number = self.aliases.setdefault((shape, writes), len(self.aliases) % MOST_ALIASES)
        return b"p%d" % number

    def freshness(self, *, service: str) -> Freshness:
        found = self.fresh.get(service)
        if found is None:
            found = self.fresh[service] = Freshness()
        return found

    def reckon(self) -> None:
        """The share, the pools and their limits, anew from the view; called only when it has changed."""
        plan = self.view.plan
        if plan is None:
            return
        names = {service: [] for service in plan.services}  # type: dict[str, list[str]]
        for name, entry in self.view.backends.items():
            announcement = entry.announcement
            if announcement.service in names and announcement.state != GONE:
                names[announcement.service].append(name)
                pool = self.pools.get(name)
                if pool is None:
                    pool = LinkPool(
                        ctx=self.ctx, backend=announcement, dialer=self.dialer, on_link_failure=self.view.hurry
                    )
                    pool.limit = 0
                    self.pools[name] = pool
                pool.backend = announcement
        kept = {name for each in names.values() for name in each}
        for name in [name for name in self.pools if name not in kept]:
            self.pools.pop(name).shut()
            self.detours.forget(name=name)
            self.leaving_us.pop(name, None)
        self.members, self.parts, self.allocations = names, {}, {}
        for service in names:
            self._reckon_service(service=service)

    def _part(self, *, cap: int) -> int:
        """This proxy's part of a cap; the same for all services that have the same one."""
        part = self.parts.get(cap)
        if part is None:
            ids, proxy_id = self.view.proxy_ids.ids, self.view.proxy_ids.id_of(name=self.ctx.name)
            # why: a proxy that has no number yet must not take what the others were dealt
            part = (
                cap // (len(ids) + 1)
                if proxy_id is None
                else allotment(cap=cap, user_ids=ids, http_proxy_id=proxy_id)
            )
            self.parts[cap] = part
        return part

    def _reckon_service(self, *, service: str) -> None:
        plan = self.view.plan
        if plan is None or service not in plan.services:
            return
        listed, lead = self.members[service], self.view.leads.get(service)
        replicas = sorted(name for name in listed if lead is None or name != lead.primary)
        proxy_id = self.view.proxy_ids.id_of(name=self.ctx.name)
        self.shares[service] = subset(names=replicas, http_proxy_id=proxy_id or 0, subset_size=SUBSET_SIZE)
        cap = max(1, plan.services[service].link_cap - CONTROL_LINKS)
        part = self._part(cap=cap)
        scarce = cap < len(self.view.proxy_ids.names)
        forwards = scarce and self.forwarder is not None and (bool(self.view.places) or not self.unplaced)
        # why: before any ids are dealt nobody knows how many there are to share with
        unknown = self.forwarder is not None and not self.view.proxy_ids.names
        kept = self._kept_replica(replicas=replicas, room=cap, proxy_id=proxy_id) if scarce and not forwards else ""
        for name in listed:
            pool = self.pools[name]
            if forwards:
                self._allocate(pool=pool, room=cap, proxy_id=proxy_id)
            else:
                pool.forwarder, pool.holders = None, ()
                self._allow(pool=pool, limit=0 if unknown else max(1, part))
            # why: with fewer links than proxies each keeps one to one copy, and to others only while it uses it
            pool.lend(lent=scarce and not forwards and name != kept)
            self._obey(name=name, leads=lead is not None and lead.primary == name)

    def _allocate(self, *, pool: LinkPool, room: int, proxy_id: int | None) -> None:
        """Which proxies hold links to a backend: this one its part, or else those that send in its stead."""
        places, announcement = self.view.places, pool.backend
        named = [(n, name) for n, name in self.view.proxy_ids.names if name in places and places[name].records]
        allocated = self.links.get((announcement.name, room))
        if allocated is None:
            allocated = self.links[(announcement.name, room)] = allocate_links(
                proxies=[(n, self._location(site=places[name].site)) for n, name in named],
                backend=announcement.name,
                location=self._location(site=announcement.site),
                room=room,
            )
        limit = 0 if proxy_id is None else allocated.get(proxy_id, 0)
        if pool.forwarder is None and pool.limit:
            # why: till now each had its even part, and the others may not have given theirs back
            self.table_us = self.ctx.now_us()
        pool.forwarder = self.forwarder
        pool.holders = tuple(
            Holder(self.distance(places[name].site), name, places[name].records)
            for n, name in named
            if n in allocated and name != self.ctx.name
        )
        self._allow(pool=pool, limit=limit)

    def _allow(self, *, pool: LinkPool, limit: int) -> None:
        """A part that shrinks does so at once, one that grows after a while."""
        if limit > pool.limit and self.ctx.now_us() - self.table_us < RISE_US:
            # why: those that held what is ours now may not know it yet, and the cap is not to be passed meanwhile
            self.rising, limit = True, pool.limit
        pool.allow(limit=limit)

    def _others(self, pool: LinkPool) -> tuple[Holder, ...]:
        """The proxies that may have links to a backend."""
        if pool.forwarder is not None:
            return pool.holders
        places = self.view.places
        return tuple(
            Holder(self.distance(places[name].site), name, places[name].records)
            for _, name in self.view.proxy_ids.names
            if name in places and places[name].records and name != self.ctx.name
        )

    def _location(self, *, site: str) -> Location:
        return Location(site, self.region(site))

    def _kept_replica(self, *, replicas: list[str], room: int, proxy_id: int | None) -> str:
        """The copy to which this proxy keeps a lasting link; none without an id, or while a place is not known."""
        if proxy_id is None:
            return ""
        locations = tuple(self._location(site=self.view.backends[name].announcement.site) for name in replicas)
        allocated = self.allocations.get((locations, room))
        if allocated is None:
            # why: services whose copies stand alike are dealt alike, and reckoned once
            places = self.view.places
            sites = ((n, places[name].site if name in places else "") for n, name in self.view.proxy_ids.names)
            proxies = [(n, self._location(site=site)) for n, site in sites]
            allocated = self.allocations[(locations, room)] = allocate_replicas(
                proxies=proxies, replicas=locations, room=room
            )
        number = allocated.get(proxy_id)
        return "" if number is None else replicas[number]

    @property
    def leave_us(self) -> int:
        """How long an emptying primary is served after this proxy heard of it."""
        # why: the time that it has began when the first controller heard, and what was sent in time must arrive in it
        return max(self.drain_us // 2, self.drain_us - HEARSAY_US)

    def _obey(self, *, name: str, leads: bool) -> None:
        """A backend that empties gets nothing new; a primary serves on until its place is taken, or late."""
        pool = self.pools[name]
        if pool.backend.state == READY:
            self.leaving_us.pop(name, None)
            if pool.closed:
                pool.reopen(backend=pool.backend)
            return
        since_us = self.leaving_us.setdefault(name, self.ctx.now_us())
        if not pool.closed and (not leads or self.ctx.now_us() - since_us > self.leave_us):
            pool.shut()

    def route(self, *, database: str) -> DatabaseRoute | None:
        """Where a database's statements go now: the plan's word, or the shard map's where it differs."""
        plan = self.view.plan
        route = None if plan is None else plan.routes.get(database)
        if route is None:
            return None
        place = self.shards.place(route=route)
        return route if place == route.service else replace(route, service=place)

    def tend(self) -> None:
        """Now and then: links that should stand ready, silent backends, samples that will be wanted."""
        self.shards.look()
        if not self.unplaced and not self.view.places and self.ctx.now_us() - self.began_us > UNPLACED_US:
            # why: controllers of an earlier version keep no table of places, and links are lent as they were then
            self.unplaced = True
            self.reckon()
        if self.rising and self.ctx.now_us() - self.table_us >= RISE_US:
            self.rising = False
            self.reckon()
        plan = self.view.plan
        if plan is None:
            return
        for name in self.leaving_us:
            lead = self.view.leads.get(self.pools[name].backend.service)
            self._obey(name=name, leads=lead is not None and lead.primary == name)
        fell_silent = False
        for pool in self.pools.values():
            silent = pool.silent
            if pool.taken or silent:
                pool.check_silence()
            fell_silent = fell_silent or (pool.silent and not silent)
            if pool.unreachable or pool.backend.name in self.detours.ways:
                self._go_round(pool=pool)
        if fell_silent:
            self._look_at_others()
        for service in self._tended(names=list(plan.services)):
            lead = self.view.leads.get(service)
            if lead is None:
                continue
            primary = self.pools.get(lead.primary)
            if primary is not None and lead.state == PrimaryState.settled and not primary.lent:
                primary.warm(count=1)
            replicas = self.replicas(service=service)
            if replicas and not replicas[0].lent:
                replicas[0].warm(count=1)
            self._sample(service=service, lead=lead)

    def _look_at_others(self) -> None:
        """Where one backend has fallen silent others may have, and what looks is lost to no client."""
        now_us, looked = self.ctx.now_us(), 0
        for service, lead in self.view.leads.items():
            pool = self.pools.get(lead.primary)
            quiet = pool is not None and not pool.silent and not pool.taken and now_us - pool.heard_us > UNHEARD_US
            if pool is not None and quiet and pool.idle and self.may_lead(service=service).is_ok():
                looked += 1
                self.ctx.counters.add(name="links.doubted")
                self.ctx.spawn(work=self.sample(service=service), name="sample")
            if looked >= LOOKED_AT_ONCE:
                return

    def _go_round(self, *, pool: LinkPool) -> None:
        """A primary that can't be reached from here may be by way of another proxy; of copies there are others."""
        lead = self.view.leads.get(pool.backend.service)
        if lead is not None and lead.state == PrimaryState.settled and lead.primary == pool.backend.name:
            self.detours.tend(pool=pool, service=pool.backend.service)
        else:
            self.detours.forget(name=pool.backend.name)

    def _tended(self, *, names: list[str]) -> list[str]:
        """Those that were read from lately, and of all others a part each time."""
        turns = len(names) // TENDED_AT_ONCE + 1
        self.turn = (self.turn + 1) % turns
        return [
            *dict.fromkeys(name for name in (*self._wanted(), *names[self.turn :: turns]) if name in self.members)
        ]

    def _sample(self, *, service: str, lead: ServicePrimary) -> None:
        """Asks the primary for its position where reads will want one and no statement has shown it lately."""
        fresh = self.freshness(service=service)
        now_us = self.ctx.now_us()
        if lead.state == PrimaryState.moving and lead.fence.term:
            fresh.fence(as_of_us=self.view.as_of_us, position=lead.fence)
        ahead_us = max(SAMPLE_AHEAD_US, fresh.wanted_age_us - AGE_MARGIN_US - ASK_SPAN_US)
        if now_us - fresh.wanted_us > WANTED_FOR_US or now_us - fresh.newest_us < ahead_us:
            return
        if self.may_lead(service=service).is_ok():
            self.ctx.spawn(work=self.sample(service=service), name="sample")

    def _wanted(self) -> list[str]:
        """The services that guarded reads came for lately."""
        now_us = self.ctx.now_us()
        return [name for name, fresh in self.fresh.items() if now_us - fresh.wanted_us <= WANTED_FOR_US]

    def _pooled(self, service: str, requested_us: int, position: Position) -> None:
        self.freshness(service=service).note(requested_us=requested_us, position=position)

    def _asked_for(self, service: str) -> None:
        """The controller has this proxy ask for all of its proxies, unless it has seen what will do already."""
        lately = self.ctx.now_us() - self.freshness(service=service).newest_us < ASK_AFTER_US
        if not lately and self.may_lead(service=service).is_ok():
            self.ctx.spawn(work=self._sample_for_all(service=service), name="sample")

    async def _sample_for_all(self, *, service: str) -> None:
        await self.sample(service=service)
        self.view.hurry()

    async def sample(self, *, service: str) -> None:
        led = self.may_lead(service=service)
        if led.is_error():
            return
        taken = await led.ok.acquire(values={}, rank=0, until_us=self.ctx.now_us() + 400_000)
        if taken.is_error():
            return
        link, requested_us = taken.ok, self.ctx.now_us()
        # why: a link may have been waited for, and the lead may have moved meanwhile
        if self.may_lead(service=service).is_error():
            led.ok.release(link=link)
            return
        self.ctx.counters.add(name="samples.asked")
        try:
            reply = await link.ask_position()
        except ConnectionError:
            led.ok.release(link=link)
            return
        led.ok.release(link=link)
        self.heard(pool=led.ok, service=service, requested_us=requested_us, reply=reply)

    def heard(self, *, pool: LinkPool, service: str, requested_us: int, reply: Reply) -> None:
        """Every answer of the primary shows its position; it counts if it led when it was asked."""
        pool.heard()
        lead = self.view.leads.get(service)
        if reply.position is None or lead is None or lead.primary != pool.backend.name:
            return
        # why: the view's currency at the asking was checked then; here the lead must still be the same
        if lead.state != PrimaryState.moving and reply.position.term <= lead.term:
            self.freshness(service=service).note(requested_us=requested_us, position=reply.position)
            # why: what was asked for before this word on the lead may lie past the fence that came between
            if requested_us >= self.view.lead_since_us[service]:
                self.view.samples.saw(
                    service=service, term=lead.term, requested_us=requested_us, position=reply.position
                )

    def may_lead(self, *, service: str) -> Result[LinkPool, CinderstairError]:
        """The primary's pool, while the view says surely that it leads."""
        lead = self.view.leads.get(service)
        if lead is None:
            details = {"left_us": LAPSE_US}
            return Error(
                CinderstairError(code=ErrorCode.NO_LEAD, reason=f"{service}: nobody leads yet", details=details)
            )
        if not self.view.current:
            lapsed_us = self.ctx.now_us() - self.view.as_of_us - LEASE_US
            # why: a question or two may be lost; who is out of touch for longer can't say when that will end
            # why: a proxy that has just begun is about to hear
            begins = self.ctx.now_us() - self.began_us < BEGIN_US
            hopes = begins or lapsed_us < LAPSE_US
            left_us = LAPSE_US if hopes else ERROR_RESPONSES[ErrorCode.NOT_CURRENT].retry_after_us * 2
            details = {"left_us": left_us}
            return Error(
                CinderstairError(code=ErrorCode.NOT_CURRENT, reason="out of touch with the register", details=details)
            )
        if lead.state != PrimaryState.settled:
            left_us = self.view.lead_since_us[service] + lead.ready_in_us - self.ctx.now_us()
            # why: a move that is overdue may take as long again; who hopes on until its time is up is only held
            details = {"left_us": max(50_000, abs(left_us))}
            return Error(
                CinderstairError(code=ErrorCode.MOVING, reason=f"{service}: its lead moves", details=details)
            )
        pool = self.pools.get(lead.primary)
        if pool is None or pool.closed:
            return Error(CinderstairError(code=ErrorCode.NO_LEAD, reason=f"{service}: {lead.primary} is not there"))
        way = self.detours.way(pool=pool) if pool.unreachable else None
        if way is not None:
            return Ok(way)
        if pool.silent:
            # why: what is sent into silence may have been run for all that anybody can say, and is lost to its client
            details = {"left_us": SILENT_LEFT_US}
            return Error(
                CinderstairError(
                    code=ErrorCode.NO_BACKEND, reason=f"{service}: {lead.primary} is silent", details=details
                )
            )
        return Ok(pool)

    async def primary(self, *, service: str, until_us: int) -> Result[LinkPool, CinderstairError]:
        """The primary's pool; waits for a move only where its end is expected in time."""
        while True:
            led = self.may_lead(service=service)
            if led.is_ok():
                return led
            now_us = self.ctx.now_us()
            left_us = int(led.error.details.get("left_us", 100_000))
            if now_us + left_us >= until_us:
                return led
            await self.view.change(until_us=until_us)

    def replicas(self, *, service: str) -> list[LinkPool]:
        """The share's copies that may be read from, nearest first, those in trouble last."""
        pools = [self.pools[name] for name in self.shares.get(service, ()) if name in self.pools]
        usable = [pool for pool in pools if not pool.closed and not self._quiet(name=pool.backend.name)]
        return sorted(usable, key=self._cost)

    def _quiet(self, *, name: str) -> bool:
        entry = self.view.backends.get(name)
        return entry is None or entry.silent

    def _cost(self, pool: LinkPool) -> tuple[bool, int, int]:
        return pool.problem, self.distance(pool.backend.site) + pool.load // 4, pool.load

    def readers(self, *, service: str) -> list[LinkPool]:
        """Where a guarded read may go, best first; the primary in its turn by nearness while it has little to do."""
        replicas = self.replicas(service=service)
        led = self.may_lead(service=service)
        if led.is_error():
            return replicas
        if led.ok.load < PRIMARY_READS and not led.ok.problem:
            return sorted([*replicas, led.ok], key=self._cost)
        # why: copies that all lag must not send a whole membership to the primary
        return [*replicas, led.ok] if led.ok.load < 2 * max(1, led.ok.limit) else replicas

    def guard(
        self, *, route: DatabaseRoute, arrived_us: int, own: Position | None
    ) -> Result[Position, CinderstairError]:
        """The position that a copy must have for this read."""
        fresh = self.freshness(service=route.service)
        now_us = self.ctx.now_us()
        lately = now_us - fresh.wanted_us <= WANTED_FOR_US
        fresh.wanted_age_us = min(fresh.wanted_age_us, route.max_age_us) if lately else route.max_age_us
        fresh.wanted_us = now_us
        since_us = self.shards.read_since_us(
            database=route.database, since_us=arrived_us - route.max_age_us + AGE_MARGIN_US
        )
        needed = None if since_us is None else fresh.needed(since_us=since_us)
        if needed is None:
            return Error(CinderstairError(code=ErrorCode.TOO_STALE, reason="nobody has asked the primary lately"))
        return Ok(needed if own is None else max(needed, own))
