"""Deterministic subsetting: which backends a proxy keeps channels to, and its part of each backend's cap.

Source: "Site Reliability Engineering" (Beyer et al., 2016), chapter 20, "A Subset Selection Algorithm".

Pure functions of the list of backends and the proxy ids, so that every proxy computes the same result on its own. The
proxy ids are divided into rounds: each round shuffles the list with its own seed and splits it into subsets, one per
proxy.
"""

import hashlib
from collections.abc import Sequence
from functools import lru_cache


def rank(*, seed: int, name: str) -> bytes:
    """The sort key of a name in one round's order; it must not depend on the machine or the version of Python."""
    return hashlib.sha256(b"cinderstair share %d/" % seed + name.encode()).digest()


@lru_cache(maxsize=4096)
def _cached_shuffle(names: tuple[str, ...], seed: int) -> tuple[str, ...]:
    """`shuffled`, cached."""
    # ranking each name on its own, unlike a shuffle by swaps, keeps the order of all other names when one is added or
    # removed, so that a change of the list moves few channels
    return tuple(sorted(names, key=lambda name: (rank(seed=seed, name=name), name)))


def shuffled(*, names: Sequence[str], seed: int) -> tuple[str, ...]:
    """The list in one round's order, independent of the order of the input."""
    return _cached_shuffle(tuple(names), seed)


def subset_count(*, name_count: int, subset_size: int) -> int:
    """The number of subsets in one round."""
    # a list shorter than the subset size still makes one subset, or its backends would stay unused
    return max(1, name_count // subset_size) if subset_size > 0 else 0


def bounds(*, name_count: int, count: int, index: int) -> tuple[int, int]:
    """Start and end of subset `index` in an even division; the first subsets get one more from the remainder."""
    base, remainder = divmod(name_count, count)
    start = index * base + min(index, remainder)
    return start, start + base + (1 if index < remainder else 0)


def subset(*, names: Sequence[str], http_proxy_id: int, subset_size: int) -> tuple[str, ...]:
    """The subset of one proxy, without regard to health; empty for an empty list or a subset size of 0."""
    if not names or subset_size <= 0:
        return ()
    count = subset_count(name_count=len(names), subset_size=subset_size)
    order = shuffled(names=names, seed=http_proxy_id // count)
    start, end = bounds(name_count=len(names), count=count, index=http_proxy_id % count)
    return tuple(order[start:end])


def with_replacements(
    *, names: Sequence[str], http_proxy_id: int, subset_size: int, unfit: frozenset[str]
) -> tuple[str, ...]:
    """The subset, with each unfit backend replaced by the next fit one in the round's order.

    The list itself doesn't change, so a lost backend moves one set of channels and its return moves it back.
    """
    own = subset(names=names, http_proxy_id=http_proxy_id, subset_size=subset_size)
    if not any(name in unfit for name in own):
        return own
    count = subset_count(name_count=len(names), subset_size=subset_size)
    order = shuffled(names=names, seed=http_proxy_id // count)
    _, end = bounds(name_count=len(names), count=count, index=http_proxy_id % count)
    # starting at the end of the subset gives each subset of a round a different first replacement
    spare = [name for name in (*order[end:], *order[:end]) if name not in own and name not in unfit]
    return tuple(name for name in ((spare.pop(0) if spare else "") if n in unfit else n for n in own) if name)


def proxies_using(*, names: Sequence[str], http_proxy_ids: Sequence[int], subset_size: int, name: str) -> list[int]:
    """The ids of the proxies whose subset contains a backend, in order."""
    return [
        http_proxy_id
        for http_proxy_id in sorted(http_proxy_ids)
        if name in subset(names=names, http_proxy_id=http_proxy_id, subset_size=subset_size)
    ]


def allotment(*, cap: int, user_ids: Sequence[int], http_proxy_id: int) -> int:
    """One proxy's part of a backend's cap: divided evenly, the remainder by order of ids; parts add up to it."""
    if http_proxy_id not in user_ids:
        return 0
    base, remainder = divmod(cap, len(user_ids))
    return base + (1 if sorted(user_ids).index(http_proxy_id) < remainder else 0)
