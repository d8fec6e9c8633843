"""A statement as it was sent and as a backend ran it: text, params and session values as one."""

import json
from typing import Any, NamedTuple


class Sent(NamedTuple):
    """What a client sent. Each session has a value of its own, so its statements are told from others'."""

    kind: str
    text: str
    params: str
    values: str


def sent_as(*, kind: str, text: str, params: Any, values: Any) -> Sent:
    return Sent(kind, text, json.dumps(params), json.dumps(values, sort_keys=True))
