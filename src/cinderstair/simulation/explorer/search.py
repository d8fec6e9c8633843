"""Goes through all states of a space, the nearest first."""

from collections import deque
from collections.abc import Callable
from typing import Any

from .search_report import SearchReport
from .space import Space

TELL_EVERY = 20_000


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
        most_states: int = 10_000_000,
        tell: Callable[[SearchReport], None] = lambda report: None,
    ) -> None:
        self.space = space
        self.depth = depth
        self.turns = turns
        self.most_states = most_states
        self.tell = tell
        self.report = SearchReport()
        # by state: from which one it was reached, and by which of its choices
        self.origins: list[tuple[int, int]] = []
        self.seen: dict[bytes, int] = {}
        # by state: with how few turns it was reached
        self.turned: list[int] = []

    def run(self) -> SearchReport:
        report, space = self.report, self.space
        first = space.initial()
        self._note(digest=space.digest(state=first), origin=(-1, -1), turned=0)
        wrong = space.wrong(state=first)
        waiting: deque[tuple[Any, int, int, int]] = deque([(first, 0, 0, 0)])
        while waiting and not wrong:
            state, number, depth, turned = waiting.popleft()
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
            for index, choice in enumerate(choices):
                cost = 1 if index and self.turns is not None else 0
                if self.turns is not None and turned + cost > self.turns:
                    report.held_back += len(choices) - index
                    break
                report.transitions += 1
                following = space.step(state=state, choice=choice)
                digest = space.digest(state=following)
                known = self.seen.get(digest)
                if known is not None:
                    if turned + cost >= self.turned[known]:
                        continue
                    self.turned[known] = turned + cost
                    self.origins[known] = (number, index)
                elif report.states >= self.most_states:
                    report.left += 1
                    continue
                else:
                    known = self._note(digest=digest, origin=(number, index), turned=turned + cost)
                    wrong = space.wrong(state=following)
                    if wrong:
                        self._explain(number=known, wrong=wrong)
                        break
                    if report.states % TELL_EVERY == 0:
                        self.tell(report)
                entry = (following, known, depth + 1, turned + cost)
                if cost or self.turns is None:
                    waiting.append(entry)
                else:
                    waiting.appendleft(entry)
        if wrong and not report.wrong:
            self._explain(number=0, wrong=wrong)
        return report

    def _note(self, *, digest: bytes, origin: tuple[int, int], turned: int) -> int:
        number = len(self.origins)
        self.seen[digest] = number
        self.origins.append(origin)
        self.turned.append(turned)
        self.report.states += 1
        return number

    def _explain(self, *, number: int, wrong: str) -> None:
        choices: list[int] = []
        while self.origins[number][0] >= 0:
            number, index = self.origins[number]
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
        choice = space.choices(state=state)[index]
        reported.append(space.reported(state=state, choice=choice))
        state = space.step(state=state, choice=choice)
    return reported, space.wrong(state=state)
