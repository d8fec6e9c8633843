"""Selectors over labels: they match backends and HTTP proxies by their properties, not by name."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

Labels = Mapping[str, str]


@dataclass(frozen=True, kw_only=True)
class Selector:
    """A compiled selector.

    :ivar test: returns whether the selector matches a set of labels
    :ivar text: canonical source text; empty for the selector that matches everything
    :ivar keys: label keys that the selector mentions
    """

    test: Callable[[Labels], bool]
    text: str
    keys: frozenset[str]

    def matches(self, *, labels: Labels) -> bool:
        """Whether the selector matches a set of labels."""
        return self.test(labels)


EVERYTHING = Selector(test=lambda labels: True, text="", keys=frozenset())
