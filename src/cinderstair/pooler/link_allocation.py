"""Allocates a backend's capped number of links to proxies.

Pure functions of lists that all proxies share, so every proxy computes the same allocation without coordination.
"""

from collections.abc import Sequence
from typing import NamedTuple

from ..http_frontend.subsetting import allotment, rank

# A replica takes up to 1/8 more than an even share, so that a proxy that leaves changes few other allocations.
SLACK_DIVISOR = 8
# Links per proxy in a region where only some proxies have links and forward for the rest.
LINKS_PER_PROXY = 4
DISTANCE_CLASSES = 3


class Location(NamedTuple):
    """The site and region of a proxy or a backend."""

    site: str
    region: str

    def distance_class(self, *, other: "Location") -> int:
        """0: same site; 1: same region; 2: other region. There are `DISTANCE_CLASSES` classes."""
        if self.site == other.site:
            return 0
        return 1 if self.region == other.region else 2


class ProxyLocation(NamedTuple):
    """A proxy's id and location."""

    proxy_id: int
    location: Location


def allocate_replicas(*, proxies: Sequence[ProxyLocation], replicas: Sequence[Location], cap: int) -> dict[int, int]:
    """Allocates one replica to each proxy, nearest first and evenly; no replica gets more than `cap` proxies.

    :returns: the index of the replica by proxy id. A proxy for which no capacity is left has no entry.
    """
    if not replicas or cap <= 0:
        return {}
    even_share = -(-len(proxies) // len(replicas))
    # Without this bound, near replicas would fill up to the cap while distant ones stay empty.
    max_per_replica = min(cap, even_share + even_share // SLACK_DIVISOR)
    counts = [0] * len(replicas)
    allocated: dict[int, int] = {}
    for distance_class in range(DISTANCE_CLASSES):
        for proxy_id, location in sorted(proxies):
            if proxy_id in allocated:
                continue
            candidates = [
                n
                for n, replica in enumerate(replicas)
                if counts[n] < max_per_replica and location.distance_class(other=replica) <= distance_class
            ]
            if candidates:
                # Selected by id, not by the current counts, so that a proxy that leaves changes few allocations.
                chosen = candidates[proxy_id % len(candidates)]
                allocated[proxy_id] = chosen
                counts[chosen] += 1
    return allocated


def allocate_links(
    *,
    proxies: Sequence[ProxyLocation],
    backend: str,
    location: Location,
    cap: int,
    links_per_proxy: int = LINKS_PER_PROXY,
) -> dict[int, int]:
    """Allocates the links to one backend; their sum is at most `cap`.

    In a region whose quota covers all its proxies, each gets at least one link. In other regions a few proxies get
    up to `links_per_proxy` each and forward for the rest. The allocation does not depend on which backend is primary,
    so a promotion moves no links.

    :returns: the number of links by proxy id; proxies without an entry get none.
    """
    regions: dict[str, list[ProxyLocation]] = {}
    for entry in sorted(proxies):
        regions.setdefault(entry.location.region, []).append(entry)
    if not regions or cap <= 0:
        return {}
    quotas = _quotas(sizes={name: len(each) for name, each in regions.items()}, home=location.region, cap=cap)
    allocated: dict[int, int] = {}
    for name, members in regions.items():
        quota = quotas[name]
        if quota >= len(members):
            proxies_with_links = [proxy_id for proxy_id, _ in members]
        else:
            proxies_with_links = _choose_proxies(members=members, backend=backend, count=-(-quota // links_per_proxy))
        ids = sorted(proxies_with_links)
        for proxy_id in ids:
            links = allotment(cap=quota, user_ids=ids, http_proxy_id=proxy_id)
            if links:
                allocated[proxy_id] = links
    return allocated


def _quotas(*, sizes: dict[str, int], home: str, cap: int) -> dict[str, int]:
    """Divides the cap among regions.

    The backend's own region (`home`) gets one link per proxy, as long as a third of the cap remains for the others;
    otherwise it gets its proportional share. The other regions share the remainder in proportion to their size.
    """
    others = {name: size for name, size in sizes.items() if name != home}
    home_quota = sizes.get(home, 0)
    if others and home_quota > cap - cap // 3:
        home_quota = cap * home_quota // sum(sizes.values())
    elif not others:
        home_quota = cap
    quotas = {home: home_quota} if home in sizes else {}
    remaining, total = cap - (home_quota if home in sizes else 0), sum(others.values())
    quotas |= {name: remaining * size // total for name, size in others.items()}
    unassigned = cap - sum(quotas.values())
    for name in sorted(others)[: max(0, unassigned)]:
        quotas[name] += 1
    return quotas


def _choose_proxies(*, members: list[ProxyLocation], backend: str, count: int) -> list[int]:
    """The proxies that get links: round-robin over the sites, in an order that differs by backend."""
    # Rendezvous hashing: each proxy's rank is independent of the others, so a membership change moves few links.
    sites: dict[str, list[int]] = {}
    for proxy_id, location in sorted(members, key=lambda entry: rank(seed=entry.proxy_id, name=backend)):
        sites.setdefault(location.site, []).append(proxy_id)
    round_robin = [ids[n] for n in range(len(members)) for _, ids in sorted(sites.items()) if n < len(ids)]
    return round_robin[:count]
