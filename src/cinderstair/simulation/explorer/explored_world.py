"""The transition system of a model: processes, messages in flight, and the actions enabled in each state."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Any

from .action import Action
from .event import Event, OperationEvent, Output, RequestId, RequestSent, ResponseSent
from .local_states import LocalState, LocalStates
from .message import ABANDONED, PROCESSING, REQUEST, RESPONSE, UNANSWERED, Message
from .model import Model
from .process_spec import ProcessSpec
from .world_state import Budget, WorldState

DELIVERY_TEXTS = {
    RESPONSE: "the response to {sender}'s request {number} arrives from {host}",
    REQUEST: "{sender}'s request {number} ({kind}) arrives at {host}",
    ABANDONED: "{sender}'s request {number} ({kind}), which timed out, arrives at {host}",
}
# Value of `last_process` after time passed.
TIME_PASSED = -2
# Actions that advance an operation; the default schedule then continues with the process of that operation.
CONTINUING_ACTIONS = ("deliver", "begin", "expire", "lose", "abandon", "timer")
RECORD_KINDS = {1: "prepare", 2: "accept", 3: "read", 4: "vector", 5: "lease", 6: "hello", 7: "adopt"}


def delivery_order(*, pair: tuple[Message, int], last_process: int) -> tuple[bool, int, int, int]:
    """Sort key of deliveries in the default schedule: messages of the process that advanced last come first."""
    message = pair[0]
    return (
        message.request_id.process != last_process,
        message.request_id.process,
        message.phase,
        -message.request_id.number,
    )


class ExploredWorld:
    """The state space of a model.

    `prefer_last_process`: the default schedule continues with the process that advanced last and postpones messages
    that nobody waits for. Each operation then runs to its end with the smallest majorities, and the search counts
    each deviation from that as a turn. Without it the order of actions is arbitrary, and fewer states are distinct.
    """

    def __init__(
        self, *, model: Model, budget: Budget | None = None, merging: bool = True, prefer_last_process: bool = True
    ) -> None:
        self.model = model
        self.prefer_last_process = prefer_last_process
        self.budget = model.budget if budget is None else budget
        self.local_registry = LocalStates(make=model.make, merging=merging)
        self.message_numbers: dict[Message, int] = {}

    def initial(self) -> WorldState:
        """The state after all processes have started."""
        builder = StateBuilder(world=self)
        builder.budget = self.budget
        builder.monitor = self.model.initial_monitor()
        process_specs = self.model.process_specs()
        builder.local_numbers, builder.runs = [-1] * len(process_specs), [0] * len(process_specs)
        for spec in process_specs:
            builder.start(spec=spec)
        return builder.state()

    def digest(self, *, state: WorldState) -> bytes:
        """A fingerprint of the state."""
        messages = [self.message_numbers.setdefault(message, len(self.message_numbers)) for message in state.messages]
        whole = (state.local_numbers, state.runs, messages, tuple(state.budget), state.monitor, state.last_process)
        return blake2b(repr(whole).encode(), digest_size=16).digest()

    def local(self, *, state: WorldState, process: int) -> LocalState:
        """The local state of a process."""
        return self.local_registry.states[state.local_numbers[process]]

    def host(self, *, state: WorldState, address: str) -> int:
        """The register replica that listens at an address; -1 if none does."""
        for process in range(self.model.register_replicas):
            if self.local(state=state, process=process).spec.address == address:
                return process
        return -1

    def enabled_actions(self, *, state: WorldState) -> list[Action]:
        """The enabled actions; the first is that of the default schedule."""
        budget = state.budget
        messages = [(message, self.host(state=state, address=message.address)) for message in state.messages]
        pairs = sorted(messages, key=lambda pair: delivery_order(pair=pair, last_process=state.last_process))
        found: list[Action] = []
        for message, host in pairs:
            if message.phase == RESPONSE:
                found.append(Action("deliver", message.request_id.process, message))
            elif message.phase == REQUEST and host >= 0:
                found.append(Action("deliver", host, message))
        states = [self.local(state=state, process=process) for process in range(len(state.local_numbers))]
        syncs = [Action("sync", process) for process, local in enumerate(states) if local.syncing]
        found = syncs + found
        # A request that can't be answered times out without a fault, so it costs no budget.
        for message, host in pairs:
            if message.phase == UNANSWERED or (message.phase == REQUEST and host < 0):
                found.append(Action("expire", message.request_id.process, message))
        for process, local in enumerate(states):
            found += [Action("begin", process, name=name) for name in local.operations]
        found += [Action("deliver", host, m) for m, host in pairs if m.phase == ABANDONED and host >= 0]
        if budget.timers:
            found += [Action("timer", process) for process, local in enumerate(states) if local.has_timer]
        if budget.passes:
            # After time has passed, more time is the default, since a whole lease would otherwise take many turns.
            found.insert(0 if state.last_process == TIME_PASSED else len(found), Action("pass"))
        lossy = [(message, host) for message, host in pairs if message.phase in (RESPONSE, REQUEST, PROCESSING)]
        if budget.losses:
            found += [Action("lose", m.request_id.process, m) for m, _ in lossy if m.phase in (RESPONSE, REQUEST)]
        if budget.late:
            found += [Action("abandon", m.request_id.process, m) for m, _ in lossy if m.phase == REQUEST]
        if budget.doubles:
            found += [Action("duplicate", host, m) for m, host in lossy if m.phase == REQUEST and host >= 0]
        if budget.restarts:
            found += [Action("restart", process) for process in range(self.model.register_replicas)]
        if budget.wipes and self.model.may_lose_disk(monitor=state.monitor):
            found += [Action("wipe", process) for process in range(self.model.register_replicas)]
        return found

    def step(self, *, state: WorldState, action: Action) -> WorldState:
        """The state after an action."""
        builder = StateBuilder(world=self, state=state)
        message, process = action.message, action.process
        if action.kind == "deliver":
            assert message is not None
            builder.deliver(message=message, process=process)
        elif action.kind == "sync":
            builder.handle_event(process=process, event=Event("synced"))
        elif action.kind in ("expire", "lose", "abandon"):
            assert message is not None
            builder.messages.remove(message)
            if action.kind == "abandon":
                builder.messages.append(message._replace(phase=ABANDONED))
            builder.handle_event(process=process, event=Event("lost", number=message.request_id.number))
        elif action.kind == "duplicate":
            assert message is not None
            builder.messages.append(message._replace(phase=ABANDONED))
        elif action.kind == "begin":
            builder.handle_event(process=process, event=Event("begin", name=action.name))
        elif action.kind == "timer":
            builder.handle_event(process=process, event=Event("timer"))
        elif action.kind == "pass":
            for each in range(len(builder.local_numbers)):
                builder.handle_event(process=each, event=Event("pass", number=self.model.pass_us))
        else:
            builder.restart(process=process, wiped=action.kind == "wipe")
        builder.charge_budget(kind=action.kind)
        if self.prefer_last_process and action.kind in CONTINUING_ACTIONS:
            builder.last_process = process if message is None else message.request_id.process
        elif self.prefer_last_process and action.kind == "pass":
            builder.last_process = TIME_PASSED
        return builder.state()

    def violation(self, *, state: WorldState) -> str:
        """The invariant that the state violates; empty if none."""
        if isinstance(state.monitor, str):
            return state.monitor
        states = [self.local(state=state, process=process) for process in range(len(state.local_numbers))]
        return self.model.violation(local_states=states, monitor=state.monitor)

    def describe(self, *, state: WorldState, action: Action) -> str:
        """Describes an action for a counterexample."""
        names = self.model.names
        if action.message is not None:
            message = action.message
            host = self.host(state=state, address=message.address)
            words = {
                "sender": names[message.request_id.process],
                "number": message.request_id.number,
                "kind": RECORD_KINDS.get(message.body[0], "?") if message.phase != RESPONSE else "response",
                "host": names[host] if host >= 0 else message.address,
            }
            if action.kind == "deliver":
                return DELIVERY_TEXTS[message.phase].format(**words)
            what = "the response to " if message.phase == RESPONSE else ""
            ends = {
                "expire": "can't be answered and times out",
                "lose": "is lost and times out",
                "abandon": "times out in flight",
                "duplicate": "is duplicated by the network",
            }
            return f"{what}{{sender}}'s request {{number}} ({{kind}}) to {{host}} {ends[action.kind]}".format(**words)
        who = names[action.process] if action.process >= 0 else ""
        return {
            "sync": f"{who}'s disk syncs",
            "begin": f"{who} begins: {action.name}",
            "timer": f"{who}'s next timer fires",
            "pass": f"{self.model.pass_us / 1_000_000:g} s pass",
            "restart": f"{who} crashes and restarts",
            "wipe": f"{who} loses its disk and restarts blank",
        }[action.kind]

    def close(self) -> None:
        """Discards the live processes."""
        self.local_registry.close()


class StateBuilder:
    """Mutable copy of a state to which an action is applied."""

    def __init__(self, *, world: ExploredWorld, state: WorldState | None = None) -> None:
        self.world = world
        self.local_numbers: list[int] = [] if state is None else list(state.local_numbers)
        self.runs: list[int] = [] if state is None else list(state.runs)
        self.messages: list[Message] = [] if state is None else list(state.messages)
        self.budget = Budget() if state is None else state.budget
        self.monitor: Any = None if state is None else state.monitor
        self.last_process = -1 if state is None else state.last_process

    def state(self) -> WorldState:
        """The resulting state."""
        local_numbers, runs = tuple(self.local_numbers), tuple(self.runs)
        return WorldState(
            local_numbers, runs, tuple(sorted(self.messages)), self.budget, self.monitor, self.last_process
        )

    def charge_budget(self, *, kind: str) -> None:
        """Takes the cost of an action off the budget."""
        names = {
            "lose": "losses",
            "abandon": "late",
            "duplicate": "doubles",
            "restart": "restarts",
            "wipe": "wipes",
            "pass": "passes",
            "timer": "timers",
        }
        if kind in names:
            self.budget = self.budget._replace(**{names[kind]: getattr(self.budget, names[kind]) - 1})

    def start(self, *, spec: ProcessSpec) -> None:
        """Starts a process."""
        self.local_numbers[spec.process], outputs = self.world.local_registry.initial_state(spec=spec)
        self.runs[spec.process] = spec.run
        self._apply_outputs(process=spec.process, outputs=outputs)

    def restart(self, *, process: int, wiped: bool) -> None:
        """Crashes and restarts a register replica, with an empty disk if `wiped`."""
        local = self.world.local_registry.states[self.local_numbers[process]]
        host, run = local.spec.address, self.runs[process] + 1
        kept: list[Message] = []
        for message in self.messages:
            mine = message.request_id.process == process
            # Its requests stay in flight; requests that it was processing are never answered.
            if mine and message.phase in (REQUEST, ABANDONED):
                kept.append(message._replace(phase=ABANDONED))
            elif not mine and message.phase == PROCESSING and message.address == host:
                kept.append(message._replace(phase=UNANSWERED))
            elif not mine:
                kept.append(message)
        self.messages = kept
        address = self.world.model.wipe_address(process=process, address=host) if wiped else host
        files = () if wiped else local.files
        blank = wiped or local.spec.blank
        self.start(spec=ProcessSpec(process=process, run=run, address=address, files=files, blank=blank))

    def deliver(self, *, message: Message, process: int) -> None:
        """Delivers a request or a response to a process."""
        self.messages.remove(message)
        if message.phase == RESPONSE:
            self.handle_event(
                process=process, event=Event("response", number=message.request_id.number, body=message.body)
            )
            return
        if message.phase == REQUEST:
            self.messages.append(message._replace(phase=PROCESSING))
        # Responses to abandoned requests are dropped, so all of these share one id, which merges their states.
        request_id = message.request_id if message.phase == REQUEST else RequestId(-1, 0, 0)
        self.handle_event(process=process, event=Event("request", body=message.body, request_id=request_id))

    def handle_event(self, *, process: int, event: Event) -> None:
        """Applies an event to a process, and the sync that must follow if no crash can come before it."""
        registry = self.world.local_registry
        self.local_numbers[process], outputs = registry.step(number=self.local_numbers[process], event=event)
        self._apply_outputs(process=process, outputs=outputs)
        local = registry.states[self.local_numbers[process]]
        # Partial-order reduction: without a crash left in the budget, any action that could come between a change and
        # its sync could as well come before both.
        if local.syncing and not (self.budget.restarts or self.budget.wipes):
            self.handle_event(process=process, event=Event("synced"))
        if local.idle:
            self._drop_stale_messages(process=process)

    def _drop_stale_messages(self, *, process: int) -> None:
        """Abandons requests of an idle process, which may still arrive, and drops responses, which have no effect."""
        kept = []
        for message in self.messages:
            if message.request_id.process != process:
                kept.append(message)
            elif message.phase in (REQUEST, ABANDONED):
                kept.append(
                    message._replace(phase=ABANDONED, request_id=message.request_id._replace(run=0, number=0))
                )
        self.messages = kept

    def _apply_outputs(self, *, process: int, outputs: Iterable[Output]) -> None:
        for output in outputs:
            if isinstance(output, RequestSent):
                request_id = RequestId(process, self.runs[process], output.number)
                self.messages.append(Message(REQUEST, request_id, output.address, output.body))
            elif isinstance(output, ResponseSent):
                self._record_response(answered=output)
            elif isinstance(output, OperationEvent) and not isinstance(self.monitor, str):
                self.monitor = self.world.model.update_monitor(
                    monitor=self.monitor, process=process, operation_event=output
                )

    def _record_response(self, *, answered: ResponseSent) -> None:
        for at, message in enumerate(self.messages):
            if message.request_id == answered.request_id and message.phase == PROCESSING:
                self.messages[at] = message._replace(phase=RESPONSE, body=answered.body)
                return
