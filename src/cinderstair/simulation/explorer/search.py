"""Goes through all states of a space, the nearest first."""

from collections import deque
from collections.abc import Callable
from typing import Any

from .search_report import SearchReport
from .space import Space

PROGRESS_INTERVAL_STATES = 20_000


class Search:
    """Breadth first, so that the first wrong state has a shortest way to it.

    With a bound on `turns` only so many choices other than the first may be taken on any way; states with fewer turns
    come first, and ways may be long. Without it every choice costs the same.
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
        # by state: from which one it was reached, and by which of its choices
        self.predecessors: list[tuple[int, int]] = []
        self.seen: dict[bytes, int] = {}
        # by state: with how few turns it was reached
        self.turned: list[int] = []

    def run(self) -> SearchReport:
        report, space = self.report, self.space
        first = space.initial()
        self._add_state(digest=space.digest(state=first), predecessor=(-1, -1), turned=0)
        wrong = space.wrong(state=first)
        frontier: deque[tuple[Any, int, int, int]] = deque([(first, 0, 0, 0)])
        while frontier and not wrong:
            state, number, depth, turned = frontier.popleft()
            # why: it was put in line again with fewer turns, and has been gone through with those
            if turned > self.turned[number]:
                continue
            report.depth = max(report.depth, depth)
            choices = space.choices(state=state)
            if not choices:
                report.ends += 1
                continue
            if depth >= self.depth:
                report.pruned += 1
                continue
            for index, action in enumerate(choices):
                cost = 1 if index and self.turns is not None else 0
                if self.turns is not None and turned + cost > self.turns:
                    report.held_back += len(choices) - index
                    break
                report.transitions += 1
                following = space.step(state=state, action=action)
                digest = space.digest(state=following)
                known = self.seen.get(digest)
                if known is not None:
                    if turned + cost >= self.turned[known]:
                        continue
                    self.turned[known] = turned + cost
                    self.predecessors[known] = (number, index)
                elif report.states >= self.max_states:
                    report.left += 1
                    continue
                else:
                    known = self._add_state(digest=digest, predecessor=(number, index), turned=turned + cost)
                    wrong = space.wrong(state=following)
                    if wrong:
                        self._record_counterexample(number=known, wrong=wrong)
                        break
                    if report.states % PROGRESS_INTERVAL_STATES == 0:
                        self.on_progress(report)
                entry = (following, known, depth + 1, turned + cost)
                if cost or self.turns is None:
                    frontier.append(entry)
                else:
                    frontier.appendleft(entry)
        if wrong and not report.wrong:
            self._record_counterexample(number=0, wrong=wrong)
        return report

    def _add_state(self, *, digest: bytes, predecessor: tuple[int, int], turned: int) -> int:
        number = len(self.predecessors)
        self.seen[digest] = number
        self.predecessors.append(predecessor)
        self.turned.append(turned)
        self.report.states += 1
        return number

    def _record_counterexample(self, *, number: int, wrong: str) -> None:
        choices: list[int] = []
        while self.predecessors[number][0] >= 0:
            number, index = self.predecessors[number]
            choices.append(index)
        self.report.wrong = wrong
        self.report.choices = choices[::-1]
        self.report.reported, _ = replay(space=self.space, choices=self.report.choices)


def replay(*, space: Space, choices: list[int]) -> tuple[list[str], str]:
    """Takes the choices one after the other; what they were in words, and what the state in the end breaks.

    IndexError where there is no such choice.
    """
    state: Any = space.initial()
    reported = []
    for index in choices:
        action = space.choices(state=state)[index]
        reported.append(space.reported(state=state, action=action))
        state = space.step(state=state, action=action)
    return reported, space.wrong(state=state)
