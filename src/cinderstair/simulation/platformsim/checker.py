"""The base of all checkers: one rule, how often it was checked, and its breaches."""


class Checker:
    """`checks` counts how often the rule could have been broken: with none, a run without breaches proves nothing."""

    rule = ""

    def __init__(self) -> None:
        self.checks = 0
        self.breaches: list[str] = []

    def count_check(self) -> None:
        """Counts a check whose breach, if any, is reported by `breach`."""
        self.checks += 1

    def breach(self, *, description: str) -> None:
        """Records a breach under the rule's name."""
        self.breaches.append(f"{self.rule}: {description}")

    def check(self, *, holds: bool, description: str) -> None:
        """Counts a check, and records a breach unless `holds`."""
        self.checks += 1
        if not holds:
            self.breach(description=description)
