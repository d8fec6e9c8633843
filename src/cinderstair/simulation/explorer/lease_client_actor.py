"""A modelled daemon that competes for a lease."""

from collections.abc import Hashable, Sequence

from ...consensus.lease import Lease
from ...consensus.roster import Roster
from .client_actor import ClientActor, Operation, Outcome
from .process_spec import ProcessSpec


class LeaseClientActor(ClientActor):
    """A register client with a lease; its observation is whether it holds the lease by its own clock."""

    def __init__(
        self,
        *,
        spec: ProcessSpec,
        name: str,
        seeds: tuple[str, ...],
        roster: Roster,
        script: Sequence[tuple[str, Operation]],
        rate: float,
    ) -> None:
        super().__init__(spec=spec, name=name, seeds=seeds, roster=roster, script=script, rate=rate)
        self.lease = Lease(ctx=self.ctx, register=self.register, name="duty")

    def extra_digest(self) -> Hashable:
        return max(0, self.lease.until_us - self.ctx.now_us()), tuple(
            value for name, value in sorted(vars(self.lease).items()) if isinstance(value, int) and name[-2:] != "Us"
        )

    def observation(self) -> bool:
        return self.lease.held


async def try_acquire(actor: ClientActor) -> Outcome:
    """Operation: acquires or renews the lease."""
    assert isinstance(actor, LeaseClientActor)
    return ("held" if await actor.lease.try_acquire() else "not held",)


async def drop(actor: ClientActor) -> Outcome:
    """Operation: gives the lease back."""
    assert isinstance(actor, LeaseClientActor)
    await actor.lease.drop()
    return ("dropped",)
