"""The normalized form of a statement, in which sent and executed statements are compared."""

import json
from typing import Any, NamedTuple


class SentStatement(NamedTuple):
    """A statement with its parameters and session values; one value is unique to the session and identifies it."""

    kind: str
    text: str
    params: str
    values: str


def sent_statement(*, kind: str, text: str, params: Any, values: Any) -> SentStatement:
    """Returns the normalized form; parameters and values are serialized to be hashable."""
    return SentStatement(kind, text, json.dumps(params), json.dumps(values, sort_keys=True))
