"""The share: which backends one HTTP proxy keeps channels to. Pure functions, computed by each HTTP proxy alone."""

import hashlib
from collections.abc import Sequence
from functools import lru_cache


def rank(*, seed: int, name: str) -> bytes:
    """A name's sort key in one round's order, the same on every machine and in every version of Python."""
    return hashlib.sha256(b"cinderstair share %d/" % seed + name.encode()).digest()


@lru_cache(maxsize=4096)
def _cached_shuffle(names: tuple[str, ...], seed: int) -> tuple[str, ...]:
    """`shuffled`, cached."""
    # drawing a rank for each name shuffles as well as swapping does, and leaves all other names in
    # their order when one is listed or struck off, so that a change of the list moves few channels
    return tuple(sorted(names, key=lambda name: (rank(seed=seed, name=name), name)))


def shuffled(*, names: Sequence[str], seed: int) -> tuple[str, ...]:
    """The list in one round's order, whatever order it arrives in."""
    return _cached_shuffle(tuple(names), seed)


def subset_count(*, name_count: int, subset_size: int) -> int:
    """How many subsets one round of a list makes."""
    # a list shorter than a subset is still one subset, or its backends would serve nobody
    return max(1, name_count // subset_size) if subset_size > 0 else 0


def bounds(*, name_count: int, count: int, index: int) -> tuple[int, int]:
    """Even division: the remainder goes to the first subsets, one each."""
    base, remainder = divmod(name_count, count)
    start = index * base + min(index, remainder)
    return start, start + base + (1 if index < remainder else 0)


def subset(*, names: Sequence[str], http_proxy_id: int, subset_size: int) -> tuple[str, ...]:
    """The design's deterministic subset of one HTTP proxy."""
    if not names or subset_size <= 0:
        return ()
    count = subset_count(name_count=len(names), subset_size=subset_size)
    order = shuffled(names=names, seed=http_proxy_id // count)
    start, end = bounds(name_count=len(names), count=count, index=http_proxy_id % count)
    return tuple(order[start:end])


def with_replacements(
    *, names: Sequence[str], http_proxy_id: int, subset_size: int, unfit: frozenset[str]
) -> tuple[str, ...]:
    """The subset with each unfit member's place taken by the next fit one in the round's own order.

    The list itself stays as it was, so a loss moves one channel set and a return moves it back.
    """
    own = subset(names=names, http_proxy_id=http_proxy_id, subset_size=subset_size)
    if not any(name in unfit for name in own):
        return own
    count = subset_count(name_count=len(names), subset_size=subset_size)
    order = shuffled(names=names, seed=http_proxy_id // count)
    _, end = bounds(name_count=len(names), count=count, index=http_proxy_id % count)
    # going on from the subset's own end gives each subset of a round another replacement first
    spare = [name for name in (*order[end:], *order[:end]) if name not in own and name not in unfit]
    return tuple(name for name in ((spare.pop(0) if spare else "") if n in unfit else n for n in own) if name)


def proxies_using(*, names: Sequence[str], http_proxy_ids: Sequence[int], subset_size: int, name: str) -> list[int]:
    """The HTTP proxies, by id, in whose subset a backend is."""
    return [
        http_proxy_id
        for http_proxy_id in sorted(http_proxy_ids)
        if name in subset(names=names, http_proxy_id=http_proxy_id, subset_size=subset_size)
    ]


def allotment(*, cap: int, user_ids: Sequence[int], http_proxy_id: int) -> int:
    """One HTTP proxy's part of a backend's cap: even, with the remainder dealt by id. The sum is the cap."""
    if http_proxy_id not in user_ids:
        return 0
    base, remainder = divmod(cap, len(user_ids))
    return base + (1 if sorted(user_ids).index(http_proxy_id) < remainder else 0)
