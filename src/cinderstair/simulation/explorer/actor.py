"""One process of the product: the real classes on a loop, a net and a disk to which everything comes as an event."""

import logging
import random
from collections.abc import Hashable

from ...runtime.context import Context
from ...runtime.protocol_versions import ProtocolVersions
from .choice_disk import ChoiceDisk
from .choice_net import ChoiceNet
from .event import Event, Output
from .recipe import Recipe
from .stepped_loop import SteppedLoop

# why: records of the first version are sent without a handshake, whose messages would only multiply the states
FIRST = ProtocolVersions(lowest=1, highest=1)
LOG = logging.getLogger("explorer")
LOG.setLevel(logging.ERROR)


class Actor:
    """Does nothing but what an event brings about, and always the same after the same events."""

    def __init__(self, *, recipe: Recipe, name: str, rate: float = 1.0) -> None:
        self.recipe = recipe
        self.rate = rate
        self.loop = SteppedLoop()
        self.outputs: list[Output] = []
        self.net = ChoiceNet(outputs=self.outputs)
        self.disk = ChoiceDisk(files=dict(recipe.files))
        self.ctx = Context(
            name=name,
            site="hall",
            rng=random.Random(f"{name}/{recipe.run}"),
            clock=self.loop.now_us,
            wall=self.loop.now_us,
            net=self.net,
            disk=self.disk,
            log=LOG,
        )
        self.ctx.protocol_versions = FIRST

    def start(self) -> tuple[Output, ...]:
        self.loop.call_soon(self.begin)
        return self._settled()

    def begin(self) -> None:
        """What the process does first, on its running loop."""
        raise NotImplementedError

    def go(self, *, name: str) -> None:
        """Begins one of the operations that `operations` names."""
        raise NotImplementedError

    def take(self, *, event: Event) -> tuple[Output, ...]:
        if event.kind == "ask":
            assert event.token is not None
            self.net.serve_record(loop=self.loop, token=event.token, body=event.body)
        elif event.kind == "answer":
            self.net.bring(number=event.number, body=event.body)
        elif event.kind == "lost":
            self.net.lose(number=event.number)
        elif event.kind == "synced":
            self.disk.synced()
        elif event.kind == "timer":
            self.loop.fire()
        elif event.kind == "pass":
            self.loop.let_pass(for_us=round(event.number * self.rate))
        else:
            assert event.kind == "go", event
            self.loop.call_soon(lambda: self.go(name=event.name))
        return self._settled()

    def _settled(self) -> tuple[Output, ...]:
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
    def due(self) -> bool:
        """Whether it has a timer that may be let fire."""
        return self.loop.next_due() is not None

    def digest(self) -> Hashable | None:
        """All that its further doings depend on; None where only its whole history says that."""
        return None

    def facts(self) -> Hashable:
        """What the invariants look at."""
        return None

    def discard(self) -> None:
        self.loop.discard()
