"""A client's session, as its stall keeps it."""

from dataclasses import dataclass, field
from typing import Any

from ..pitch.net import Channel
from .pool import Pool


@dataclass(kw_only=True)
class Transaction:
    """An open transaction and the channel that is its own until it ends."""

    pool: Pool
    channel: Channel
    term: int
    database: str
    usedUs: int


@dataclass(kw_only=True)
class Session:
    """Values and prepared texts live here, not in any backend, so channels hold nothing between jobs."""

    ident: str
    database: str
    values: dict[str, Any] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    floor: int = 0
    busy: bool = False
    usedUs: int = 0
    transaction: Transaction | None = None
    lost: bool = False
