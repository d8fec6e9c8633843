"""What an asker has of each register replica's vector, so that a register replica need say only what came since."""

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .acceptor import MOST_SOURCES, SINCE
from .ballot import BLANK, Ballot, read_ballot


class KnownVectors:
    """Owns the vectors by source, which is one life of one register replica.

    Within a life a key's ballot only rises.
    """

    def __init__(self) -> None:
        self.by_source: dict[int, tuple[int, dict[str, Ballot]]] = {}
        self.merged: tuple[frozenset[tuple[int, int]], dict[str, Ballot]] = (frozenset(), {})
        self.latest: list[dict[str, Ballot]] = []

    def write(self, *, packer: Packer) -> Packer:
        """Names what is held: every source with its edition."""
        held = [(source, edition) for source, (edition, _) in self.by_source.items()]
        return packer.many(values=held, each=lambda p, e: p.u64(value=e[0]).u64(value=e[1]))

    def read(self, *, answers: list[bytes]) -> dict[str, Ballot]:
        """For every key the highest ballot in these answers. ValueError: one is no vector."""
        marks: set[tuple[int, int]] = set()
        vectors: list[dict[str, Ballot]] = []
        for answer in answers:
            unpacker = Unpacker(data=answer)
            status = unpacker.u8()
            source, edition = (unpacker.u64(), unpacker.u64()) if status == SINCE else (0, 0)
            vector = dict(unpacker.many(each=lambda u: (u.text(), read_ballot(unpacker=u))))
            unpacker.done()
            if status == SINCE:
                edition, vector = self._take(source=source, edition=edition, changed=vector)
                marks.add((source, edition))
            vectors.append(vector)
        self.latest = vectors
        whole = len(marks) == len(vectors)
        # why: in a calm time nothing changes from one round to the next, and thousands of keys need no new look
        if whole and self.merged[0] == marks:
            return self.merged[1]
        highest: dict[str, Ballot] = {}
        for vector in vectors:
            for key, ballot in vector.items():
                highest[key] = max(highest.get(key, BLANK), ballot)
        if whole:
            self.merged = (frozenset(marks), highest)
        return highest

    def lagging(self) -> list[str]:
        """The keys at which the answers read last differ: some of those register replicas lack the highest ballot."""
        keys = {key for vector in self.latest for key in vector}
        return sorted(key for key in keys if len({vector.get(key, BLANK) for vector in self.latest}) > 1)

    def _take(self, *, source: int, edition: int, changed: dict[str, Ballot]) -> tuple[int, dict[str, Ballot]]:
        known_edition, known = self.by_source.pop(source, (0, {}))
        # why: an answer that was overtaken by a later one must not take anything back
        vector = {**known, **{key: max(ballot, known.get(key, BLANK)) for key, ballot in changed.items()}}
        self.by_source[source] = (max(edition, known_edition), vector)
        # why: each restart of a register replica is a source of its own, and those of old are never heard again
        while len(self.by_source) > MOST_SOURCES:
            del self.by_source[next(iter(self.by_source))]
        return self.by_source[source]
