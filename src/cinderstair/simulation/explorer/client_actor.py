"""A client of the register, on its own loop."""

from collections.abc import Awaitable, Callable, Hashable, Sequence

from ...consensus.register import Register
from ...consensus.roster import Roster
from .actor import Actor
from .event import BackendHeartbeat
from .recipe import Recipe

Outcome = tuple[str | int, ...]
Operation = Callable[["ClientActor"], Awaitable[Outcome]]


class ClientActor(Actor):
    """Works through its operations, one at a time; each begins when the world says so."""

    def __init__(
        self,
        *,
        recipe: Recipe,
        name: str,
        seeds: tuple[str, ...],
        roster: Roster | None,
        todo: Sequence[tuple[str, Operation]],
        rate: float = 1.0,
    ) -> None:
        super().__init__(recipe=recipe, name=name, rate=rate)
        self.register = Register(ctx=self.ctx, seeds=seeds)
        if roster is not None:
            self.register.learn_roster(roster=roster)
        self.todo = tuple(todo)
        self.done = 0
        self.busy = False

    def begin(self) -> None:
        return

    def go(self, *, name: str) -> None:
        self.busy = True
        self.outputs.append(BackendHeartbeat("begin", name))
        self.ctx.spawn(work=self._run(name=name, operation=dict(self.todo)[name]), name=name)

    async def _run(self, *, name: str, operation: Operation) -> None:
        outcome = await operation(self)
        self.busy = False
        self.done += 1
        self.outputs.append(BackendHeartbeat("end", name, outcome))

    @property
    def operations(self) -> tuple[str, ...]:
        return () if self.busy else tuple(name for name, _ in self.todo[self.done : self.done + 1])

    @property
    def idle(self) -> bool:
        return not self.busy

    @property
    def due(self) -> bool:
        # why: what an idle client's timers would do changes nothing that anyone sees
        return self.busy and super().due

    def digest(self) -> Hashable | None:
        if self.busy:
            return None
        register = self.register
        roster = b"" if register.roster is None else register.roster.bytes()
        rng = hash(self.ctx.rng.getstate())
        return self.done, register.highest_round, roster, tuple(sorted(register.failed)), rng, self.more()

    def more(self) -> Hashable:
        """What else an idle client's further doings depend on."""
        return None
