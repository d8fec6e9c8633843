"""After a closing fault the service comes back."""

from .checker import Checker


class RecoverChecker(Checker):
    rule = "RECOVER"

    def __init__(self, *, recovery_us: int) -> None:
        super().__init__()
        self.recovery_us = recovery_us
        self.back_us: int | None = None
        self.before: list[bool] = []
        self.after: list[bool] = []

    def operated(self, *, began_us: int, served: bool) -> None:
        if self.back_us is None:
            self.before.append(served)
        elif began_us > self.back_us + self.recovery_us:
            self.after.append(served)

    def end(self) -> None:
        if self.back_us is None or sum(self.before) * 4 < len(self.before):
            return
        self.chances += len(self.after)
        if sum(self.after) * 4 < len(self.after):
            self.breach(what=f"{sum(self.after)} of {len(self.after)} served after the closing fault")
