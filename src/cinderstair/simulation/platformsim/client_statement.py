"""A statement as its client sent it, the reference for what backends execute."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .attempt import Attempt


@dataclass(eq=False, kw_only=True)
class ClientStatement:
    """`kind` is one of read, write, begin, begin_read, commit, undo.

    `first_us` is when the first byte of it, or of its transaction, was sent. `values` are the session values that
    were acknowledged by then; `shape` is the prepared statement, where it runs one, and `rest` its arguments.
    `autocommit` is False inside a transaction. `answered_us` is when it was answered, or None. `stamps` holds the
    rows of each result by the backend's stamp.
    """

    ident: bytes
    text: bytes
    kind: str
    attempt: "Attempt"
    sent_us: int
    first_us: int
    autocommit: bool
    proxy: str
    values: dict[bytes, bytes] = field(default_factory=dict)
    shape: tuple[bytes, bool] | None = None
    rest: bytes = b""
    answered_us: int | None = None
    stamps: dict[bytes, tuple[bytes, ...]] = field(default_factory=dict)
