"""A small world of real processes in which all that happens is a choice."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Any

from .choice import Choice
from .event import Answered, Asked, BackendHeartbeat, Event, Output, Token
from .flight import ANSWER, INSIDE, ORPHAN, QUESTION, UNANSWERED, Flight
from .local_states import LocalState, LocalStates
from .model import Model
from .recipe import Recipe
from .world_state import Budget, WorldState

WAYS = {
    ANSWER: "the answer to {asker}'s question {number} ({kind}) arrives from {host}",
    QUESTION: "{asker}'s question {number} ({kind}) arrives at {host}",
    ORPHAN: "{asker}'s question {number} ({kind}), which it has given up, arrives at {host}",
}
# what went on last where time passed
TIME = -2
# what is done for somebody's operation, which is then gone on with
STAYING = ("deliver", "go", "run out", "lose", "give up", "timer")
KINDS = {1: "prepare", 2: "accept", 3: "read", 4: "vector", 5: "lease", 6: "hello", 7: "adopt"}


def calm_order(*, pair: tuple[Flight, int], last: int) -> tuple[bool, int, int, int]:
    flight = pair[0]
    return flight.token.process != last, flight.token.process, flight.phase, -flight.token.number


class ExploredWorld:
    """The space of a model's states.

    `staying`: the first choice goes on with whom it went on last, and leaves behind what is no longer waited for. So
    each operation runs to its end with the smallest majorities, and the search counts every turn away from that.
    Without it the order of the choices is as good as any other, and fewer states are told apart.
    """

    def __init__(
        self, *, model: Model, budget: Budget | None = None, merging: bool = True, staying: bool = True
    ) -> None:
        self.model = model
        self.staying = staying
        self.budget = model.budget if budget is None else budget
        self.locals = LocalStates(make=model.make, merging=merging)
        self.flight_numbers: dict[Flight, int] = {}

    def initial(self) -> WorldState:
        work = Working(world=self)
        work.budget = self.budget
        work.watch = self.model.first_watch()
        recipes = self.model.recipes()
        work.places, work.runs = [-1] * len(recipes), [0] * len(recipes)
        for recipe in recipes:
            work.start(recipe=recipe)
        return work.state()

    def digest(self, *, state: WorldState) -> bytes:
        flights = [self.flight_numbers.setdefault(flight, len(self.flight_numbers)) for flight in state.flights]
        whole = (state.places, state.runs, flights, tuple(state.budget), state.watch, state.last)
        return blake2b(repr(whole).encode(), digest_size=16).digest()

    def local(self, *, state: WorldState, process: int) -> LocalState:
        return self.locals.states[state.places[process]]

    def host(self, *, state: WorldState, address: str) -> int:
        """Which process listens there now; -1 where none does."""
        for process in range(self.model.register_replicas):
            if self.local(state=state, process=process).recipe.address == address:
                return process
        return -1

    def choices(self, *, state: WorldState) -> list[Choice]:
        budget = state.budget
        flights = [(flight, self.host(state=state, address=flight.address)) for flight in state.flights]
        pairs = sorted(flights, key=lambda pair: calm_order(pair=pair, last=state.last))
        found: list[Choice] = []
        for flight, host in pairs:
            if flight.phase == ANSWER:
                found.append(Choice("deliver", flight.token.process, flight))
            elif flight.phase == QUESTION and host >= 0:
                found.append(Choice("deliver", host, flight))
        states = [self.local(state=state, process=process) for process in range(len(state.places))]
        syncs = [Choice("sync", process) for process, local in enumerate(states) if local.syncing]
        found = syncs + found
        # why: what nobody can answer any more runs out by itself, and costs nothing that may go wrong
        for flight, host in pairs:
            if flight.phase == UNANSWERED or (flight.phase == QUESTION and host < 0):
                found.append(Choice("run out", flight.token.process, flight))
        for process, local in enumerate(states):
            found += [Choice("go", process, name=name) for name in local.operations]
        found += [Choice("deliver", host, f) for f, host in pairs if f.phase == ORPHAN and host >= 0]
        if budget.timers:
            found += [Choice("timer", process) for process, local in enumerate(states) if local.due]
        if budget.passes:
            # why: time that has begun to pass goes on passing, or a lease's whole length would be many turns
            found.insert(0 if state.last == TIME else len(found), Choice("pass"))
        lossy = [(flight, host) for flight, host in pairs if flight.phase in (ANSWER, QUESTION, INSIDE)]
        if budget.losses:
            found += [Choice("lose", f.token.process, f) for f, _ in lossy if f.phase in (ANSWER, QUESTION)]
        if budget.late:
            found += [Choice("give up", f.token.process, f) for f, _ in lossy if f.phase == QUESTION]
        if budget.doubles:
            found += [Choice("double", host, f) for f, host in lossy if f.phase == QUESTION and host >= 0]
        if budget.restarts:
            found += [Choice("restart", process) for process in range(self.model.register_replicas)]
        if budget.wipes and self.model.may_fail(watch=state.watch):
            found += [Choice("wipe", process) for process in range(self.model.register_replicas)]
        return found

    def step(self, *, state: WorldState, choice: Choice) -> WorldState:
        work = Working(world=self, state=state)
        flight, process = choice.flight, choice.process
        if choice.kind == "deliver":
            assert flight is not None
            work.deliver(flight=flight, process=process)
        elif choice.kind == "sync":
            work.take(process=process, event=Event("synced"))
        elif choice.kind in ("run out", "lose", "give up"):
            assert flight is not None
            work.flights.remove(flight)
            if choice.kind == "give up":
                work.flights.append(flight._replace(phase=ORPHAN))
            work.take(process=process, event=Event("lost", number=flight.token.number))
        elif choice.kind == "double":
            assert flight is not None
            work.flights.append(flight._replace(phase=ORPHAN))
        elif choice.kind == "go":
            work.take(process=process, event=Event("go", name=choice.name))
        elif choice.kind == "timer":
            work.take(process=process, event=Event("timer"))
        elif choice.kind == "pass":
            for each in range(len(work.places)):
                work.take(process=each, event=Event("pass", number=self.model.pass_us))
        else:
            work.restart(process=process, wiped=choice.kind == "wipe")
        work.pay(kind=choice.kind)
        if self.staying and choice.kind in STAYING:
            work.last = process if flight is None else flight.token.process
        elif self.staying and choice.kind == "pass":
            work.last = TIME
        return work.state()

    def wrong(self, *, state: WorldState) -> str:
        if isinstance(state.watch, str):
            return state.watch
        states = [self.local(state=state, process=process) for process in range(len(state.places))]
        return self.model.wrong(locals_=states, watch=state.watch)

    def reported(self, *, state: WorldState, choice: Choice) -> str:
        names = self.model.names
        if choice.flight is not None:
            flight = choice.flight
            host = self.host(state=state, address=flight.address)
            words = {
                "asker": names[flight.token.process],
                "number": flight.token.number,
                "kind": KINDS.get(flight.body[0], "?") if flight.phase != ANSWER else "answered",
                "host": names[host] if host >= 0 else flight.address,
            }
            if choice.kind == "deliver":
                return WAYS[flight.phase].format(**words)
            what = "the answer to " if flight.phase == ANSWER else ""
            ends = {
                "run out": "is never answered, and it gives up",
                "lose": "is lost, and it gives up",
                "give up": "is given up while it is on its way",
                "double": "is sent twice by the network",
            }
            return f"{what}{{asker}}'s question {{number}} ({{kind}}) to {{host}} {ends[choice.kind]}".format(**words)
        who = names[choice.process] if choice.process >= 0 else ""
        return {
            "sync": f"{who}'s disk syncs",
            "go": f"{who} begins: {choice.name}",
            "timer": f"{who}'s next timer fires",
            "pass": f"{self.model.pass_us / 1_000_000:g} s pass",
            "restart": f"{who} loses its power and starts again",
            "wipe": f"{who} loses its disk and starts again, blank",
        }[choice.kind]

    def close(self) -> None:
        self.locals.close()


class Working:
    """A state while a choice changes it."""

    def __init__(self, *, world: ExploredWorld, state: WorldState | None = None) -> None:
        self.world = world
        self.places: list[int] = [] if state is None else list(state.places)
        self.runs: list[int] = [] if state is None else list(state.runs)
        self.flights: list[Flight] = [] if state is None else list(state.flights)
        self.budget = Budget() if state is None else state.budget
        self.watch: Any = None if state is None else state.watch
        self.last = -1 if state is None else state.last

    def state(self) -> WorldState:
        places, runs = tuple(self.places), tuple(self.runs)
        return WorldState(places, runs, tuple(sorted(self.flights)), self.budget, self.watch, self.last)

    def pay(self, *, kind: str) -> None:
        names = {
            "lose": "losses",
            "give up": "late",
            "double": "doubles",
            "restart": "restarts",
            "wipe": "wipes",
            "pass": "passes",
            "timer": "timers",
        }
        if kind in names:
            self.budget = self.budget._replace(**{names[kind]: getattr(self.budget, names[kind]) - 1})

    def start(self, *, recipe: Recipe) -> None:
        self.places[recipe.process], outputs = self.world.locals.root(recipe=recipe)
        self.runs[recipe.process] = recipe.run
        self._out(process=recipe.process, outputs=outputs)

    def restart(self, *, process: int, wiped: bool) -> None:
        local = self.world.locals.states[self.places[process]]
        host, run = local.recipe.address, self.runs[process] + 1
        kept: list[Flight] = []
        for flight in self.flights:
            mine = flight.token.process == process
            # why: what it asked still travels, and what it was answering is never answered
            if mine and flight.phase in (QUESTION, ORPHAN):
                kept.append(flight._replace(phase=ORPHAN))
            elif not mine and flight.phase == INSIDE and flight.address == host:
                kept.append(flight._replace(phase=UNANSWERED))
            elif not mine:
                kept.append(flight)
        self.flights = kept
        address = self.world.model.wipe_address(process=process, address=host) if wiped else host
        files = () if wiped else local.files
        blank = wiped or local.recipe.blank
        self.start(recipe=Recipe(process=process, run=run, address=address, files=files, blank=blank))

    def deliver(self, *, flight: Flight, process: int) -> None:
        self.flights.remove(flight)
        if flight.phase == ANSWER:
            self.take(process=process, event=Event("answer", number=flight.token.number, body=flight.body))
            return
        if flight.phase == QUESTION:
            self.flights.append(flight._replace(phase=INSIDE))
        # why: nobody waits for an orphan's answer, so that all orphans are alike to who works on them
        token = flight.token if flight.phase == QUESTION else Token(-1, 0, 0)
        self.take(process=process, event=Event("ask", body=flight.body, token=token))

    def take(self, *, process: int, event: Event) -> None:
        locals_ = self.world.locals
        self.places[process], outputs = locals_.step(number=self.places[process], event=event)
        self._out(process=process, outputs=outputs)
        local = locals_.states[self.places[process]]
        # why: with no restart left nothing can come between a change and its sync that could not come before both
        if local.syncing and not (self.budget.restarts or self.budget.wipes):
            self.take(process=process, event=Event("synced"))
        if local.idle:
            self._forget(process=process)

    def _forget(self, *, process: int) -> None:
        """What an idle process asked before may still arrive somewhere; that it is answered changes nothing."""
        kept = []
        for flight in self.flights:
            if flight.token.process != process:
                kept.append(flight)
            elif flight.phase in (QUESTION, ORPHAN):
                kept.append(flight._replace(phase=ORPHAN, token=flight.token._replace(run=0, number=0)))
        self.flights = kept

    def _out(self, *, process: int, outputs: Iterable[Output]) -> None:
        for output in outputs:
            if isinstance(output, Asked):
                token = Token(process, self.runs[process], output.number)
                self.flights.append(Flight(QUESTION, token, output.address, output.body))
            elif isinstance(output, Answered):
                self._answer(answered=output)
            elif isinstance(output, BackendHeartbeat) and not isinstance(self.watch, str):
                self.watch = self.world.model.watch(watch=self.watch, process=process, said=output)

    def _answer(self, *, answered: Answered) -> None:
        for at, flight in enumerate(self.flights):
            if flight.token == answered.token and flight.phase == INSIDE:
                self.flights[at] = flight._replace(phase=ANSWER, body=answered.body)
                return
