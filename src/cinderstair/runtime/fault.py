"""A failure: its kind and the words for it."""

from dataclasses import dataclass, field
from typing import Any

from .kind import Kind


@dataclass(frozen=True, kw_only=True)
class Fault:
    """The error side of every Result: a kind from the closed list, why, and details for the asker."""

    kind: Kind
    why: str
    details: dict[str, Any] = field(default_factory=dict)
