"""Selectors over labels: they name what machines are like, never which machines."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

Labels = Mapping[str, str]


@dataclass(frozen=True, kw_only=True)
class Selector:
    """A compiled selector: the test, the text in its one true form, and the labels it speaks of."""

    test: Callable[[Labels], bool]
    text: str
    keys: frozenset[str]

    def picks(self, *, labels: Labels) -> bool:
        return self.test(labels)


EVERYTHING = Selector(test=lambda labels: True, text="", keys=frozenset())
