"""A question on its way, being worked on, or its answer on its way back."""

from typing import NamedTuple

from .event import RequestId

# in the order in which a calm world lets them go on
RESPONSE, REQUEST, PROCESSING, UNANSWERED, ABANDONED = range(5)


class Message(NamedTuple):
    """`phase` UNANSWERED: nobody will ever answer it. ORPHAN: it still arrives, but nobody waits for its answer."""

    phase: int
    request_id: RequestId
    address: str
    body: bytes
