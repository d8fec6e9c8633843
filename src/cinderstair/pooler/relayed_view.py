"""A proxy's view of the register and of the backends, pulled from one controller at a time."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from ..failover.service_primary import PrimaryState
from ..failover.shard_state import ShardPhase, Vote
from ..membership.relay_record import RelayAnswer, RelayedValue, RelayQuestion, read_relay_answer
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from .relayed_state import RelayedState
from .sample_pool import SamplePool

PULL_INTERVAL_US = 250_000
# Applies while a promotion or a shard map change is under way, and after a failed pull.
URGENT_PULL_INTERVAL_US = 90_000
PULL_WAIT_US = 450_000
# The controller is chosen again at intervals that double from the minimum to the maximum.
MIN_CHOICE_INTERVAL_US = 2_000_000
MAX_CHOICE_INTERVAL_US = 60_000_000
# How long a starting proxy waits for other controllers once one has answered.
OTHERS_WAIT_US = 50_000
# How long a controller is tried last after it did not answer, or answered with outdated or unreadable state.
UNANSWERED_AVOID_US = 2_000_000
OUTDATED_AVOID_US = 500_000
# How long a view is current. Not a setting: a controller that replaces a primary waits until all views have expired,
# so all daemons must use the same value.
LEASE_US = 1_000_000
# Controllers count as silent after this time. It exceeds LEASE_US and what two lost requests explain.
SILENCE_TOLERANCE_US = 1_200_000


class TimedAnswer(NamedTuple):
    """A controller's answer, and when the request was sent, by this proxy's clock."""

    requested_us: int
    answer: RelayAnswer


class ChoiceCost(NamedTuple):
    """Orders controllers by distance; among equally near ones the current one comes first."""

    distance: int
    switches: bool


class ShardVote(NamedTuple):
    """This proxy's vote on a shard map proposal; `proposal` is 0 where none is known."""

    proposal: int
    vote: Vote


WORST_COST = ChoiceCost(1 << 30, True)
BEST_COST = ChoiceCost(0, False)


class RelayedView(RelayedState):
    """Pulls the state from a controller and decides which controller to ask.

    Primary assignments are valid only while the view is `current`; the lists of backends and addresses are also used
    after that. `controller`: the address of the controller in use; empty before the first answer. `as_of_us`: the
    time, by this proxy's clock, at which the state was certainly valid. `answered_us`: when any controller last
    answered.

    Set by the owner: `vote` returns this proxy's vote on a shard map, `suspected_backends` the names of backends that
    fail from here, and `ask` samples the position of a service's primary at the controller's request.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        site: str,
        seeds: Callable[[], tuple[str, ...]],
        distance: Callable[[str], int] = lambda site: 0,
    ) -> None:
        """
        :param seeds: the configured addresses of controllers.
        :param distance: the distance from this proxy to a site; smaller is nearer.
        """
        super().__init__(ctx=ctx)
        self.site = site
        self.seeds = seeds
        self.distance = distance
        self.controller = ""
        self.as_of_us = -LEASE_US
        self.answered_us = ctx.now_us()
        self.samples = SamplePool(ctx=ctx, assignment=self.primaries.get)
        self.vote: Callable[[], ShardVote] = lambda: ShardVote(0, Vote.silent)
        self.ask: Callable[[str], None] = lambda service: None
        self.suspected_backends: Callable[[], tuple[str, ...]] = tuple
        self._pull_requested = asyncio.Event()
        self._avoid_until_us: dict[str, int] = {}
        self._chosen = ""
        self._next_choice_us = ctx.now_us() + MIN_CHOICE_INTERVAL_US
        self._choice_interval_us = MIN_CHOICE_INTERVAL_US

    @property
    def current(self) -> bool:
        """Whether the view's primary assignments are still guaranteed to be valid."""
        return self.ctx.now_us() < self.as_of_us + LEASE_US

    @property
    def controllers_silent_us(self) -> int:
        """How long no controller has answered, beyond SILENCE_TOLERANCE_US; 0 while controllers answer."""
        return max(0, self.ctx.now_us() - self.answered_us - SILENCE_TOLERANCE_US)

    def pull_now(self) -> None:
        """Starts the next pull without waiting for the interval."""
        self._pull_requested.set()

    async def run(self) -> None:
        """Pulls until the process ends."""
        while True:
            if self.ctx.now_us() >= self._next_choice_us:
                # A silent controller delays the choice but must not delay pulls.
                self.ctx.spawn(work=self.choose_controller(), name="view.choose")
            if self._chosen:
                self.controller, self._chosen = self._chosen, ""
            pulled = await self.pull()
            wait_us = URGENT_PULL_INTERVAL_US if self._moving() or not pulled else PULL_INTERVAL_US
            try:
                async with asyncio.timeout(wait_us / 1_000_000):
                    await self._pull_requested.wait()
            except TimeoutError:
                pass
            self._pull_requested.clear()

    def _moving(self) -> bool:
        """Whether a primary or the shard map is being changed."""
        moving = any(assignment.state != PrimaryState.settled for assignment in self.primaries.values())
        return moving or self.shards.phase != ShardPhase.steady

    def take_pushed(self, *, entry: RelayedValue) -> None:
        """Applies a value that a controller sent without being asked; it does not make the view any newer.

        :raises ValueError: the value can't be decoded.
        """
        self._take_value(entry=entry)
        self._wake()

    # -- the choice of a controller --

    def _addresses_by_preference(self) -> list[str]:
        """All known controllers: those that have not failed recently first, the current one first of these."""
        addresses = list(dict.fromkeys((*self.controllers, *self.seeds())))
        now_us = self.ctx.now_us()
        self.ctx.rng.shuffle(addresses)
        return sorted(addresses, key=lambda a: (self._avoid_until_us.get(a, 0) > now_us, a != self.controller))

    def _avoid(self, *, address: str, for_us: int) -> None:
        self._avoid_until_us[address] = self.ctx.now_us() + for_us

    async def choose_controller(self) -> None:
        """Sends a brief request to all known controllers and chooses the nearest that is current.

        Among equally near ones the current controller wins, then the first to answer. The nearest controller may just
        be starting, so the choice is repeated at growing intervals.
        """
        self._next_choice_us = self.ctx.now_us() + self._choice_interval_us
        self._choice_interval_us = min(2 * self._choice_interval_us, MAX_CHOICE_INTERVAL_US)
        question = RelayQuestion(proxy=self.ctx.name, site=self.site, brief=True)
        tasks = {
            self.ctx.spawn(work=self._ask(address=address, question=question)): address
            for address in dict.fromkeys((*self.controllers, *self.seeds()))
        }
        pending, best, chosen = set(tasks), WORST_COST, ""
        while pending and best != BEST_COST:
            wait_s = OTHERS_WAIT_US / 1_000_000 if chosen and not self.controller else None
            done, pending = await asyncio.wait(pending, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                break
            for task in done:
                cost = self._choice_cost(address=tasks[task], result=task.result())
                if cost < best:
                    best, chosen = cost, tasks[task]
        self._chosen = chosen

    def _choice_cost(self, *, address: str, result: Result[TimedAnswer, CinderstairError]) -> ChoiceCost:
        """The cost of a controller by its brief answer; WORST_COST where it failed or its state is outdated."""
        if result.is_error() or result.ok.answer.age_us >= LEASE_US:
            return WORST_COST
        # Another controller has to send its full state, so the current one is kept if no other is nearer.
        switches = bool(self.controller) and address != self.controller
        return ChoiceCost(self.distance(result.ok.answer.site), switches)

    # -- pulling --

    def _question(self, *, full: bool) -> RelayQuestion:
        proposal, vote = self.vote()
        return RelayQuestion(
            proxy=self.ctx.name,
            site=self.site,
            source=0 if full else self.source,
            revision=0 if full else self.revision,
            suspected=self.suspected_backends(),
            proposal=proposal,
            vote=vote,
            samples=() if full else self.samples.reported(source=self.source),
            wanted=() if full else self.samples.wanted_samples(),
        )

    async def _ask(self, *, address: str, question: RelayQuestion) -> Result[TimedAnswer, CinderstairError]:
        requested_us = self.ctx.now_us()
        body = question.write(packer=Packer().u8(value=MessageType.RELAY)).bytes()
        result = await self.ctx.net.request(address=address, body=body, wait_us=PULL_WAIT_US)
        if result.is_error():
            return Error(result.error)
        try:
            return Ok(TimedAnswer(requested_us, read_relay_answer(data=result.ok)))
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return Error(
                CinderstairError(
                    code=ErrorCode.MALFORMED, reason=f"{address}: the answer is not a valid relay answer"
                )
            )

    async def pull(self) -> bool:
        """Requests the state from one controller once.

        :returns: whether its answer made the view current.
        """
        address = self._addresses_by_preference()[0]
        switches = address != self.controller
        if switches:
            # This controller was not chosen by distance, so the choice is repeated soon.
            self._choice_interval_us = MIN_CHOICE_INTERVAL_US
            self._next_choice_us = self.ctx.now_us() + MIN_CHOICE_INTERVAL_US
        # Revisions are counted by each controller, so a different one is asked for its full state.
        result = await self._ask(address=address, question=self._question(full=switches))
        if result.is_error():
            self.ctx.counters.add(name="view.missed")
            self._avoid(address=address, for_us=UNANSWERED_AVOID_US)
            return False
        self.answered_us = self.ctx.now_us()
        if result.ok.answer.age_us >= LEASE_US:
            self._take_outdated(address=address, answer=result.ok.answer)
            return False
        self.controller = address
        return self._take_current(address=address, timed=result.ok)

    def _take_outdated(self, *, address: str, answer: RelayAnswer) -> None:
        """Takes only the backends of a controller that is cut off from the register, and avoids it for a while."""
        self._avoid(address=address, for_us=OUTDATED_AVOID_US)
        self.ctx.counters.add(name="view.outOfTouch")
        self._take_backends(entries=answer.backends)
        self._wake()

    def _take_current(self, *, address: str, timed: TimedAnswer) -> bool:
        """Applies the answer of a controller whose state is current.

        :returns: whether the view is current afterwards; False also if a value can't be decoded.
        """
        requested_us, answer = timed
        try:
            self._take(answer=answer)
        except ValueError as error:
            # A value that can't be decoded is not applied, and must not end the pull loop.
            self.ctx.counters.add(name="view.unreadable")
            self.ctx.log.error(
                "controller %s: its relay answer can't be decoded: %s; trying another controller", address, error
            )
            self._avoid(address=address, for_us=OUTDATED_AVOID_US)
            return False
        # Counted from the sending of the request less the age of the state, so it never seems newer than it is.
        self.as_of_us = max(self.as_of_us, requested_us - answer.age_us)
        # Samples are accepted only in the term of the current assignment, so assignments are applied first.
        self.samples.answered(
            source=answer.source, answered_us=answer.answered_us, requested_us=requested_us, samples=answer.samples
        )
        for service in answer.ask:
            self.ask(service)
        self._wake()
        return self.current
