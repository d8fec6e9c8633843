"""A client's copies of the replicas' vectors, so that a replica sends only the changes since the last request.

A vector holds the accepted ballot of each key.
"""

from dataclasses import dataclass, field

from .ballot import BLANK, Ballot
from .messages import MAX_SOURCES, SourceRevision, VectorAnswer

Vector = dict[str, Ballot]


@dataclass(frozen=True, kw_only=True)
class KnownVector:
    """The vector of one source at a revision."""

    revision: int = 0
    ballots: Vector = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class MergedVector:
    """The highest ballot of each key in the vectors of several sources at their revisions."""

    revisions: frozenset[SourceRevision] = frozenset()
    ballots: Vector = field(default_factory=dict)


class KnownVectors:
    """Owns the known vectors by source. A source is one run of one replica's process.

    Within one run the ballot of a key only increases.
    """

    def __init__(self) -> None:
        self.by_source: dict[int, KnownVector] = {}
        self.merged = MergedVector()
        self.latest: list[Vector] = []

    def revisions(self) -> tuple[SourceRevision, ...]:
        """Each source with the revision up to which its vector is known."""
        return tuple(SourceRevision(source, known.revision) for source, known in self.by_source.items())

    def read(self, *, answers: list[bytes]) -> Vector:
        """Applies answers and returns the highest ballot of each key. Raises ValueError for a malformed answer."""
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
        """The highest ballots; the same object as in the previous call if the revisions are unchanged.

        This is the usual case, and saves comparing thousands of keys.
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
        """The sorted keys whose ballots differ among the last answers: some replicas lack the highest ballot."""
        keys = {key for vector in self.latest for key in vector}
        return sorted(key for key in keys if len({vector.get(key, BLANK) for vector in self.latest}) > 1)

    def _update(self, *, source: int, revision: int, changed: Vector) -> KnownVector:
        """Merges changes of a source. Answers may arrive out of order, so ballots and revisions never decrease."""
        known = self.by_source.pop(source, KnownVector())
        newer = {key: max(ballot, known.ballots.get(key, BLANK)) for key, ballot in changed.items()}
        updated = KnownVector(revision=max(revision, known.revision), ballots={**known.ballots, **newer})
        self.by_source[source] = updated
        # each restart of a replica is a new source, and sources of earlier runs never answer again
        while len(self.by_source) > MAX_SOURCES:
            del self.by_source[next(iter(self.by_source))]
        return updated
