"""Explicit-state search with bounds on depth, turns and states."""

from collections import deque
from collections.abc import Callable
from typing import Any

from .search_report import SearchReport
from .space import Space

PROGRESS_INTERVAL_STATES = 20_000


class Search:
    """Searches all states of a space within bounds.

    Without `turns` it searches breadth first, so that a counterexample has the fewest actions. With `turns` a path
    may deviate from the default schedule (take another than the first enabled action) at most that often; states with
    fewer deviations are expanded first, and paths may be long (delay-bounded search).
    """

    def __init__(
        self,
        *,
        space: Space,
        depth: int,
        turns: int | None = None,
        max_states: int = 10_000_000,
        on_progress: Callable[[SearchReport], None] = lambda report: None,
    ) -> None:
        self.space = space
        self.depth = depth
        self.turns = turns
        self.max_states = max_states
        self.on_progress = on_progress
        self.report = SearchReport()
        # By state number: the predecessor, and the index of the action that led from it.
        self.predecessors: list[tuple[int, int]] = []
        self.seen: dict[bytes, int] = {}
        # By state number: the fewest turns with which it was reached.
        self.fewest_turns: list[int] = []

    def run(self) -> SearchReport:
        """Searches until a violation is found or the bounds are exhausted."""
        report, space = self.report, self.space
        first = space.initial()
        self._add_state(digest=space.digest(state=first), predecessor=(-1, -1), turns=0)
        violation = space.violation(state=first)
        frontier: deque[tuple[Any, int, int, int]] = deque([(first, 0, 0, 0)])
        while frontier and not violation:
            state, number, depth, turns = frontier.popleft()
            # It was queued again with fewer turns and has been expanded with those.
            if turns > self.fewest_turns[number]:
                continue
            report.depth = max(report.depth, depth)
            actions = space.enabled_actions(state=state)
            if not actions:
                report.ends += 1
                continue
            if depth >= self.depth:
                report.pruned += 1
                continue
            for index, action in enumerate(actions):
                cost = 1 if index and self.turns is not None else 0
                if self.turns is not None and turns + cost > self.turns:
                    report.held_back += len(actions) - index
                    break
                report.transitions += 1
                following = space.step(state=state, action=action)
                digest = space.digest(state=following)
                known = self.seen.get(digest)
                if known is not None:
                    if turns + cost >= self.fewest_turns[known]:
                        continue
                    self.fewest_turns[known] = turns + cost
                    self.predecessors[known] = (number, index)
                elif report.states >= self.max_states:
                    report.left += 1
                    continue
                else:
                    known = self._add_state(digest=digest, predecessor=(number, index), turns=turns + cost)
                    violation = space.violation(state=following)
                    if violation:
                        self._record_counterexample(number=known, violation=violation)
                        break
                    if report.states % PROGRESS_INTERVAL_STATES == 0:
                        self.on_progress(report)
                entry = (following, known, depth + 1, turns + cost)
                if cost or self.turns is None:
                    frontier.append(entry)
                else:
                    frontier.appendleft(entry)
        if violation and not report.wrong:
            self._record_counterexample(number=0, violation=violation)
        return report

    def _add_state(self, *, digest: bytes, predecessor: tuple[int, int], turns: int) -> int:
        number = len(self.predecessors)
        self.seen[digest] = number
        self.predecessors.append(predecessor)
        self.fewest_turns.append(turns)
        self.report.states += 1
        return number

    def _record_counterexample(self, *, number: int, violation: str) -> None:
        choices: list[int] = []
        while self.predecessors[number][0] >= 0:
            number, index = self.predecessors[number]
            choices.append(index)
        self.report.wrong = violation
        self.report.choices = choices[::-1]
        self.report.reported, _ = replay(space=self.space, choices=self.report.choices)


def replay(*, space: Space, choices: list[int]) -> tuple[list[str], str]:
    """Executes a schedule; returns the descriptions of its actions, and the violation in the last state.

    Raises IndexError if an index is beyond the enabled actions.
    """
    state: Any = space.initial()
    descriptions = []
    for index in choices:
        action = space.enabled_actions(state=state)[index]
        descriptions.append(space.describe(state=state, action=action))
        state = space.step(state=state, action=action)
    return descriptions, space.violation(state=state)
