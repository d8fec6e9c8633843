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
    even = -(-len(proxies) // len(replicas))
    # A near replica must not fill up before a distant one has any.
    most = min(cap, even + even // SLACK_DIVISOR)
    taken = [0] * len(replicas)
    allocated: dict[int, int] = {}
    for distance_class in range(DISTANCE_CLASSES):
        for proxy_id, location in sorted(proxies):
            if proxy_id in allocated:
                continue
            fit = [
                n
                for n, replica in enumerate(replicas)
                if taken[n] < most and location.distance_class(other=replica) <= distance_class
            ]
            if fit:
                # Chosen by the id and not by the others' allocations, so that a proxy that leaves changes few.
                best = fit[proxy_id % len(fit)]
                allocated[proxy_id] = best
                taken[best] += 1
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
        part = quotas[name]
        if part >= len(members):
            proxies_with_links = [proxy_id for proxy_id, _ in members]
        else:
            proxies_with_links = _choose_proxies(members=members, backend=backend, count=-(-part // links_per_proxy))
        ids = sorted(proxies_with_links)
        for proxy_id in ids:
            links = allotment(cap=part, user_ids=ids, http_proxy_id=proxy_id)
            if links:
                allocated[proxy_id] = links
    return allocated


def _quotas(*, sizes: dict[str, int], home: str, cap: int) -> dict[str, int]:
    """Each region's part of the cap.

    The home region gets a link a proxy while a third is left for the others, which share the rest by their size.
    """
    others = {name: size for name, size in sizes.items() if name != home}
    at_home = sizes.get(home, 0)
    if others and at_home > cap - cap // 3:
        at_home = cap * at_home // sum(sizes.values())
    elif not others:
        at_home = cap
    quotas = {home: at_home} if home in sizes else {}
    left, total = cap - (at_home if home in sizes else 0), sum(others.values())
    quotas |= {name: left * size // total for name, size in others.items()}
    over = cap - sum(quotas.values())
    for name in sorted(others)[: max(0, over)]:
        quotas[name] += 1
    return quotas


def _choose_proxies(*, members: list[ProxyLocation], backend: str, count: int) -> list[int]:
    """The proxies that get links, from each site in turn, in an order that differs by backend."""
    # Each proxy's rank is independent of the others, so that one that joins or leaves moves few of them.
    sites: dict[str, list[int]] = {}
    for proxy_id, location in sorted(members, key=lambda entry: rank(seed=entry.proxy_id, name=backend)):
        sites.setdefault(location.site, []).append(proxy_id)
    turns = [ids[n] for n in range(len(members)) for _, ids in sorted(sites.items()) if n < len(ids)]
    return turns[:count]
