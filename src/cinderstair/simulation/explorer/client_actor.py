"""A modelled client of the register."""

from collections.abc import Awaitable, Callable, Hashable, Sequence

from ...consensus.register import Register
from ...consensus.roster import Roster
from .actor import Actor
from .event import OperationEvent
from .process_spec import ProcessSpec

Outcome = tuple[str | int, ...]
Operation = Callable[["ClientActor"], Awaitable[Outcome]]


class ClientActor(Actor):
    """Runs the operations of its script one at a time; beginning each is an action of the world."""

    def __init__(
        self,
        *,
        spec: ProcessSpec,
        name: str,
        seeds: tuple[str, ...],
        roster: Roster | None,
        script: Sequence[tuple[str, Operation]],
        rate: float = 1.0,
    ) -> None:
        super().__init__(spec=spec, name=name, rate=rate)
        self.register = Register(ctx=self.ctx, seeds=seeds)
        if roster is not None:
            self.register.learn_roster(roster=roster)
        self.script = tuple(script)
        self.completed = 0
        self.busy = False

    def on_start(self) -> None:
        return

    def begin_operation(self, *, name: str) -> None:
        self.busy = True
        self.outputs.append(OperationEvent("begin", name))
        self.ctx.spawn(work=self._run(name=name, operation=dict(self.script)[name]), name=name)

    async def _run(self, *, name: str, operation: Operation) -> None:
        outcome = await operation(self)
        self.busy = False
        self.completed += 1
        self.outputs.append(OperationEvent("end", name, outcome))

    @property
    def operations(self) -> tuple[str, ...]:
        return () if self.busy else tuple(name for name, _ in self.script[self.completed : self.completed + 1])

    @property
    def idle(self) -> bool:
        return not self.busy

    @property
    def has_timer(self) -> bool:
        # An idle client's timers have no observable effect.
        return self.busy and super().has_timer

    def digest(self) -> Hashable | None:
        if self.busy:
            return None
        register = self.register
        roster = b"" if register.roster is None else register.roster.bytes()
        rng = hash(self.ctx.rng.getstate())
        return (
            self.completed,
            register.highest_round,
            roster,
            tuple(sorted(register.failed)),
            rng,
            self.extra_digest(),
        )

    def extra_digest(self) -> Hashable:
        """State of subclasses that later behaviour of an idle client depends on."""
        return None
