"""A client's handle of its session: the session's name, and which state of it the client was promised."""

import re
from typing import NamedTuple

TOKEN_PATTERN = re.compile(r"^(?P<ident>.+)\.(?P<edition>[0-9]{1,15})-(?P<mark>[0-9a-f]{8})$")


class Tag(NamedTuple):
    """The revision counts the changes of what a session keeps; the mark is drawn anew at each.

    Two HTTP proxies that each go on from the same state make two marks, so neither's later state can be taken for
    the other's.
    """

    revision: int
    mark: str

    def __str__(self) -> str:
        return f"{self.revision}-{self.mark}"


# a session that came from a daemon which knows no handles goes by its name alone until its first change
UNMARKED = Tag(0, "")


class SessionToken(NamedTuple):
    """A session's name and the state that the client knows; its text is what clients send."""

    ident: str
    tag: Tag

    def __str__(self) -> str:
        return self.ident if self.tag == UNMARKED else f"{self.ident}.{self.tag}"


def parse_session_token(*, text: str) -> SessionToken:
    """Parses a client's text; one without a tag is a name alone."""
    match = TOKEN_PATTERN.match(text)
    if match is None:
        return SessionToken(text, UNMARKED)
    return SessionToken(match["ident"], Tag(int(match["edition"]), match["mark"]))
