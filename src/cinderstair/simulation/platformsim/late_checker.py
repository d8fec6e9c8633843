"""LATE: no write reaches a backend long after its client received the outcome."""

from .checker import Checker
from .client_statement import ClientStatement

LATE_US = 1_000_000


class LateChecker(Checker):
    """Not checked shortly after a network partition: bytes held up by it arrive when it heals.

    `partition_end_us` is when the last partition healed, or far in the future during one.
    """

    rule = "LATE"

    def __init__(self) -> None:
        super().__init__()
        self.partition_end_us = -10_000_000

    def arrived(self, *, statement: ClientStatement, now_us: int, backend: str) -> None:
        """A statement reaches a backend."""
        if statement.kind not in ("write", "commit") or now_us - self.partition_end_us < 5 * LATE_US:
            return
        late_us = 0 if statement.answered_us is None else now_us - statement.answered_us
        self.check(
            holds=late_us <= LATE_US,
            description=f"{statement.kind} {statement.ident!r} reached {backend} {late_us // 1_000} ms "
            "after its client's answer",
        )
