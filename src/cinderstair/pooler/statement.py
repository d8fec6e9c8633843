"""One statement of a session, in the form that the proxy works with."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple


class Verb(IntEnum):
    """What a statement does. The numbers go over the wire between proxies.

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
    """A statement with its parameters left open. `writes`: running it changes data."""

    shape: bytes
    writes: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Statement:
    """`text` is what a backend gets, unchanged. `name` is a value's or a prepared statement's.

    `content` is a value, the shape that is prepared, or what follows the name of one that is executed.
    `writes` tells whether a shape that is prepared changes data.
    """

    ident: bytes
    verb: Verb
    text: bytes = b""
    name: bytes = b""
    content: bytes = b""
    writes: bool = False
