"""A listening socket of a simulated machine."""

import contextvars
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..virtual_loop import SimProcess


@dataclass(frozen=True, kw_only=True)
class Listener:
    """`process` is None for stand-ins; accepted connections run their `protocol` in `context`."""

    host: str
    process: SimProcess | None
    context: contextvars.Context
    protocol: Callable[[], Any]
