"""The handle by which a client refers to its session: the session's id and the tag of the state it knows."""

import re
from typing import NamedTuple

TOKEN_PATTERN = re.compile(r"^(?P<ident>.+)\.(?P<edition>[0-9]{1,15})-(?P<mark>[0-9a-f]{8})$")


class Tag(NamedTuple):
    """Identifies a state of a session: `revision` counts changes, `mark` is drawn at random at each change.

    Two HTTP proxies that both continue from the same state produce different marks, so their later states can't be
    mistaken for each other.
    """

    revision: int
    mark: str

    def __str__(self) -> str:
        return f"{self.revision}-{self.mark}"


# a session from a daemon without tags has only its id until its first change
UNMARKED = Tag(0, "")


class SessionToken(NamedTuple):
    """A session's id and the tag that the client knows; `str` gives the text that clients send."""

    ident: str
    tag: Tag

    def __str__(self) -> str:
        return self.ident if self.tag == UNMARKED else f"{self.ident}.{self.tag}"


def parse_session_token(*, text: str) -> SessionToken:
    """Parses a client's text; without a tag it is an id with UNMARKED."""
    match = TOKEN_PATTERN.match(text)
    if match is None:
        return SessionToken(text, UNMARKED)
    return SessionToken(match["ident"], Tag(int(match["edition"]), match["mark"]))
