"""DRAIN: a draining backend receives no new work once its drain time is over."""

from .checker import Checker


class DrainChecker(Checker):
    """`acked_us` is when a backend's draining was first acknowledged, `ended_us` when it ended, by backend."""

    rule = "DRAIN"

    def __init__(self, *, drain_us: int) -> None:
        super().__init__()
        self.drain_us = drain_us
        self.acked_us: dict[str, int] = {}
        self.ended_us: dict[str, int] = {}

    def drain_acknowledged(self, *, backend: str, now_us: int) -> None:
        """A controller acknowledged that a backend drains or is deregistered."""
        self.acked_us.setdefault(backend, now_us)

    def received(self, *, backend: str, now_us: int, others: list[str], stable: bool, description: str) -> None:
        """A single statement, or a transaction's first, reaches a backend; `others` are its service's backends."""
        since_us = self.acked_us.get(backend)
        if since_us is not None and now_us > since_us + self.drain_us and stable:
            self.breach(
                description=f"{description} reached {backend} {(now_us - since_us) // 1_000} ms "
                "after its draining was acknowledged"
            )
        # a statement sent elsewhere while a drained backend still accepts connections could have reached it
        late = (self.acked_us[name] + self.drain_us for name in others if name in self.acked_us)
        ends = (self.ended_us.get(name, 1 << 62) for name in others if name in self.acked_us)
        if any(start < now_us < end for start, end in zip(late, ends, strict=True)):
            self.count_check()
