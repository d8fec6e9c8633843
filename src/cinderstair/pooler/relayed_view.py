"""What a proxy knows of the register and of the backends, pulled from one controller at a time."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from ..failover.service_primary import PrimaryState
from ..failover.shard_state import ShardPhase, Vote
from ..membership.relay_record import RelayAnswer, RelayQuestion, read_relay_answer
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from .relayed_state import RelayedState
from .sample_pool import SamplePool

PULL_INTERVAL_US = 250_000
# While a primary or the shard map moves, or a pull has failed.
URGENT_PULL_INTERVAL_US = 90_000
PULL_WAIT_US = 450_000
MIN_CHOICE_INTERVAL_US = 2_000_000
MAX_CHOICE_INTERVAL_US = 60_000_000
# A starting proxy does not wait longer for other controllers once one has answered.
OTHERS_WAIT_US = 50_000
UNANSWERED_AVOID_US = 2_000_000
OUTDATED_AVOID_US = 500_000
# Not a setting: whoever moves a primary waits for all views by this figure, so all daemons must have the same.
LEASE_US = 1_000_000
# Longer than a view is current, and than two lost questions explain.
SILENCE_TOLERANCE_US = 1_200_000


class TimedAnswer(NamedTuple):
    """A controller's answer, and when its question was sent, by this proxy's clock."""

    requested_us: int
    answer: RelayAnswer


class ChoiceCost(NamedTuple):
    """Controllers are chosen by distance, and the present one before others that are as near."""

    distance: int
    changes: bool


class ShardVote(NamedTuple):
    """What this proxy says of the shard map of a proposal; 0: nothing is proposed."""

    proposal: int
    vote: Vote


WORST_COST = ChoiceCost(1 << 30, True)
BEST_COST = ChoiceCost(0, False)


class RelayedView(RelayedState):
    """Pulls the state from a controller. It proves who leads only while it is current; the lists serve for longer.

    `controller`: the address that answered last; empty before the first answer. `as_of_us`: the moment, by this
    proxy's clock, as of which the view is known to be right.
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
        self._hurry = asyncio.Event()
        self._avoid_until_us: dict[str, int] = {}
        self._chosen = ""
        self._next_choice_us = ctx.now_us() + MIN_CHOICE_INTERVAL_US
        self._choice_interval_us = MIN_CHOICE_INTERVAL_US

    @property
    def current(self) -> bool:
        """Whether what the view says of primaries still holds for sure."""
        return self.ctx.now_us() < self.as_of_us + LEASE_US

    @property
    def controllers_silent_us(self) -> int:
        """For how long no controller at all has answered, past the time in which that may be chance."""
        return max(0, self.ctx.now_us() - self.answered_us - SILENCE_TOLERANCE_US)

    def pull_now(self) -> None:
        """Pulls at once rather than at the next turn."""
        self._hurry.set()

    async def run(self) -> None:
        """Pulls for as long as the process runs."""
        while True:
            if self.ctx.now_us() >= self._next_choice_us:
                # A silent controller delays the choice, and must not delay the pulling.
                self.ctx.spawn(work=self.choose_controller(), name="view.choose")
            if self._chosen:
                self.controller, self._chosen = self._chosen, ""
            pulled = await self.pull()
            wait_us = URGENT_PULL_INTERVAL_US if self._moving() or not pulled else PULL_INTERVAL_US
            try:
                async with asyncio.timeout(wait_us / 1_000_000):
                    await self._hurry.wait()
            except TimeoutError:
                pass
            self._hurry.clear()

    def _moving(self) -> bool:
        """Whether any primary or the shard map is being moved."""
        moving = any(assignment.state != PrimaryState.settled for assignment in self.primaries.values())
        return moving or self.shards.phase != ShardPhase.steady

    # -- the choice of a controller --

    def _addresses_by_preference(self) -> list[str]:
        """The present controller while it answers; then those that have not failed lately."""
        addresses = list(dict.fromkeys((*self.controllers, *self.seeds())))
        now_us = self.ctx.now_us()
        self.ctx.rng.shuffle(addresses)
        return sorted(addresses, key=lambda a: (self._avoid_until_us.get(a, 0) > now_us, a != self.controller))

    def _avoid(self, *, address: str, for_us: int) -> None:
        self._avoid_until_us[address] = self.ctx.now_us() + for_us

    async def choose_controller(self) -> None:
        """Asks all known controllers once, and takes the nearest that is current; of equals the one that is quickest.

        The nearest may just be starting, so the choice is made again, at intervals that grow.
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
        """The cost of a controller by its answer to a brief question; the worst where it is of no use."""
        if result.is_error() or result.ok.answer.age_us >= LEASE_US:
            return WORST_COST
        # Another controller has to send everything anew, so the present one stays among those that are as near.
        changes = bool(self.controller) and address != self.controller
        return ChoiceCost(self.distance(result.ok.answer.site), changes)

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
            wanted=() if full else self.samples.wants(),
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
            return Error(CinderstairError(code=ErrorCode.MALFORMED, reason=f"{address}: no relayed news"))

    async def pull(self) -> bool:
        """Asks one controller once.

        :returns: whether its answer made the view current.
        """
        address = self._addresses_by_preference()[0]
        changes = address != self.controller
        if changes:
            # A controller that is taken in haste may be distant, so the choice is made again soon.
            self._choice_interval_us = MIN_CHOICE_INTERVAL_US
            self._next_choice_us = self.ctx.now_us() + MIN_CHOICE_INTERVAL_US
        # Each controller counts revisions for itself, so another one is asked for everything.
        result = await self._ask(address=address, question=self._question(full=changes))
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
        """A controller that is cut off from the register knows only backends; another one may know more."""
        self._avoid(address=address, for_us=OUTDATED_AVOID_US)
        self.ctx.counters.add(name="view.outOfTouch")
        self._take_backends(entries=answer.backends)
        self._wake()

    def _take_current(self, *, address: str, timed: TimedAnswer) -> bool:
        """Takes an answer over.

        :returns: whether the view is current with it.
        """
        requested_us, answer = timed
        try:
            self._take(answer=answer)
        except ValueError as error:
            # What can't be read here can't be in force here, and must not end the pulling.
            self.ctx.counters.add(name="view.unreadable")
            self.ctx.log.error("an answer of %s can't be read here: %s", address, error)
            self._avoid(address=address, for_us=OUTDATED_AVOID_US)
            return False
        # Counted from the question's sending less the answer's age, so it is never taken for younger than it is.
        self.as_of_us = max(self.as_of_us, requested_us - answer.age_us)
        # Samples count under the lead under which they were asked for, so the leads are taken before them.
        self.samples.answered(
            source=answer.source, answered_us=answer.answered_us, requested_us=requested_us, samples=answer.samples
        )
        for service in answer.ask:
            self.ask(service)
        self._wake()
        return self.current
