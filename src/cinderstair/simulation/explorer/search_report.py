"""What a search found."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class SearchReport:
    """`pruned`: states not gone on from, for the bound of the depth; `held_back`: choices not taken, for that of the
    turns; `left`: states not gone on from, for the bound of their number.
    """

    states: int = 0
    transitions: int = 0
    depth: int = 0
    ends: int = 0
    pruned: int = 0
    held_back: int = 0
    left: int = 0
    wrong: str = ""
    choices: list[int] = field(default_factory=list)
    reported: list[str] = field(default_factory=list)

    @property
    def exhausted(self) -> bool:
        """Whether every state that can be reached at all was seen, and none is wrong."""
        return not (self.pruned or self.held_back or self.left or self.wrong)
