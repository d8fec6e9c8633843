"""A value of the register with its version."""

from dataclasses import dataclass

from .ballot import Ballot


@dataclass(frozen=True, kw_only=True)
class VersionedValue:
    """A value that a majority is known to hold, and the ballot under which it was accepted."""

    ballot: Ballot
    value: bytes
