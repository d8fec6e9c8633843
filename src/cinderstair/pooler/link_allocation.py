"""Allocates links to proxies where a cap is smaller than the number of proxies. Pure functions of shared lists."""

from collections.abc import Sequence
from typing import NamedTuple

from ..http_frontend.subsetting import allotment, rank

# A replica takes up to an eighth more than an even share, so that one proxy's leaving moves few others.
SLACK_DIVISOR = 8
# Links that one proxy keeps for the others of a region where not each has its own.
LINKS_PER_PROXY = 4
DISTANCE_CLASSES = 3


class Location(NamedTuple):
    """The location of a proxy or a backend."""

    site: str
    region: str

    def distance_class(self, *, other: "Location") -> int:
        """0 within a site, 1 within a region, else 2 (see `DISTANCE_CLASSES`)."""
        if self.site == other.site:
            return 0
        return 1 if self.region == other.region else 2


class ProxyLocation(NamedTuple):
    """A proxy's id and location."""

    proxy_id: int
    location: Location


def allocate_replicas(*, proxies: Sequence[ProxyLocation], replicas: Sequence[Location], cap: int) -> dict[int, int]:
    """Allocates one replica to each proxy, nearest first and evenly; no replica gets more than `cap` proxies.

    :returns: the index of the replica by proxy id.

    Every proxy computes the same from the same lists. A proxy for which no capacity is left has no entry.
    """
    if not replicas or cap <= 0:
        return {}
    even_share = -(-len(proxies) // len(replicas))
    # A near replica must not fill up before a distant one has any.
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
                # Chosen by the id and not by the others' allocations, so that a proxy that leaves changes few.
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

    Each proxy in the backend's region gets its own where all of them fit; in other regions a few proxies get several
    and forward for the rest. Every proxy computes the same. The primary is no input, so a promotion moves no link.

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
    """Each region's part of the cap.

    The home region gets a link a proxy while a third is left for the others, which share the rest by their size.
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
    """The proxies that get links, from each site in turn, in an order that differs by backend."""
    # Each proxy's rank is independent of the others, so that one that joins or leaves moves few of them.
    sites: dict[str, list[int]] = {}
    for proxy_id, location in sorted(members, key=lambda entry: rank(seed=entry.proxy_id, name=backend)):
        sites.setdefault(location.site, []).append(proxy_id)
    round_robin = [ids[n] for n in range(len(members)) for _, ids in sorted(sites.items()) if n < len(ids)]
    return round_robin[:count]
