"""Reads of many keys at once: which versions there are, and a snapshot of their values."""

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .ballot import Ballot
from .batches import batches, gather_pairs
from .known_vectors import KnownVectors
from .messages import VectorRequest
from .quorum import QuorumMixin
from .versioned_value import VersionedValue


class SnapshotMixin(QuorumMixin):
    """Owns what is known of each replica's vector."""

    def __init__(self, *, ctx: Context, seeds: tuple[str, ...], own: str = "") -> None:
        super().__init__(ctx=ctx, seeds=seeds, own=own)
        self.known = KnownVectors()

    async def read(self, *, key: str) -> Result[VersionedValue, CinderstairError]:
        """The key's value as a majority holds it."""
        raise NotImplementedError

    async def vector(self) -> Result[dict[str, Ballot], CinderstairError]:
        """For every key, the highest ballot that any replica of some majority has accepted.

        registerUnreachable: no roster is known, or no majority answers.
        """
        roster = await self.current_roster()
        if roster is None:
            return Error(CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="no roster"))

        def body(version: int) -> bytes:
            known = self.known.revisions() if version > 1 else None
            return VectorRequest(epoch=roster.epoch, known=known).encode(version=version)

        answers = await self.poll(
            roster=roster, body=body, enough=lambda got: len(got) >= roster.majority, first=roster.majority
        )
        if len(answers) < roster.majority:
            return Error(
                CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="no majority of register replicas")
            )
        return Ok(self.known.read(answers=answers))

    async def snapshot(self) -> Result[dict[str, VersionedValue], CinderstairError]:
        """Every key's value as a majority holds it. Errors are those of `vector` and `read`."""
        highest = await self.vector()
        if highest.is_error():
            return Error(highest.error)
        values: dict[str, VersionedValue] = {}
        for keys in batches(items=sorted(highest.ok)):
            for key, read in await gather_pairs(items=keys, call=lambda key: self.read(key=key)):
                if read.is_error():
                    return Error(read.error)
                values[key] = read.ok
        return Ok(values)
