"""A client's session, as its HTTP proxy keeps it."""

import json
import random
from dataclasses import dataclass, field
from typing import Any

from ..runtime.net import Connection
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .pool import Pool
from .session_token import UNMARKED, SessionToken, Tag, parse_session_token


@dataclass(kw_only=True)
class Transaction:
    """An open transaction and the channel that is its own until it ends."""

    pool: Pool
    connection: Connection
    term: int
    database: str
    used_us: int


@dataclass(kw_only=True)
class Session:
    """Values and prepared texts live here, not in any backend, so channels hold nothing between jobs.

    `floor` is the position that fresh reads must cover; `lost` is set when its transaction was abandoned.
    """

    ident: str
    database: str
    values: dict[str, Any] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    floor: int = 0
    busy: bool = False
    used_us: int = 0
    transaction: Transaction | None = None
    lost: bool = False
    tag: Tag = UNMARKED
    # the tag before the last change: a client whose answer was lost knows this one
    previous_tag: Tag = UNMARKED
    # the HTTP proxy that holds the replica; empty where none does
    replica_holder: str = ""
    # when it was taken over from a replica; 0 where it was not
    taken_over_us: int = 0

    @property
    def handle(self) -> str:
        """The text that the client is given: the name with the newest tag."""
        return str(SessionToken(self.ident, self.tag))

    def next_tag(self, *, rng: random.Random) -> Tag:
        """The tag of a state that follows this one."""
        return Tag(self.tag.revision + 1, f"{rng.getrandbits(32):08x}")

    def accepts(self, *, tag: Tag) -> bool:
        """Whether a client that was promised this state may go on with what is here."""
        return tag in (self.tag, self.previous_tag)

    def write(self, *, packer: Packer, version: int, now_us: int) -> Packer:
        """Writes the session as a record of a version."""
        # a daemon of the first version takes the whole handle for a name, and so gives it back unchanged
        packer.text(value=self.handle if version == 1 else self.ident).text(value=self.database)
        packer.text(value=json.dumps(self.values)).text(value=json.dumps(self.prepared)).u64(value=self.floor)
        if version > 1:
            packer.u64(value=max(0, now_us - self.used_us))
            for tag in (self.tag, self.previous_tag):
                packer.u64(value=tag.revision).text(value=tag.mark)
        return packer


def read_session(*, unpacker: Unpacker, now_us: int) -> Session:
    """Reads a record of a session.

    :raises ValueError: where it is none.
    """
    ident, database = unpacker.text(), unpacker.text()
    values, prepared = json.loads(unpacker.text()), json.loads(unpacker.text())
    if not isinstance(values, dict) or not isinstance(prepared, dict):
        raise ValueError("a session keeps objects")
    session = Session(ident=ident, database=database, values=values, prepared=prepared, floor=unpacker.u64())
    session.used_us = now_us
    if unpacker.version == 1:
        session.ident, session.tag = parse_session_token(text=ident)
        return session
    session.used_us -= unpacker.u64()
    session.tag, session.previous_tag = (Tag(unpacker.u64(), unpacker.text()) for _ in range(2))
    return session
