"""What one acceptor holds for one key."""

from dataclasses import dataclass

from .ballot import BLANK, Ballot


@dataclass(frozen=True, kw_only=True)
class Cell:
    """The acceptor's Paxos state of one key: the highest ballot promised, and the last value accepted.

    `accepted` is the ballot under which the value was accepted. A key that was never written has the blank cell.
    """

    promised: Ballot = BLANK
    accepted: Ballot = BLANK
    value: bytes = b""
