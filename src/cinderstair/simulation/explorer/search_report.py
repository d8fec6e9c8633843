"""Result of a search."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class SearchReport:
    """Counts of a search, and the counterexample if one was found.

    `ends`: states without enabled actions; `pruned`: states not expanded because of the depth bound; `held_back`:
    actions not taken because of the bound on turns; `left`: successors dropped because of the bound on states.
    `wrong`: the violated invariant; `choices`: its schedule; `reported`: the descriptions of its actions.
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
        """Whether all reachable states were explored without a violation."""
        return not (self.pruned or self.held_back or self.left or self.wrong)
