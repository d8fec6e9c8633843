"""Runs one exploration of a model within bounds, or replays a schedule."""

from collections.abc import Callable
from dataclasses import dataclass, field

from .explored_world import ExploredWorld
from .models import MODELS
from .search import Search, replay
from .search_report import SearchReport
from .seeded_bugs import with_seeded_bug


@dataclass(frozen=True, kw_only=True)
class Exploration:
    """Parameters of an exploration; `depth`, `turns` and fields of `budget` default to those of the model.

    `breadth`: breadth first without a bound on turns, so that a counterexample has the fewest actions.
    `fault`: the seeded bug to enable; `merging`: whether equivalent local histories are merged.
    """

    model: str
    depth: int | None = None
    turns: int | None = None
    breadth: bool = False
    budget: dict[str, int] = field(default_factory=dict)
    fault: str = ""
    merging: bool = True
    max_states: int = 1_000_000

    def world(self) -> ExploredWorld:
        """The initial world of the model."""
        model = MODELS[self.model]()
        budget = model.budget._replace(**self.budget)
        return ExploredWorld(model=model, budget=budget, merging=self.merging, prefer_last_process=not self.breadth)

    def run(self, *, on_progress: Callable[[SearchReport], None] = lambda report: None) -> SearchReport:
        """Searches the model's states; `on_progress` receives interim reports."""
        with with_seeded_bug(name=self.fault):
            world = self.world()
            try:
                turns = None if self.breadth else world.model.turns if self.turns is None else self.turns
                depth = world.model.depth if self.depth is None else self.depth
                return Search(
                    space=world, depth=depth, turns=turns, max_states=self.max_states, on_progress=on_progress
                ).run()
            finally:
                world.close()

    def replay(self, *, choices: list[int]) -> tuple[list[str], str]:
        """Descriptions of a schedule's actions, and the violation at its end; IndexError for an invalid index."""
        with with_seeded_bug(name=self.fault):
            world = self.world()
            try:
                return replay(space=world, choices=choices)
            finally:
                world.close()
