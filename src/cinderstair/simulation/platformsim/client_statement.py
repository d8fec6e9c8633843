"""One statement as a client sent it: what every backend that sees it is measured by."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .attempt import Attempt


@dataclass(eq=False, kw_only=True)
class ClientStatement:
    """Kinds: read, write, begin, begin_read, commit, undo.

    `first_us` is when the first byte of it, or of its transaction, left. `values` are the session values that were
    acknowledged by then; `shape` is what the client prepared, where it runs a name. `answered_us` is when it was
    answered, or None while it was not.
    """

    ident: bytes
    text: bytes
    kind: str
    attempt: "Attempt"
    sent_us: int
    first_us: int
    alone: bool
    proxy: str
    values: dict[bytes, bytes] = field(default_factory=dict)
    shape: tuple[bytes, bool] | None = None
    rest: bytes = b""
    answered_us: int | None = None
    stamps: dict[bytes, tuple[bytes, ...]] = field(default_factory=dict)
