"""One process of the product: the real classes on a loop, a net and a disk to which everything comes as an event."""

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

# why: records of the first version are sent without a handshake, whose messages would only multiply the states
FIRST = ProtocolVersions(lowest=1, highest=1)
LOG = logging.getLogger("explorer")
LOG.setLevel(logging.ERROR)


class Actor:
    """Does nothing but what an event brings about, and always the same after the same events."""

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
        self.ctx.protocol_versions = FIRST

    def start(self) -> tuple[Output, ...]:
        self.loop.call_soon(self.on_start)
        return self._run_until_quiescent()

    def on_start(self) -> None:
        """What the process does first, on its running loop."""
        raise NotImplementedError

    def begin_operation(self, *, name: str) -> None:
        """Begins one of the operations that `operations` names."""
        raise NotImplementedError

    def handle_event(self, *, event: Event) -> tuple[Output, ...]:
        if event.kind == "ask":
            assert event.request_id is not None
            self.net.serve_record(loop=self.loop, request_id=event.request_id, body=event.body)
        elif event.kind == "answer":
            self.net.deliver_response(number=event.number, body=event.body)
        elif event.kind == "lost":
            self.net.time_out(number=event.number)
        elif event.kind == "synced":
            self.disk.synced()
        elif event.kind == "timer":
            self.loop.fire()
        elif event.kind == "pass":
            self.loop.let_pass(for_us=round(event.number * self.rate))
        else:
            assert event.kind == "go", event
            self.loop.call_soon(lambda: self.begin_operation(name=event.name))
        return self._run_until_quiescent()

    def _run_until_quiescent(self) -> tuple[Output, ...]:
        self.loop.settle()
        # why: a task of the product that broke off is a fault in itself, whatever the invariants say of it
        if self.ctx.counters.counts["internal.crashes"]:
            raise RuntimeError(f"{self.ctx.name}: a task broke off, see the log")
        outputs = tuple(self.outputs)
        self.outputs.clear()
        return outputs

    @property
    def operations(self) -> tuple[str, ...]:
        """What it may begin now."""
        return ()

    @property
    def idle(self) -> bool:
        """Whether it waits for no answer any more, so that one that still comes changes nothing."""
        return False

    @property
    def has_timer(self) -> bool:
        """Whether it has a timer that may be let fire."""
        return self.loop.next_due() is not None

    def digest(self) -> Hashable | None:
        """All that its further doings depend on; None where only its whole history says that."""
        return None

    def observation(self) -> Hashable:
        """What the invariants look at."""
        return None

    def discard(self) -> None:
        self.loop.discard()
