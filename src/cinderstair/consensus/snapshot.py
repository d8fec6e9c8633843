"""Reads across all keys: the vector of accepted ballots, and a snapshot of the values."""

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
    """Owns the known vectors of the replicas."""

    def __init__(self, *, ctx: Context, seeds: tuple[str, ...], own_address: str = "") -> None:
        super().__init__(ctx=ctx, seeds=seeds, own_address=own_address)
        self.known_vectors = KnownVectors()

    async def read(self, *, key: str) -> Result[VersionedValue, CinderstairError]:
        """The value of a key that a majority holds."""
        raise NotImplementedError

    async def vector(self) -> Result[dict[str, Ballot], CinderstairError]:
        """For every key, the highest ballot accepted by any replica of a majority.

        registerUnreachable: no roster is known, or no majority answers.
        """
        roster = await self.current_roster()
        if roster is None:
            return Error(CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="no roster"))

        def body(version: int) -> bytes:
            known = self.known_vectors.revisions() if version > 1 else None
            return VectorRequest(epoch=roster.epoch, known=known).encode(version=version)

        answers = await self.poll(
            roster=roster, body=body, enough=lambda got: len(got) >= roster.majority, first=roster.majority
        )
        if len(answers) < roster.majority:
            return Error(
                CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="no majority of register replicas")
            )
        return Ok(self.known_vectors.read(answers=answers))

    async def snapshot(self) -> Result[dict[str, VersionedValue], CinderstairError]:
        """The values that a majority holds, by key. Errors are those of `vector` and `read`."""
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
