"""A daemon that seeks a duty, on its own loop."""

from collections.abc import Hashable, Sequence

from ...consensus.lease import Lease
from ...consensus.roster import Roster
from .client_actor import ClientActor, Operation, Outcome
from .recipe import Recipe


class SeekerActor(ClientActor):
    """Its facts say whether it believes, by its own clock, that the duty is its own."""

    def __init__(
        self,
        *,
        recipe: Recipe,
        name: str,
        seeds: tuple[str, ...],
        roster: Roster,
        todo: Sequence[tuple[str, Operation]],
        rate: float,
    ) -> None:
        super().__init__(recipe=recipe, name=name, seeds=seeds, roster=roster, todo=todo, rate=rate)
        self.lease = Lease(ctx=self.ctx, register=self.register, name="duty")

    def more(self) -> Hashable:
        return max(0, self.lease.until_us - self.ctx.now_us()), tuple(
            value for name, value in sorted(vars(self.lease).items()) if isinstance(value, int) and name[-2:] != "Us"
        )

    def facts(self) -> bool:
        return self.lease.held


async def try_acquire(actor: ClientActor) -> Outcome:
    assert isinstance(actor, SeekerActor)
    return ("held" if await actor.lease.try_acquire() else "not held",)


async def drop(actor: ClientActor) -> Outcome:
    assert isinstance(actor, SeekerActor)
    await actor.lease.drop()
    return ("dropped",)
