"""The system size of one load step."""

from dataclasses import asdict, dataclass
from typing import Any


@dataclass(frozen=True, kw_only=True)
class Step:
    """`voters` of the controllers are register replicas with a vote; 0 means all of them."""

    controllers: int
    proxies: int
    databases: int
    voters: int = 0

    @property
    def voting(self) -> int:
        """The number of voting controllers."""
        return self.voters or self.controllers

    @property
    def backends(self) -> int:
        """The number of backends, three for each database."""
        return 3 * self.databases

    def value(self) -> dict[str, Any]:
        """Returns the fields as they are written to the results."""
        return asdict(self)

    def __str__(self) -> str:
        return f"G={self.controllers} voters={self.voting} N={self.proxies} D={self.databases}"


def read_step(*, text: str) -> Step:
    """Reads G:N:D or G:N:D:voters; ValueError for other texts and for impossible numbers of voters."""
    parts = [int(part) for part in text.split(":")]
    if len(parts) not in (3, 4) or min(parts) < 0 or parts[0] < 1 or parts[2] < 1:
        raise ValueError(f"{text}: not controllers:proxies:databases or controllers:proxies:databases:voters")
    step = Step(controllers=parts[0], proxies=parts[1], databases=parts[2], voters=parts[3] if len(parts) == 4 else 0)
    if step.voting > step.controllers or step.voting % 2 == 0:
        raise ValueError(f"{text}: the number of voters must be odd and at most the number of controllers")
    return step
