"""The states of single processes: each reached by the real classes once, and remembered by number."""

from collections import OrderedDict
from collections.abc import Callable, Hashable
from dataclasses import dataclass

from .actor import Actor
from .event import Event, Output
from .recipe import Recipe

LIVE_MOST = 400
COMMUTING = ("answer", "lost")


@dataclass(frozen=True, kw_only=True)
class LocalState:
    """`sealed` and `open_events` stand for its history, where nothing shorter says what it will do."""

    recipe: Recipe
    history: tuple[Event, ...]
    sealed: Hashable
    open_events: tuple[Event, ...]
    files: tuple[tuple[str, bytes], ...]
    syncing: bool
    due: bool
    idle: bool
    operations: tuple[str, ...]
    facts: Hashable


class LocalStates:
    """A process can't be copied, but it can be played again: its history alone makes it what it is.

    So each step of a process is taken once by the real classes, whatever the others do meanwhile, and looked up from
    then on.
    """

    def __init__(self, *, make: Callable[[Recipe], Actor], merging: bool = True) -> None:
        self.make = make
        self.merging = merging
        self.states: list[LocalState] = []
        self.numbers: dict[Hashable, int] = {}
        self.sealed: dict[Hashable, int] = {}
        self.roots: dict[Recipe, tuple[int, tuple[Output, ...]]] = {}
        self.steps: dict[tuple[int, Event], tuple[int, tuple[Output, ...]]] = {}
        self.live: OrderedDict[int, Actor] = OrderedDict()
        self.played = 0

    def root(self, *, recipe: Recipe) -> tuple[int, tuple[Output, ...]]:
        """The state in which a process starts, and what it does at once."""
        known = self.roots.get(recipe)
        if known is None:
            actor = self.make(recipe)
            outputs = actor.start()
            known = self._number(actor=actor, history=(), sealed=self._seal(recipe), open_events=()), outputs
            self.roots[recipe] = known
        return known

    def step(self, *, number: int, event: Event) -> tuple[int, tuple[Output, ...]]:
        known = self.steps.get((number, event))
        if known is not None:
            return known
        state = self.states[number]
        actor = self._at(number=number)
        outputs = actor.take(event=event)
        self.played += 1
        sealed, open_events = state.sealed, state.open_events
        if event.kind in COMMUTING and self.merging:
            # why: answers that come to one asker between two of its own steps are counted and compared, never
            # ordered, so that every order of them leaves it the same
            open_events = tuple(sorted((*open_events, event)))
            if outputs:
                sealed, open_events = self._seal((sealed, open_events, outputs)), ()
        else:
            sealed, open_events = self._seal((sealed, open_events, event, outputs)), ()
        history = (*state.history, event)
        known = self._number(actor=actor, history=history, sealed=sealed, open_events=open_events), outputs
        self.steps[number, event] = known
        return known

    def _seal(self, past: Hashable) -> int:
        return self.sealed.setdefault(past, len(self.sealed))

    def _number(
        self, *, actor: Actor, history: tuple[Event, ...], sealed: Hashable, open_events: tuple[Event, ...]
    ) -> int:
        digest = actor.digest() if self.merging else None
        if digest is not None:
            sealed, open_events = ("digest", actor.recipe.process, actor.recipe.address, digest), ()
        number = self.numbers.get((sealed, open_events))
        if number is not None:
            actor.discard()
            return number
        number = len(self.states)
        self.numbers[sealed, open_events] = number
        self.states.append(
            LocalState(
                recipe=actor.recipe,
                history=history,
                sealed=sealed,
                open_events=open_events,
                files=tuple(sorted(actor.disk.files.items())),
                syncing=actor.disk.syncing is not None,
                due=actor.due,
                idle=actor.idle,
                operations=actor.operations,
                facts=actor.facts(),
            )
        )
        self._keep(number=number, actor=actor)
        return number

    def _keep(self, *, number: int, actor: Actor) -> None:
        self.live[number] = actor
        while len(self.live) > LIVE_MOST:
            self.live.popitem(last=False)[1].discard()

    def _at(self, *, number: int) -> Actor:
        """The process itself in that state: still there from before, or played again from its start."""
        actor = self.live.pop(number, None)
        if actor is None:
            state = self.states[number]
            actor = self.make(state.recipe)
            actor.start()
            for event in state.history:
                actor.take(event=event)
        return actor

    def close(self) -> None:
        for actor in self.live.values():
            actor.discard()
        self.live.clear()
