"""Selectors over labels: they name what machines are like, never which machines."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

Labels = Mapping[str, str]


@dataclass(frozen=True, kw_only=True)
class Selector:
    """A compiled selector.

    :ivar test: whether the selector matches a set of labels
    :ivar text: the selector in its canonical form; empty for the one that matches everything
    :ivar keys: the labels that it mentions
    """

    test: Callable[[Labels], bool]
    text: str
    keys: frozenset[str]

    def matches(self, *, labels: Labels) -> bool:
        """Whether whatever carries these labels is selected."""
        return self.test(labels)


EVERYTHING = Selector(test=lambda labels: True, text="", keys=frozenset())
