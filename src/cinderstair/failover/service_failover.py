"""The duty of keeping a primary for every service whose backends confirm commits themselves."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from ..config.service_plan import PLAN_KEY, Service, ServicePlan, read_service_plan
from ..consensus.lease import Lease
from ..consensus.register import Register
from ..consensus.register_view import RegisterView
from ..consensus.versioned_value import VersionedValue
from ..membership.announcement import GONE, Announcement
from ..membership.heartbeat import READY
from ..membership.heartbeat_table import HeartbeatTable, ReceivedHeartbeat
from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.position import Position
from .backend_control import BackendControl, BackendState, Promoter
from .departures import Departures, Opinions
from .service_primary import PREFIX, PrimaryState, ServicePrimary, read_service_primary, service_primary_key

TIMER_PERIOD_US = 100_000
SERVICE_FAILOVER_LEASE = "promotion"
FENCE_KEY = "promotion.fence"
PROBE_WAIT_US = 400_000
PAUSE_WAIT_US = 500_000
CLOSING_US = 250_000
FOLLOW_US = 400_000
# why: these say that the primary is there, so that it can be asked itself
ALIVE = ("is emptying", "does not lead")
DEAD = ("is gone", "is silent")
POLL_US = 80_000
PROMOTE_AGAIN_US = 500_000
GIVE_UP_US = 5_000_000
LOST_US = 1_200_000
RETRY_US = 250_000
RESUME_US = 700_000
STEP_AGAIN_US = 1_500_000
CONFIRMED_AT_ONCE = 8
FORGET_US = 25_000_000
EXPECTED_US = 1_400_000
Ask = Coroutine[Any, Any, Result[BackendState, CinderstairError]]


class Fenced(NamedTuple):
    """The term under which nothing older is confirmed, who has the furthest log, and how far it reaches."""

    term: int
    best: str
    position: Position


class ServiceFailover(CommandQueueMixin):
    """Every step is a compare-and-set on the service's lead, so two holders at once do no harm.

    Before another backend is placed so many copies are paused that the old primary can have no further commit
    confirmed; the furthest of them holds every commit that ever was acknowledged.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        register: Register,
        view: RegisterView,
        heartbeat_table: HeartbeatTable[Announcement],
        control: BackendControl,
        promoter: Promoter,
        opinions: Opinions,
        lease_us: int,
    ) -> None:
        self.ctx = ctx
        self.register = register
        self.view = view
        self.heartbeat_table = heartbeat_table
        self.control = control
        self.promoter = promoter
        self.opinions = opinions
        # why: every proxy's view that is older than a write has run out this long after the write
        self.outwait_us = lease_us + lease_us // 10
        self.lease = Lease(ctx=ctx, register=register, name=SERVICE_FAILOVER_LEASE, seekers=lambda: 3)
        self.plan: ServicePlan | None = None
        self.leads: dict[str, ServicePrimary] = {}
        self.lead_since_us: dict[str, int] = {}
        self.stopped_us: dict[str, int] = {}
        self.terms: dict[str, int] = {}
        self.tending: set[str] = set()
        self.suspects_us: dict[str, int] = {}
        self.not_before_us: dict[str, int] = {}
        self.reasons: dict[str, str] = {}
        self.fenced: set[str] = set()
        self.paused: dict[str, set[str]] = {}
        self.departures = Departures(ctx=ctx, heartbeat_table=heartbeat_table, control=control, opinions=opinions)
        # why: a new holder confirms every lead, and all at once they would hold up every view
        self.confirming = 0
        self.resuming: set[str] = set()
        self.move_us = EXPECTED_US
        self.fence_number = 0
        view.changes.subscribe(self._changed)
        self.open_queue()
        self.every(every_us=TIMER_PERIOD_US, command=self._on_timer, name="promotion")

    def _changed(self, key: str) -> None:
        found = self.view.known.get(key)
        if found is None or not found.value:
            return
        if key == PLAN_KEY:
            self.plan = read_service_plan(data=found.value)
        elif key.startswith(PREFIX):
            service = key.removeprefix(PREFIX)
            lead, before = read_service_primary(data=found.value), self.leads.get(service)
            # why: from the first word on that is not settled, views that let anybody at the primary run out
            # why: and a settled word that was missed between two others lets them run anew
            if before is None or before.state == PrimaryState.settled or lead.turn > before.turn + 1:
                self.stopped_us[service] = self.ctx.now_us()
            self.leads[service] = lead
            self.lead_since_us[service] = self.ctx.now_us()

    def suspect(self, *, name: str) -> None:
        """Somebody found a backend silent or gone; whoever holds the duty looks for itself."""
        self.suspects_us.setdefault(name, self.ctx.now_us())
        self.post(command=self._on_timer, once="promotion")

    async def _on_timer(self) -> None:
        if self.lease.due:
            held = self.lease.held
            if await self.lease.seek() and not held:
                self.ctx.log.info("holds the duty of promotions")
                # why: whoever held it before may have died in the middle of a move, with copies paused
                self.fenced = set(self.leads)
                self.fence_number = 0
        if not self.lease.may_act(as_of_us=self.view.as_of_us) or not self.view.current or self.plan is None:
            return
        if not self.fence_number and not await self._take_fence():
            return
        for service in self.plan.services.values():
            if service.name not in self.tending:
                self.tending.add(service.name)
                self.ctx.spawn(work=self._tend(service=service), name=f"tend.{service.name}")

    async def _take_fence(self) -> bool:
        """A number above that of every holder before this one."""

        def decide(data: bytes) -> Result[bytes, CinderstairError]:
            return Ok((int.from_bytes(data, "big") + 1).to_bytes(8, "big"))

        result = await self.register.change(key=FENCE_KEY, decide=decide)
        if result.is_ok():
            self.fence_number = int.from_bytes(result.ok.value, "big")
        return result.is_ok()

    async def _confirm(self, *, service: str, lead: ServicePrimary) -> None:
        """Writes a standing lead once more, after which copies that were paused may receive again."""
        # why: a move whose write was cut short could still come to be; this write shuts it out for good
        self.confirming += 1
        try:
            confirmed = await self._put(service=service, old=lead, new=lead)
        finally:
            self.confirming -= 1
        if confirmed:
            self.fenced.discard(service)
            self.paused[service] = {each.name for each in self._members(service=service)} - {lead.primary}

    async def _resume(self, *, service: str, lead: ServicePrimary) -> None:
        """Has paused copies receive again, each until it says so, and an old primary give way."""
        try:
            members = [each for each in self._members(service=service) if each.name in self.paused[service]]
            self.paused[service] &= {each.name for each in members}
            for each in members:
                resumed = await self.control.resume(backend=each, wait_us=PAUSE_WAIT_US)
                if resumed.is_ok() and resumed.ok.leads:
                    resumed = await self.control.step_down(backend=each, term=lead.term, wait_us=PAUSE_WAIT_US)
                if resumed.is_ok():
                    self.paused[service].discard(each.name)
            if self.paused[service]:
                await self.ctx.sleep(duration_us=RESUME_US)
        finally:
            self.resuming.discard(service)

    def _members(self, *, service: str) -> list[Announcement]:
        """Every backend of a service that may hold acknowledged commits, in the order of names."""
        at: dict[str, ReceivedHeartbeat[Announcement]] = {}
        for name, heard in sorted(self.heartbeat_table.newest.items()):
            if (
                heard.heartbeat.service != service
                or heard.heartbeat.state == GONE
                or self.heartbeat_table.age_us(name=name) >= FORGET_US
            ):
                continue
            # why: the log of a backend that was replaced has passed to the one that came to its address
            other = at.get(heard.heartbeat.address)
            if other is None or heard.observed_at_us > other.observed_at_us:
                at[heard.heartbeat.address] = heard
        return sorted((heard.heartbeat for heard in at.values()), key=lambda heartbeat: heartbeat.name)

    def _member(self, *, name: str) -> Announcement | None:
        heard = self.heartbeat_table.latest(name=name)
        return None if heard is None else heard.heartbeat

    def _say(self, *, service: str, reason: str) -> None:
        if self.reasons.get(service) != reason:
            self.reasons[service] = reason
            if reason:
                self.ctx.log.warning("%s: %s", service, reason)

    async def _tend(self, *, service: Service) -> None:
        try:
            if self.ctx.now_us() < self.not_before_us.get(service.name, 0):
                return
            lead = self.leads.get(service.name)
            if lead is not None and lead.state == PrimaryState.settled:
                self.departures.settle(
                    service=service.name,
                    primary=self._member(name=lead.primary),
                    replicas=self._members(service=service.name),
                )
            if lead is None:
                await self._first(service=service)
            elif lead.state == PrimaryState.moving:
                await self._finish(service=service, lead=lead)
            elif reason := await self._must_move(service=service, lead=lead):
                await self._move(service=service, lead=lead, reason=reason)
            elif service.name in self.fenced and self.confirming < CONFIRMED_AT_ONCE:
                await self._confirm(service=service.name, lead=lead)
            elif self.paused.get(service.name) and service.name not in self.resuming:
                self.resuming.add(service.name)
                self.ctx.spawn(work=self._resume(service=service.name, lead=lead), name="resume")
            elif lead.state == PrimaryState.closing:
                await self._put(service=service.name, old=lead, new=replace(lead, state=PrimaryState.settled))
        finally:
            self.tending.discard(service.name)

    async def _put(self, *, service: str, old: ServicePrimary | None, new: ServicePrimary) -> bool:
        """The one way in which a lead changes: from exactly what this holder saw, while it holds the lease."""
        if not self.lease.held:
            return False
        before = b"" if old is None else old.bytes()
        if old is not None and new != old:
            new = replace(new, turn=old.turn + 1)

        def decide(current: bytes) -> Result[bytes, CinderstairError]:
            if current != before and current != new.bytes():
                return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason="the lead changed meanwhile"))
            return Ok(new.bytes())

        key = service_primary_key(service=service)
        result: Result[VersionedValue, CinderstairError] = await self.register.change(key=key, decide=decide)
        if result.is_ok():
            self.ctx.log.info("%s: term %d %s %s", service, new.term, new.state.name, new.primary)
            self.view.take_own(key=key, result=result)
        return result.is_ok()

    async def _gather(
        self, *, asks: dict[str, Ask], enough: Callable[[dict[str, BackendState]], bool]
    ) -> dict[str, BackendState]:
        """The answers by name, as soon as they are enough or all have come; those still asked are left to answer."""
        pending = {self.ctx.spawn(work=ask, name=name) for name, ask in asks.items()}
        answers: dict[str, BackendState] = {}
        while pending and not enough(answers):
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            answers |= {task.get_name(): task.result().ok for task in done if task.result().is_ok()}
        return answers

    async def _states(
        self,
        *,
        members: list[Announcement],
        enough: Callable[[dict[str, BackendState]], bool] = lambda answers: False,
    ) -> dict[str, BackendState]:
        asks = {each.name: self.control.state(backend=each, wait_us=PROBE_WAIT_US) for each in members}
        return await self._gather(asks=asks, enough=enough)

    async def _first(self, *, service: Service) -> None:
        """Nobody was ever written down: whoever leads by its own account is taken at its word."""
        claimants = [each for each in self._members(service=service.name) if each.leads and each.state == READY]
        states = await self._states(members=claimants)
        leading = {name: state for name, state in states.items() if state.leads}
        if not leading:
            self._say(service=service.name, reason="no backend says that it leads")
            self.not_before_us[service.name] = self.ctx.now_us() + RETRY_US
            return
        name = max(leading, key=lambda each: leading[each].term)
        lead = ServicePrimary(term=leading[name].term, primary=name, state=PrimaryState.settled)
        await self._put(service=service.name, old=None, new=lead)

    async def _must_move(self, *, service: Service, lead: ServicePrimary) -> str:
        """Why the lead can't stay; empty where it can."""
        name = lead.primary
        member = self._member(name=name)
        if member is None:
            # why: one that was never heard of since this daemon began may still be about to beat
            if self.ctx.now_us() - self.lead_since_us[service.name] < self.heartbeat_table.silent_after_us * 2:
                return ""
            return "is not known"
        if member.state == GONE:
            # why: some deregister first and serve on; one that leads yet is to step down, and loses nobody's commits
            state = await self.control.state(backend=member, wait_us=PROBE_WAIT_US)
            return "is emptying" if state.is_ok() and state.ok.leads else "is gone"
        quiet = self.heartbeat_table.silent(name=name) and self.heartbeat_table.connected
        if member.state != READY:
            # why: one that leaves may die before it has stepped down, and then nobody can ask it to
            dead = quiet or name in self.suspects_us
            reason = await self._examine(member=member, quiet=quiet) if dead else ""
            self.suspects_us.pop(name, None)
            return reason if reason in DEAD else "is emptying"
        demoted = not member.leads and not quiet
        if not quiet and not demoted and name not in self.suspects_us:
            return ""
        reason = await self._examine(member=member, quiet=quiet)
        self.suspects_us.pop(name, None)
        return reason

    async def _examine(self, *, member: Announcement, quiet: bool) -> str:
        own, (reached, requested) = await asyncio.gather(
            self.control.state(backend=member, wait_us=PROBE_WAIT_US), self.opinions(member.name)
        )
        self.ctx.counters.add(name="promotion.examined")
        if own.is_ok():
            return "" if own.ok.leads else "does not lead"
        # why: silent is not dead; one that takes connections is waited for until its heartbeats are missed too
        if own.error.code != ErrorCode.WIRE_UNSENT and not quiet:
            return ""
        # why: whether a primary is gone is judged by what most see, since the holder may be the one that is cut off
        if 2 * (requested - reached + 1) <= requested + 1:
            return ""
        return "is gone" if own.error.code == ErrorCode.WIRE_UNSENT else "is silent"

    async def _move(self, *, service: Service, lead: ServicePrimary, reason: str) -> None:
        self._say(service=service.name, reason=f"{lead.primary} {reason}")
        self.not_before_us[service.name] = self.ctx.now_us() + RETRY_US
        members = self._members(service=service.name)
        others = [each for each in members if each.name != lead.primary]
        old = self._member(name=lead.primary)
        began_us = self.ctx.now_us()
        fenced = None
        if old is not None and reason in ALIVE:
            stopped = await self._stop_primary(service=service, lead=lead, old=old, others=others)
            if stopped is None:
                return
            lead, fenced = stopped
        elif heir := await self._heir(lead=lead, old=old, others=others):
            fenced = heir
        elif any(each.state == READY for each in others):
            fenced = await self._fence(service=service, lead=lead, others=others)
        else:
            self._say(service=service.name, reason=f"{lead.primary} {reason}, and no copy can take its place")
        if fenced is None:
            return
        term, best, fence = fenced
        moving = ServicePrimary(
            term=term,
            primary=best,
            state=PrimaryState.moving,
            fence=fence,
            # why: a stop that took longer than whole moves do leaves no guess but soon
            ready_in_us=max(0, max(self.move_us, self.outwait_us) - (self.ctx.now_us() - began_us)),
            planned=lead.planned,
        )
        if await self._put(service=service.name, old=lead, new=moving):
            self.ctx.counters.add(name="promotion.moves")
            await self._finish(service=service, lead=self.leads[service.name])

    async def _stop_primary(
        self, *, service: Service, lead: ServicePrimary, old: Announcement, others: list[Announcement]
    ) -> tuple[ServicePrimary, Fenced] | None:
        """Has a primary that is alive step down; it holds all that it ever acknowledged, and so does who has as much.

        None: it goes on as it was, since nobody could take its place now.
        """
        ready = [each for each in others if each.state == READY]
        # why: a copy that is silent must not hold up a move that another one can serve
        states = await self._states(members=[old, *ready], enough=lambda got: old.name in got and len(got) > 1)
        now = states.pop(old.name, None)
        # why: where no copy is near, a stop would only be an outage
        if now is None or not any(state.received.term >= now.received.term for state in states.values()):
            self._say(service=service.name, reason=f"{lead.primary} is to leave, and no copy is there to follow it")
            if now is None:
                self.suspects_us.setdefault(lead.primary, self.ctx.now_us())
            self.not_before_us[service.name] = self.ctx.now_us() + RETRY_US
            if lead.state == PrimaryState.closing:
                await self._put(service=service.name, old=lead, new=replace(lead, state=PrimaryState.settled))
            return None
        if lead.state == PrimaryState.settled and now.leads:
            closing = replace(lead, state=PrimaryState.closing, ready_in_us=self.move_us, planned=True)
            if not await self._put(service=service.name, old=lead, new=closing):
                return None
            lead = self.leads[service.name]
            # why: what the primary was given already may end, and nothing more comes once the word is out
            await self.ctx.sleep(duration_us=CLOSING_US)
        term = max([lead.term, now.term_held, *(state.term_held for state in states.values())]) + 1
        stepped = await self.control.step_down(backend=old, term=term, wait_us=PAUSE_WAIT_US)
        if stepped.is_error() or stepped.ok.leads:
            self._say(service=service.name, reason=f"{lead.primary} does not step down")
            self.not_before_us[service.name] = self.ctx.now_us() + STEP_AGAIN_US
            if lead.state == PrimaryState.closing:
                await self._put(service=service.name, old=lead, new=replace(lead, state=PrimaryState.settled))
            return None
        fence = stepped.ok.received
        until_us = self.ctx.now_us() + FOLLOW_US
        while True:
            states = await self._states(
                members=ready, enough=lambda got: any(state.received >= fence for state in got.values())
            )
            # why: a primary that waits for its end is no place for a lead, but its log is the one that counts
            full = {name: state for name, state in states.items() if state.received >= fence}
            if full or self.ctx.now_us() > until_us:
                break
            await self.ctx.sleep(duration_us=POLL_US // 2)
        best = max(sorted(full), key=lambda name: full[name].received) if full else lead.primary
        return lead, Fenced(term=term, best=best, position=max(fence, full[best].received) if full else fence)

    async def _heir(
        self, *, lead: ServicePrimary, old: Announcement | None, others: list[Announcement]
    ) -> Fenced | None:
        """Who has a primary's log from it, at its address, and leads with it; None where there is nobody such."""
        if old is None or old.state != GONE:
            return None
        # why: it can't be paused, since it leads; and it need not be, since all that was acknowledged is in its log
        heirs = [each for each in others if each.address == old.address and each.leads and each.state == READY]
        for name, state in (await self._states(members=heirs)).items():
            if state.leads and state.term >= lead.term:
                return Fenced(term=state.term, best=name, position=state.received)
        return None

    async def _fence(self, *, service: Service, lead: ServicePrimary, others: list[Announcement]) -> Fenced | None:
        """Pauses copies until the old primary can have nothing confirmed; None where too few can be paused."""
        term = max(lead.term, self.terms.get(service.name, 0)) + 1
        self.fenced.add(service.name)
        left = [each for each in self.departures.unsettled(service=service.name) if each.name != lead.primary]
        confirming = [*others, *left]
        # why: each acknowledged commit stands at as many copies as confirm; all sets of these meet the paused ones
        needed = max(1, len(confirming) - service.confirmations + 1) if service.confirmations else 1
        asks = {each.name: self.control.pause(backend=each, term=term, wait_us=PAUSE_WAIT_US) for each in confirming}
        states = await self._gather(
            asks=asks, enough=lambda got: sum(state.term_held == term for state in got.values()) >= needed
        )
        held = {name: state for name, state in states.items() if state.term_held == term}
        if len(held) >= needed:
            ready = {each.name for each in others if each.state == READY}
            best = max(sorted(held), key=lambda name: (held[name].received, name in ready))
            return Fenced(term=term, best=best, position=held[best].received)
        higher = [state.term_held for state in states.values() if state.term_held > term]
        # why: a copy that refuses may have promised a later term to a holder that is gone
        self.terms[service.name] = max([term, *higher])
        self._say(
            service=service.name,
            reason=f"{lead.primary} can't be fenced: {len(held)} of {needed} copies paused"
            + (f" ({', '.join(each.name for each in left)} left)" if left else "")
            + (f", a higher term {max(higher)} is held" if higher else ""),
        )
        return None

    async def _finish(self, *, service: Service, lead: ServicePrimary) -> None:
        """From moving to settled: promote, see it lead, and outwait every older view."""
        since_us = self.lead_since_us[service.name]
        requested_us = -PROMOTE_AGAIN_US
        reached_us = self.ctx.now_us()
        taken = False
        while True:
            if not self.lease.held:
                return
            member = self._member(name=lead.primary)
            now_us = self.ctx.now_us()
            if not taken and now_us - requested_us >= PROMOTE_AGAIN_US:
                requested_us = now_us
                result = await self.promoter.promote(
                    service=service.name,
                    backend=lead.primary,
                    fence_number=self.fence_number,
                    holds=lambda: self.lease.held,
                )
                taken = result.is_ok()
                if result.is_error():
                    self.ctx.log.warning("%s: %s not promoted: %s", service.name, lead.primary, result.error.reason)
                if result.is_error() and result.error.code == ErrorCode.NO_BACKEND:
                    await self._supersede(service=service, lead=lead)
                    return
            state = None if member is None else await self.control.state(backend=member, wait_us=PROBE_WAIT_US)
            if state is not None and state.is_ok() and state.ok.leads:
                break
            if state is not None and (state.is_ok() or state.error.code != ErrorCode.WIRE_UNSENT):
                reached_us = self.ctx.now_us()
            lost = self.ctx.now_us() - reached_us > LOST_US or (member is not None and member.state == GONE)
            if lost or self.ctx.now_us() - since_us > GIVE_UP_US:
                await self._supersede(service=service, lead=lead)
                return
            await self.ctx.sleep(duration_us=POLL_US)
        wait_us = self.stopped_us[service.name] + self.outwait_us - self.ctx.now_us()
        if wait_us > 0:
            await self.ctx.sleep(duration_us=wait_us)
        settled = ServicePrimary(term=state.ok.term, primary=lead.primary, state=PrimaryState.settled)
        if await self._put(service=service.name, old=lead, new=settled):
            self.fenced.discard(service.name)
            self.paused[service.name] = {each.name for each in self._members(service=service.name)} - {lead.primary}
            self._say(service=service.name, reason="")
            took_us = self.ctx.now_us() - since_us
            self.move_us += (took_us - self.move_us) // 2
            self.ctx.counters.gauge(name="promotion.last_move_us", value=took_us)

    async def _supersede(self, *, service: Service, lead: ServicePrimary) -> None:
        """The one placed does not come to lead. Another that holds everything takes its place, in a later term."""
        self.not_before_us[service.name] = self.ctx.now_us() + RETRY_US
        members = [each for each in self._members(service=service.name) if each.name != lead.primary]
        states = await self._states(members=members)
        fit = {name: state for name, state in states.items() if state.received >= lead.fence}
        if not fit:
            self._say(service=service.name, reason=f"{lead.primary} does not lead, and nobody else holds everything")
            return

        def rank(name: str) -> tuple[bool, Position]:
            return fit[name].leads, fit[name].received

        best = max(sorted(fit), key=rank)
        term = max([lead.term, *(state.term_held for state in states.values())]) + 1
        new = replace(lead, term=term, primary=best, ready_in_us=self.move_us)
        if await self._put(service=service.name, old=lead, new=new):
            self.ctx.counters.add(name="promotion.superseded")
