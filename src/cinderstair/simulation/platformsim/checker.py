"""One rule, and whoever watches it."""


class Checker:
    """Counts its chances to see a breach; where there were none, it has shown nothing."""

    rule = ""

    def __init__(self) -> None:
        self.chances = 0
        self.breaches: list[str] = []

    def chance(self) -> None:
        self.chances += 1

    def breach(self, *, what: str) -> None:
        self.breaches.append(f"{self.rule}: {what}")

    def judge(self, *, fine: bool, what: str) -> None:
        self.chances += 1
        if not fine:
            self.breach(what=what)
