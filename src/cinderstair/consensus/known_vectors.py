"""What a client has of each replica's vector, so that a replica need send only what changed since."""

from dataclasses import dataclass, field

from .ballot import BLANK, Ballot
from .messages import MAX_SOURCES, SourceRevision, VectorAnswer

Vector = dict[str, Ballot]


@dataclass(frozen=True, kw_only=True)
class KnownVector:
    """A source's vector as of a revision."""

    revision: int = 0
    ballots: Vector = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class MergedVector:
    """The highest ballots of several sources' vectors, as of their revisions."""

    revisions: frozenset[SourceRevision] = frozenset()
    ballots: Vector = field(default_factory=dict)


class KnownVectors:
    """Owns the vectors by source, which is one run of one replica's process.

    Within such a run a key's ballot only rises.
    """

    def __init__(self) -> None:
        self.by_source: dict[int, KnownVector] = {}
        self.merged = MergedVector()
        self.latest: list[Vector] = []

    def revisions(self) -> tuple[SourceRevision, ...]:
        """Every source with the revision that is known of it."""
        return tuple(SourceRevision(source, known.revision) for source, known in self.by_source.items())

    def read(self, *, answers: list[bytes]) -> Vector:
        """For every key the highest ballot in these answers. ValueError: one is no vector."""
        revisions: set[SourceRevision] = set()
        vectors: list[Vector] = []
        for data in answers:
            answer = VectorAnswer.decode(data=data)
            vector = dict(answer.ballots)
            if answer.known is not None:
                known = self._update(source=answer.known.source, revision=answer.known.revision, changed=vector)
                revisions.add(SourceRevision(answer.known.source, known.revision))
                vector = known.ballots
            vectors.append(vector)
        self.latest = vectors
        return self._merge(revisions=frozenset(revisions), vectors=vectors)

    def _merge(self, *, revisions: frozenset[SourceRevision], vectors: list[Vector]) -> Vector:
        """The highest ballots; the same object as last time where nothing changed since.

        Most of the time nothing does, and thousands of keys need no new comparison.
        """
        reusable = len(revisions) == len(vectors)
        if reusable and self.merged.revisions == revisions:
            return self.merged.ballots
        highest: Vector = {}
        for vector in vectors:
            for key, ballot in vector.items():
                highest[key] = max(highest.get(key, BLANK), ballot)
        if reusable:
            self.merged = MergedVector(revisions=revisions, ballots=highest)
        return highest

    def lagging(self) -> list[str]:
        """The keys at which the answers read last differ: some of those replicas lack the highest ballot."""
        keys = {key for vector in self.latest for key in vector}
        return sorted(key for key in keys if len({vector.get(key, BLANK) for vector in self.latest}) > 1)

    def _update(self, *, source: int, revision: int, changed: Vector) -> KnownVector:
        """Takes in what changed at a source; an answer that a later one overtook takes nothing back."""
        known = self.by_source.pop(source, KnownVector())
        newer = {key: max(ballot, known.ballots.get(key, BLANK)) for key, ballot in changed.items()}
        updated = KnownVector(revision=max(revision, known.revision), ballots={**known.ballots, **newer})
        self.by_source[source] = updated
        # each restart of a replica is a new source, and the sources of earlier runs never answer again
        while len(self.by_source) > MAX_SOURCES:
            del self.by_source[next(iter(self.by_source))]
        return updated
