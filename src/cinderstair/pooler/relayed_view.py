"""What a proxy knows of the register and of the backends, pulled from one controller at a time."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from expression import Error, Ok, Result
from reactivex.subject import Subject

from ..config.service_plan import PLAN_KEY, ServicePlan, read_service_plan
from ..consensus.ballot import Ballot
from ..failover.proxy_addresses import PROXY_ADDRESSES_KEY, ProxyAddress, read_proxy_addresses
from ..failover.proxy_ids import PROXY_IDS_KEY, ProxyIds, read_proxy_ids
from ..failover.service_primary import PREFIX, PrimaryState, ServicePrimary, read_service_primary
from ..failover.shard_state import SHARDS_KEY, ShardPhase, ShardState, Vote, read_shard_state
from ..membership.announcement import GONE
from ..membership.relay_record import (
    RelayAnswer,
    RelayedBackend,
    RelayedValue,
    RelayQuestion,
    read_relay_answer,
)
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from .sample_pool import SamplePool

PULL_EVERY_US = 250_000
HASTE_EVERY_US = 90_000
PULL_WAIT_US = 450_000
CHOOSE_AGAIN_US = 2_000_000
CHOOSE_SELDOM_US = 60_000_000
OTHERS_WAIT_US = 50_000
# why: no setting, since whoever moves a lead waits for all views by its own figure, so all must have the same
LEASE_US = 1_000_000
# why: longer than what it knows may count, and than two questions that went astray
ALONE_US = 1_200_000


def gone(*, entry: RelayedBackend) -> bool:
    """Whether a backend that is no longer named need not be kept."""
    return entry.silent or entry.announcement.state == GONE


class RelayedView:
    """What it says of leads counts only while it is current; the lists may be used for longer."""

    def __init__(
        self,
        *,
        ctx: Context,
        site: str,
        seeds: Callable[[], tuple[str, ...]],
        distance: Callable[[str], int] = lambda site: 0,
    ) -> None:
        self.ctx = ctx
        self.site = site
        self.seeds = seeds
        self.distance = distance
        self.controllers: tuple[str, ...] = ()
        self.requested = ""
        self.source = 0
        self.edition = 0
        self.as_of_us = -LEASE_US
        self.answered_us = ctx.now_us()
        self.ballots: dict[str, Ballot] = {}
        self.plan: ServicePlan | None = None
        self.proxy_ids = ProxyIds()
        self.places: dict[str, ProxyAddress] = {}
        self.shards = ShardState()
        self.vote: Callable[[], tuple[int, Vote]] = lambda: (0, Vote.silent)
        self.leads: dict[str, ServicePrimary] = {}
        self.lead_since_us: dict[str, int] = {}
        self.backends: dict[str, RelayedBackend] = {}
        self.samples = SamplePool(ctx=ctx, lead=self.leads.get)
        self.ask: Callable[[str], None] = lambda service: None
        self.changes: Subject[str] = Subject()
        self.troubled: Callable[[], tuple[str, ...]] = tuple
        self._waiting: list[asyncio.Future[None]] = []
        self._hurry = asyncio.Event()
        self._away: dict[str, int] = {}
        self._nearest = ""
        self._choose_us = ctx.now_us() + CHOOSE_AGAIN_US
        self._choose_pause_us = CHOOSE_AGAIN_US

    @property
    def current(self) -> bool:
        return self.ctx.now_us() < self.as_of_us + LEASE_US

    @property
    def alone_us(self) -> int:
        """For how long no controller at all has answered, past the time in which that may be chance."""
        return max(0, self.ctx.now_us() - self.answered_us - ALONE_US)

    def hurry(self) -> None:
        """Asks at once rather than at the next turn."""
        self._hurry.set()

    async def keep(self) -> None:
        """Pulls for as long as the process runs."""
        while True:
            if self.ctx.now_us() >= self._choose_us:
                # why: a controller that is silent holds the choice up, and must not hold up the asking
                self.ctx.spawn(work=self.choose(), name="view.choose")
            if self._nearest:
                self.requested, self._nearest = self._nearest, ""
            pulled = await self.pull()
            moving = any(lead.state != PrimaryState.settled for lead in self.leads.values())
            moving = moving or self.shards.phase != ShardPhase.steady
            wait_us = HASTE_EVERY_US if moving or not pulled else PULL_EVERY_US
            try:
                async with asyncio.timeout(wait_us / 1_000_000):
                    await self._hurry.wait()
            except TimeoutError:
                pass
            self._hurry.clear()

    def _order(self) -> list[str]:
        """The one asked last, while it answers; then those that have not failed of late."""
        addresses = list(dict.fromkeys((*self.controllers, *self.seeds())))
        now_us = self.ctx.now_us()
        self.ctx.rng.shuffle(addresses)
        return sorted(addresses, key=lambda a: (self._away.get(a, 0) > now_us, a != self.requested))

    async def choose(self) -> None:
        """Asks all that are known once, and goes to the nearest that is current; of those as near to the quickest."""
        # why: the nearest may be just beginning, so it is looked for again, ever more seldom
        self._choose_us = self.ctx.now_us() + self._choose_pause_us
        self._choose_pause_us = min(2 * self._choose_pause_us, CHOOSE_SELDOM_US)
        question = RelayQuestion(proxy=self.ctx.name, site=self.site, brief=True)
        tasks = {
            self.ctx.spawn(work=self._ask(address=address, question=question)): address
            for address in dict.fromkeys((*self.controllers, *self.seeds()))
        }
        pending, best, found = set(tasks), (1 << 30, True), ""
        while pending and best != (0, False):
            # why: a proxy that begins must not wait for a controller that is silent once another has answered
            wait_s = OTHERS_WAIT_US / 1_000_000 if found and not self.requested else None
            done, pending = await asyncio.wait(pending, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                break
            for task in done:
                if task.result().is_ok() and task.result().ok[1].age_us < LEASE_US:
                    # why: among those as near the one asked stays, since another has to tell everything anew
                    cost = (
                        self.distance(task.result().ok[1].site),
                        bool(self.requested) and tasks[task] != self.requested,
                    )
                    if cost < best:
                        best, found = cost, tasks[task]
        self._nearest = found

    def _question(self, *, whole: bool) -> RelayQuestion:
        turn, vote = self.vote()
        return RelayQuestion(
            proxy=self.ctx.name,
            site=self.site,
            source=0 if whole else self.source,
            edition=0 if whole else self.edition,
            suspected=self.troubled(),
            turn=turn,
            vote=vote,
            samples=() if whole else self.samples.reported(source=self.source),
            wanted=() if whole else self.samples.wants(),
        )

    async def _ask(
        self, *, address: str, question: RelayQuestion
    ) -> Result[tuple[int, RelayAnswer], CinderstairError]:
        requested_us = self.ctx.now_us()
        body = question.write(packer=Packer().u8(value=MessageType.RELAY)).bytes()
        result = await self.ctx.net.request(address=address, body=body, wait_us=PULL_WAIT_US)
        if result.is_error():
            return Error(result.error)
        try:
            return Ok((requested_us, read_relay_answer(data=result.ok)))
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return Error(CinderstairError(code=ErrorCode.MALFORMED, reason=f"{address}: no relayed news"))

    async def pull(self) -> bool:
        """One question to one controller; True where what it said is current."""
        address = self._order()[0]
        if address != self.requested:
            # why: whoever is taken in haste may be far away
            self._choose_pause_us = CHOOSE_AGAIN_US
            self._choose_us = self.ctx.now_us() + CHOOSE_AGAIN_US
        # why: editions are counted by each controller for itself, so another one is asked for everything
        result = await self._ask(address=address, question=self._question(whole=address != self.requested))
        if result.is_error():
            self.ctx.counters.add(name="view.missed")
            self._away[address] = self.ctx.now_us() + 2_000_000
            return False
        requested_us, answer = result.ok
        self.answered_us = self.ctx.now_us()
        if answer.age_us >= LEASE_US:
            # why: a controller that is cut off from the other register replicas knows nothing current; another one
            # may
            self._away[address] = self.ctx.now_us() + 500_000
            self.ctx.counters.add(name="view.outOfTouch")
            self._take_backends(entries=answer.backends)
            self._wake()
            return False
        self.requested = address
        try:
            self._take(answer=answer)
        except ValueError as error:
            # why: what can't be read here can't be in force here, and must not end the asking for what can
            self.ctx.counters.add(name="view.unreadable")
            self.ctx.log.error("an answer of %s can't be read here: %s", address, error)
            self._away[address] = self.ctx.now_us() + 500_000
            return False
        # why: counted from our asking less the age that it had there, so it is never taken for younger than it is
        self.as_of_us = max(self.as_of_us, requested_us - answer.age_us)
        # why: after what the answer says of leads, since a sample counts under the lead that it was asked under
        self.samples.answered(
            source=answer.source, answered_us=answer.answered_us, requested_us=requested_us, samples=answer.samples
        )
        for service in answer.ask:
            self.ask(service)
        self._wake()
        return self.current

    def _take(self, *, answer: RelayAnswer) -> None:
        if answer.controllers:
            self.controllers = answer.controllers
        if answer.whole:
            named = {entry.announcement.name for entry in answer.backends}
            # why: a controller that has just begun knows few of those that are there; who is not heard goes
            lost = [name for name, entry in self.backends.items() if name not in named and gone(entry=entry)]
            for name in lost:
                del self.backends[name]
        self._take_backends(entries=answer.backends)
        for value in answer.values:
            self._take_value(entry=value)
        self.source, self.edition = answer.source, answer.edition
        if answer.backends or answer.whole:
            self.changes.on_next("backends")

    def _take_backends(self, *, entries: tuple[RelayedBackend, ...]) -> None:
        for entry in entries:
            known = self.backends.get(entry.announcement.name)
            # why: another controller may not have heard yet what this one has
            if known is not None and entry.announcement.order < known.announcement.order:
                continue
            # why: a deregistration that reached daemons that knew nothing of the backend says no more than its name
            if entry.announcement.state == GONE and not entry.announcement.service:
                if known is None:
                    continue
                entry = replace(entry, announcement=replace(known.announcement, state=GONE, leads=False))
            self.backends[entry.announcement.name] = entry

    def _take_value(self, *, entry: RelayedValue) -> None:
        known = self.ballots.get(entry.key)
        if known is not None and known >= entry.ballot:
            return
        if entry.value:
            self._apply(key=entry.key, value=entry.value)
        self.ballots[entry.key] = entry.ballot
        self.changes.on_next(entry.key)

    def _apply(self, *, key: str, value: bytes) -> None:
        if key == PLAN_KEY:
            plan = read_service_plan(data=value)
            # why: the register never goes back, and neither does anything that follows it
            if self.plan is None or plan.version > self.plan.version:
                self.plan = plan
                self.ctx.log.info("configuration %d in force", plan.version)
        elif key == PROXY_IDS_KEY:
            self.proxy_ids = read_proxy_ids(data=value)
        elif key == PROXY_ADDRESSES_KEY:
            self.places = read_proxy_addresses(data=value).places
        elif key == SHARDS_KEY:
            self.shards = read_shard_state(data=value)
        elif key.startswith(PREFIX):
            lead = read_service_primary(data=value)
            service = key.removeprefix(PREFIX)
            self.leads[service] = lead
            self.lead_since_us[service] = self.ctx.now_us()
            self.ctx.log.info("%s: term %d %s %s", service, lead.term, lead.primary, lead.state.name)

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def change(self, *, until_us: int) -> None:
        """Waits for the next answer of a controller, whatever it says, or until the moment given."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        try:
            async with asyncio.timeout(max(0, until_us - self.ctx.now_us()) / 1_000_000):
                await future
        except TimeoutError:
            pass
