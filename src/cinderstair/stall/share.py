"""The share: which backends one stall keeps channels to. Pure functions, computed by each stall alone."""

import hashlib
from collections.abc import Sequence
from functools import lru_cache


def rank(*, seed: int, name: str) -> bytes:
    """A name's place in one round's order, the same on every machine and in every version of Python."""
    return hashlib.sha256(b"cinderstair share %d/" % seed + name.encode()).digest()


@lru_cache(maxsize=4096)
def dealt(names: tuple[str, ...], seed: int) -> tuple[str, ...]:
    # why: drawing a rank for each name shuffles as well as swapping does, and leaves all other names in
    # their order when one is listed or struck off, so that a change of the list moves few channels
    return tuple(sorted(names, key=lambda name: (rank(seed=seed, name=name), name)))


def shuffled(*, names: Sequence[str], seed: int) -> tuple[str, ...]:
    """The list in one round's order, whatever order it arrives in."""
    return dealt(tuple(names), seed)


def subsetCount(*, listed: int, subsetSize: int) -> int:
    # why: a list shorter than a subset is still one subset, or its backends would serve nobody
    return max(1, listed // subsetSize) if subsetSize > 0 else 0


def bounds(*, listed: int, count: int, index: int) -> tuple[int, int]:
    """Even division: the remainder goes to the first subsets, one each."""
    base, over = divmod(listed, count)
    start = index * base + min(index, over)
    return start, start + base + (1 if index < over else 0)


def subset(*, names: Sequence[str], stallId: int, subsetSize: int) -> tuple[str, ...]:
    """The design's deterministic subset of one stall."""
    if not names or subsetSize <= 0:
        return ()
    count = subsetCount(listed=len(names), subsetSize=subsetSize)
    order = shuffled(names=names, seed=stallId // count)
    start, end = bounds(listed=len(names), count=count, index=stallId % count)
    return tuple(order[start:end])


def withReplacements(
    *, names: Sequence[str], stallId: int, subsetSize: int, unfit: frozenset[str]
) -> tuple[str, ...]:
    """The subset with each unfit member's place taken by the next fit one in the round's own order.

    The list itself stays as it was, so a loss moves one channel set and a return moves it back.
    """
    own = subset(names=names, stallId=stallId, subsetSize=subsetSize)
    if not any(name in unfit for name in own):
        return own
    count = subsetCount(listed=len(names), subsetSize=subsetSize)
    order = shuffled(names=names, seed=stallId // count)
    _, end = bounds(listed=len(names), count=count, index=stallId % count)
    # why: going on from the subset's own end gives each subset of a round another replacement first
    spare = [name for name in (*order[end:], *order[:end]) if name not in own and name not in unfit]
    return tuple(name for name in ((spare.pop(0) if spare else "") if n in unfit else n for n in own) if name)


def users(*, names: Sequence[str], stallIds: Sequence[int], subsetSize: int, name: str) -> list[int]:
    """The stalls, by id, in whose subset a backend is."""
    return [
        stallId for stallId in sorted(stallIds) if name in subset(names=names, stallId=stallId, subsetSize=subsetSize)
    ]


def allotment(*, cap: int, userIds: Sequence[int], stallId: int) -> int:
    """One stall's part of a backend's cap: even, with the remainder dealt by id. The sum is the cap."""
    if stallId not in userIds:
        return 0
    base, over = divmod(cap, len(userIds))
    return base + (1 if sorted(userIds).index(stallId) < over else 0)
