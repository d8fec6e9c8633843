"""A question on its way, being worked on, or its answer on its way back."""

from typing import NamedTuple

from .event import Token

# in the order in which a calm world lets them go on
ANSWER, QUESTION, INSIDE, UNANSWERED, ORPHAN = range(5)


class Flight(NamedTuple):
    """`phase` UNANSWERED: nobody will ever answer it. ORPHAN: it still arrives, but nobody waits for its answer."""

    phase: int
    token: Token
    address: str
    body: bytes
