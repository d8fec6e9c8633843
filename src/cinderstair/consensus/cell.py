"""What one register replica holds for one key."""

from dataclasses import dataclass

from .ballot import BLANK, Ballot


@dataclass(frozen=True, kw_only=True)
class Cell:
    """The highest ballot promised, and the value accepted with the ballot that brought it."""

    promised: Ballot = BLANK
    accepted: Ballot = BLANK
    value: bytes = b""
