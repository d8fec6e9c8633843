"""The Paxos state that one acceptor holds for one key."""

from dataclasses import dataclass

from .ballot import BLANK, Ballot


@dataclass(frozen=True, kw_only=True)
class Cell:
    """The highest ballot promised for a key, and the last value accepted.

    `accepted` is the ballot under which `value` was accepted. A key that was never written has the default cell.
    """

    promised: Ballot = BLANK
    accepted: Ballot = BLANK
    value: bytes = b""
