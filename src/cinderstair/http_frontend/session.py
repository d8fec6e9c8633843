"""The state of a client's session, and its record for other HTTP proxies."""

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
    """An open transaction and the channel reserved for it until it ends."""

    pool: Pool
    connection: Connection
    term: int
    database: str
    used_us: int


@dataclass(kw_only=True)
class Session:
    """A session's values and prepared texts, which are kept here so that channels carry no state between requests.

    `floor` is the log position that fresh reads must cover. `lost` is set when the open transaction was abandoned,
    until the client has been told. `busy` is set while a request runs or the session is handed over.
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
    # the tag before the last change, known to a client whose response was lost
    previous_tag: Tag = UNMARKED
    # the HTTP proxy that holds the replica; empty where none does
    replica_holder: str = ""
    # time of the takeover from a replica; 0 without one
    taken_over_us: int = 0

    @property
    def handle(self) -> str:
        """The text by which the client refers to the session: its id and newest tag."""
        return str(SessionToken(self.ident, self.tag))

    def next_tag(self, *, rng: random.Random) -> Tag:
        """The tag of the state after the next change."""
        return Tag(self.tag.revision + 1, f"{rng.getrandbits(32):08x}")

    def accepts(self, *, tag: Tag) -> bool:
        """Whether a client that knows this tag may continue: it is the current one or the one before."""
        return tag in (self.tag, self.previous_tag)

    def write(self, *, packer: Packer, version: int, now_us: int) -> Packer:
        """Writes the session as a record of a protocol version."""
        # protocol version 1 has no tags: it treats the whole handle as the id and returns it unchanged
        packer.text(value=self.handle if version == 1 else self.ident).text(value=self.database)
        packer.text(value=json.dumps(self.values)).text(value=json.dumps(self.prepared)).u64(value=self.floor)
        if version > 1:
            packer.u64(value=max(0, now_us - self.used_us))
            for tag in (self.tag, self.previous_tag):
                packer.u64(value=tag.revision).text(value=tag.mark)
        return packer


def read_session(*, unpacker: Unpacker, now_us: int) -> Session:
    """Reads the record of a session.

    :raises ValueError: where the record is malformed.
    """
    ident, database = unpacker.text(), unpacker.text()
    values, prepared = json.loads(unpacker.text()), json.loads(unpacker.text())
    if not isinstance(values, dict) or not isinstance(prepared, dict):
        raise ValueError("values and prepared texts of a session must be JSON objects")
    session = Session(ident=ident, database=database, values=values, prepared=prepared, floor=unpacker.u64())
    session.used_us = now_us
    if unpacker.version == 1:
        session.ident, session.tag = parse_session_token(text=ident)
        return session
    session.used_us -= unpacker.u64()
    session.tag, session.previous_tag = (Tag(unpacker.u64(), unpacker.text()) for _ in range(2))
    return session
