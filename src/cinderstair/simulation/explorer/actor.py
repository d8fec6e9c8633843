"""Base class of modelled processes: the product's classes on a controlled loop, network and disk."""

import logging
import random
from collections.abc import Hashable

from ...runtime.context import Context
from ...runtime.protocol_versions import ProtocolVersions
from .controlled_disk import ControlledDisk
from .controlled_net import ControlledNet
from .event import Event, Output
from .process_spec import ProcessSpec
from .stepped_loop import SteppedLoop

# Version 1 needs no handshake, whose messages would only multiply the states.
FIRST_VERSION = ProtocolVersions(lowest=1, highest=1)
LOG = logging.getLogger("explorer")
LOG.setLevel(logging.ERROR)


class Actor:
    """Runs one process deterministically: the same sequence of events leads to the same state and outputs.

    `rate` is the speed of its clock relative to the modelled time.
    """

    def __init__(self, *, spec: ProcessSpec, name: str, rate: float = 1.0) -> None:
        self.spec = spec
        self.rate = rate
        self.loop = SteppedLoop()
        self.outputs: list[Output] = []
        self.net = ControlledNet(outputs=self.outputs)
        self.disk = ControlledDisk(files=dict(spec.files))
        self.ctx = Context(
            name=name,
            site="hall",
            rng=random.Random(f"{name}/{spec.run}"),
            clock=self.loop.now_us,
            wall=self.loop.now_us,
            net=self.net,
            disk=self.disk,
            log=LOG,
        )
        self.ctx.protocol_versions = FIRST_VERSION

    def start(self) -> tuple[Output, ...]:
        """Starts the process and returns its first outputs."""
        self.loop.call_soon(self.on_start)
        return self._run_until_quiescent()

    def on_start(self) -> None:
        """Initializes the process; called on its running loop."""
        raise NotImplementedError

    def begin_operation(self, *, name: str) -> None:
        """Begins an operation that `operations` offers."""
        raise NotImplementedError

    def handle_event(self, *, event: Event) -> tuple[Output, ...]:
        """Applies an event, runs until no callback is ready and returns the outputs."""
        if event.kind == "request":
            assert event.request_id is not None
            self.net.serve_record(loop=self.loop, request_id=event.request_id, body=event.body)
        elif event.kind == "response":
            self.net.deliver_response(number=event.number, body=event.body)
        elif event.kind == "lost":
            self.net.time_out(number=event.number)
        elif event.kind == "synced":
            self.disk.synced()
        elif event.kind == "timer":
            self.loop.fire()
        elif event.kind == "pass":
            self.loop.advance(for_us=round(event.number * self.rate))
        else:
            assert event.kind == "begin", event
            self.loop.call_soon(lambda: self.begin_operation(name=event.name))
        return self._run_until_quiescent()

    def _run_until_quiescent(self) -> tuple[Output, ...]:
        self.loop.settle()
        # A crashed task is a fault even where no invariant is violated.
        if self.ctx.counters.counts["internal.crashes"]:
            raise RuntimeError(f"{self.ctx.name}: a task crashed, see the log")
        outputs = tuple(self.outputs)
        self.outputs.clear()
        return outputs

    @property
    def operations(self) -> tuple[str, ...]:
        """The operations that are enabled in the current state."""
        return ()

    @property
    def idle(self) -> bool:
        """Whether no request is pending, so that a late response has no effect."""
        return False

    @property
    def has_timer(self) -> bool:
        """Whether a timer is pending."""
        return self.loop.next_due() is not None

    def digest(self) -> Hashable | None:
        """Everything that later behaviour depends on; None if only the history of events determines it."""
        return None

    def observation(self) -> Hashable:
        """The part of the state that invariants check."""
        return None

    def discard(self) -> None:
        """Closes the loop and drops unfinished tasks."""
        self.loop.discard()
