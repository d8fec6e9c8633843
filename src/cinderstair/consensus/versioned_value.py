"""A value of the register with the ballot that is its version."""

from dataclasses import dataclass

from .ballot import Ballot


@dataclass(frozen=True, kw_only=True)
class VersionedValue:
    """A value known to be held by a majority, and the ballot under which it was accepted."""

    ballot: Ballot
    value: bytes
