"""A request or response in flight."""

from typing import NamedTuple

from .event import RequestId

# Ordered by priority in the default schedule.
RESPONSE, REQUEST, PROCESSING, UNANSWERED, ABANDONED = range(5)


class Message(NamedTuple):
    """A message and its phase.

    RESPONSE: the response is in flight. REQUEST: the request is in flight. PROCESSING: the receiver is processing it.
    UNANSWERED: the receiver restarted, so no response will come. ABANDONED: the request may still arrive, but its
    sender no longer waits for a response.
    """

    phase: int
    request_id: RequestId
    address: str
    body: bytes
