"""One exploration of a model, from checked bounds to its report."""

from collections.abc import Callable
from dataclasses import dataclass, field

from .explored_world import ExploredWorld
from .models import MODELS
from .search import Search, replay
from .search_report import SearchReport
from .seeded_bugs import with_seeded_bug


@dataclass(frozen=True, kw_only=True)
class Exploration:
    """`depth`, `turns` and `budget` (by its fields' names) are the model's own where they are not given.

    `breadth`: without turns, so that the first wrong state found has a shortest way to it.
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
        model = MODELS[self.model]()
        budget = model.budget._replace(**self.budget)
        return ExploredWorld(model=model, budget=budget, merging=self.merging, prefer_last_process=not self.breadth)

    def run(self, *, on_progress: Callable[[SearchReport], None] = lambda report: None) -> SearchReport:
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
        """What the choices were, and what is wrong in the end; IndexError where there is no such choice."""
        with with_seeded_bug(name=self.fault):
            world = self.world()
            try:
                return replay(space=world, choices=choices)
            finally:
                world.close()
