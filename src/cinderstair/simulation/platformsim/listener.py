"""Who takes connections at an address."""

import contextvars
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..virtual_loop import SimProcess


@dataclass(frozen=True, kw_only=True)
class Listener:
    host: str
    process: SimProcess | None
    context: contextvars.Context
    protocol: Callable[[], Any]
