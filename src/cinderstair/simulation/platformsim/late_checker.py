"""Nothing is written for a client that was told long ago how it ended."""

from .checker import Checker
from .client_statement import ClientStatement

LATE_US = 1_000_000


class LateChecker(Checker):
    """Only where nothing was cut lately, for what a cut holds up comes when it is over, whoever sent it."""

    rule = "LATE"

    def __init__(self) -> None:
        super().__init__()
        self.cut_us = -10_000_000

    def arrived(self, *, statement: ClientStatement, now_us: int, backend: str) -> None:
        if statement.kind not in ("write", "commit") or now_us - self.cut_us < 5 * LATE_US:
            return
        late_us = 0 if statement.answered_us is None else now_us - statement.answered_us
        self.judge(
            fine=late_us <= LATE_US,
            what=f"{statement.kind} {statement.ident!r} reached {backend} {late_us // 1_000} ms "
            "after its client's answer",
        )
