"""Interned local states of the modelled processes and cached transitions between them."""

from collections import OrderedDict
from collections.abc import Callable, Hashable
from dataclasses import dataclass

from .actor import Actor
from .event import Event, Output
from .process_spec import ProcessSpec

MAX_LIVE_ACTORS = 400
COMMUTING_EVENTS = ("response", "lost")


@dataclass(frozen=True, kw_only=True)
class LocalState:
    """A state of one process.

    `history_id` and `unordered_events` identify it: the interned digest or history, and the commuting events since.
    """

    spec: ProcessSpec
    history: tuple[Event, ...]
    history_id: Hashable
    unordered_events: tuple[Event, ...]
    files: tuple[tuple[str, bytes], ...]
    syncing: bool
    has_timer: bool
    idle: bool
    operations: tuple[str, ...]
    observation: Hashable


class LocalStates:
    """Numbers local states and caches their transitions.

    A running process can't be copied, but its history of events determines its state, so it can be replayed. Each
    local transition is executed by the product's classes once and looked up from then on, whatever the other
    processes do. `merging` identifies histories that lead to the same local state (partial-order reduction).
    """

    def __init__(self, *, make: Callable[[ProcessSpec], Actor], merging: bool = True) -> None:
        self.make = make
        self.merging = merging
        self.states: list[LocalState] = []
        self.numbers: dict[Hashable, int] = {}
        self.history_ids: dict[Hashable, int] = {}
        self.initial_states: dict[ProcessSpec, tuple[int, tuple[Output, ...]]] = {}
        self.transitions: dict[tuple[int, Event], tuple[int, tuple[Output, ...]]] = {}
        self.live_actors: OrderedDict[int, Actor] = OrderedDict()
        self.executed_steps = 0

    def initial_state(self, *, spec: ProcessSpec) -> tuple[int, tuple[Output, ...]]:
        """The number of a process's initial state, and its first outputs."""
        known = self.initial_states.get(spec)
        if known is None:
            actor = self.make(spec)
            outputs = actor.start()
            known = (
                self._number(actor=actor, history=(), history_id=self._history_id(spec), unordered_events=()),
                outputs,
            )
            self.initial_states[spec] = known
        return known

    def step(self, *, number: int, event: Event) -> tuple[int, tuple[Output, ...]]:
        """The number of the state after an event, and the outputs of that transition."""
        known = self.transitions.get((number, event))
        if known is not None:
            return known
        state = self.states[number]
        actor = self._actor_in(number=number)
        outputs = actor.handle_event(event=event)
        self.executed_steps += 1
        history_id, unordered_events = state.history_id, state.unordered_events
        if event.kind in COMMUTING_EVENTS and self.merging:
            # Responses that arrive between two steps of the requester commute: it counts and compares them but does
            # not depend on their order.
            unordered_events = tuple(sorted((*unordered_events, event)))
            if outputs:
                history_id, unordered_events = self._history_id((history_id, unordered_events, outputs)), ()
        else:
            history_id, unordered_events = self._history_id((history_id, unordered_events, event, outputs)), ()
        history = (*state.history, event)
        known = (
            self._number(actor=actor, history=history, history_id=history_id, unordered_events=unordered_events),
            outputs,
        )
        self.transitions[number, event] = known
        return known

    def _history_id(self, past: Hashable) -> int:
        return self.history_ids.setdefault(past, len(self.history_ids))

    def _number(
        self, *, actor: Actor, history: tuple[Event, ...], history_id: Hashable, unordered_events: tuple[Event, ...]
    ) -> int:
        digest = actor.digest() if self.merging else None
        if digest is not None:
            history_id, unordered_events = ("digest", actor.spec.process, actor.spec.address, digest), ()
        number = self.numbers.get((history_id, unordered_events))
        if number is not None:
            actor.discard()
            return number
        number = len(self.states)
        self.numbers[history_id, unordered_events] = number
        self.states.append(
            LocalState(
                spec=actor.spec,
                history=history,
                history_id=history_id,
                unordered_events=unordered_events,
                files=tuple(sorted(actor.disk.files.items())),
                syncing=actor.disk.syncing is not None,
                has_timer=actor.has_timer,
                idle=actor.idle,
                operations=actor.operations,
                observation=actor.observation(),
            )
        )
        self._keep(number=number, actor=actor)
        return number

    def _keep(self, *, number: int, actor: Actor) -> None:
        self.live_actors[number] = actor
        while len(self.live_actors) > MAX_LIVE_ACTORS:
            self.live_actors.popitem(last=False)[1].discard()

    def _actor_in(self, *, number: int) -> Actor:
        """A live actor in that state: a cached one, or one replayed from its start."""
        actor = self.live_actors.pop(number, None)
        if actor is None:
            state = self.states[number]
            actor = self.make(state.spec)
            actor.start()
            for event in state.history:
                actor.handle_event(event=event)
        return actor

    def close(self) -> None:
        """Discards all live actors."""
        for actor in self.live_actors.values():
            actor.discard()
        self.live_actors.clear()
