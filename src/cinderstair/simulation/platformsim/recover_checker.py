"""RECOVER: clients are served again after all machines failed at the end of a trial."""

from .checker import Checker


class RecoverChecker(Checker):
    """`restarted_us` is when the machines were restarted, None before; `recovery_us` later a quarter must be served.

    `before` and `after` hold whether each operation was served.
    """

    rule = "RECOVER"

    def __init__(self, *, recovery_us: int) -> None:
        super().__init__()
        self.recovery_us = recovery_us
        self.restarted_us: int | None = None
        self.before: list[bool] = []
        self.after: list[bool] = []

    def operated(self, *, began_us: int, served: bool) -> None:
        """A client's operation is over, with all its retries."""
        if self.restarted_us is None:
            self.before.append(served)
        elif began_us > self.restarted_us + self.recovery_us:
            self.after.append(served)

    def end(self) -> None:
        """Checks nothing if most operations failed before the fault already."""
        if self.restarted_us is None or sum(self.before) * 4 < len(self.before):
            return
        self.checks += len(self.after)
        if sum(self.after) * 4 < len(self.after):
            self.breach(
                description=f"{sum(self.after)} of {len(self.after)} operations served after the final restart"
            )
