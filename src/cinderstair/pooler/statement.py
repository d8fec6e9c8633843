"""A client's statement as parsed by an adapter."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple


class Verb(IntEnum):
    """What a statement does. The numbers are part of the protocol between proxies.

    `begin_read` begins a read-only transaction; `execute` runs a prepared statement; `set_value` sets a session
    value; `prepare` and `forget` add and remove a prepared statement.
    """

    begin = 0
    begin_read = 1
    commit = 2
    rollback = 3
    read = 4
    write = 5
    execute = 6
    set_value = 7
    prepare = 8
    forget = 9


class PreparedStatement(NamedTuple):
    """A prepared statement. `shape`: its text with open parameters. `writes`: running it changes data."""

    shape: bytes
    writes: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Statement:
    """A parsed statement.

    `ident`: the client's identifier of the statement. `text` is sent to a backend unchanged. `name`: of the session
    value or the prepared statement. `content`: the session value, the shape to prepare, or the arguments of an
    execution. `writes`: whether the shape to prepare changes data.
    """

    ident: bytes
    verb: Verb
    text: bytes = b""
    name: bytes = b""
    content: bytes = b""
    writes: bool = False
