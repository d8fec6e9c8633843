"""Backends that said they are leaving get nothing new after their time."""

from .checker import Checker


class DrainChecker(Checker):
    """`acked_us` says when a leaving backend's word was first acknowledged."""

    rule = "DRAIN"

    def __init__(self, *, drain_us: int) -> None:
        super().__init__()
        self.drain_us = drain_us
        self.acked_us: dict[str, int] = {}
        self.gone_us: dict[str, int] = {}

    def left(self, *, backend: str, now_us: int) -> None:
        self.acked_us.setdefault(backend, now_us)

    def received(self, *, backend: str, now_us: int, others: list[str], in_touch: bool, what: str) -> None:
        """A single statement, or a transaction's first, reaches a backend; `others` are of its service."""
        since_us = self.acked_us.get(backend)
        if since_us is not None and now_us > since_us + self.drain_us and in_touch:
            self.breach(what=f"{what} reached {backend} {(now_us - since_us) // 1_000} ms after it said it leaves")
        # why: what goes elsewhere while a leaving backend still takes connections might have gone to it
        late = (self.acked_us[name] + self.drain_us for name in others if name in self.acked_us)
        ends = (self.gone_us.get(name, 1 << 62) for name in others if name in self.acked_us)
        if any(start < now_us < end for start, end in zip(late, ends, strict=True)):
            self.chance()
