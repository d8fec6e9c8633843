"""Which copy a proxy holds a lasting link to, where a cap is smaller than the number of proxies. Pure functions."""

from collections.abc import Sequence
from typing import NamedTuple

from ..http_frontend.subsetting import allotment, rank

SLACK = 8
PER_HOLDER = 4


class Location(NamedTuple):
    """Where a proxy or a backend stands."""

    site: str
    region: str

    def near(self, *, other: "Location") -> int:
        """0 within a site, 1 within a region, else 2."""
        if self.site == other.site:
            return 0
        return 1 if self.region == other.region else 2


def allocate_replicas(
    *, proxies: Sequence[tuple[int, Location]], replicas: Sequence[Location], room: int
) -> dict[int, int]:
    """The number of one copy for each proxy's id, nearest first and evenly; no copy gets more than `room` proxies.

    Every proxy reckons the same from the same lists. A proxy for which there is no room is in no entry.
    """
    if not replicas or room <= 0:
        return {}
    even = -(-len(proxies) // len(replicas))
    # why: a near copy must not fill up before a far one has any; a little more than even spares changes for one proxy
    most = min(room, even + even // SLACK)
    taken = [0] * len(replicas)
    allocated: dict[int, int] = {}
    for level in range(3):
        for proxy_id, location in sorted(proxies):
            if proxy_id in allocated:
                continue
            fit = [
                n for n, replica in enumerate(replicas) if taken[n] < most and location.near(other=replica) <= level
            ]
            if fit:
                # why: by the id, and not by what others were dealt, so that one that goes changes few
                best = fit[proxy_id % len(fit)]
                allocated[proxy_id] = best
                taken[best] += 1
    return allocated


def allocate_links(
    *,
    proxies: Sequence[tuple[int, Location]],
    backend: str,
    location: Location,
    room: int,
    per_holder: int = PER_HOLDER,
) -> dict[int, int]:
    """How many links to one backend each proxy's id may hold; those in no entry hold none. The sum is at most `room`.

    Each proxy near the backend holds its own, where all of them fit; elsewhere a few a region hold several for
    the others. Every proxy reckons the same. Who leads is no part of it, so that a promotion moves no link.
    """
    regions: dict[str, list[tuple[int, Location]]] = {}
    for entry in sorted(proxies):
        regions.setdefault(entry[1].region, []).append(entry)
    if not regions or room <= 0:
        return {}
    rooms = _rooms(sizes={name: len(each) for name, each in regions.items()}, home=location.region, room=room)
    allocated: dict[int, int] = {}
    for name, members in regions.items():
        part = rooms[name]
        if part >= len(members):
            holders = [proxy_id for proxy_id, _ in members]
        else:
            holders = _chosen(members=members, backend=backend, count=-(-part // per_holder))
        ids = sorted(holders)
        for proxy_id in ids:
            links = allotment(cap=part, user_ids=ids, http_proxy_id=proxy_id)
            if links:
                allocated[proxy_id] = links
    return allocated


def _rooms(*, sizes: dict[str, int], home: str, room: int) -> dict[str, int]:
    """Each region's part: a link a proxy at home while the others keep a third, the rest by their proxies."""
    others = {name: size for name, size in sizes.items() if name != home}
    at_home = sizes.get(home, 0)
    if others and at_home > room - room // 3:
        at_home = room * at_home // sum(sizes.values())
    elif not others:
        at_home = room
    rooms = {home: at_home} if home in sizes else {}
    left, total = room - (at_home if home in sizes else 0), sum(others.values())
    rooms |= {name: left * size // total for name, size in others.items()}
    over = room - sum(rooms.values())
    for name in sorted(others)[: max(0, over)]:
        rooms[name] += 1
    return rooms


def _chosen(*, members: list[tuple[int, Location]], backend: str, count: int) -> list[int]:
    """Those that hold, from each site in turn, in an order that differs by backend."""
    # why: each proxy has its own place in the order, so that one that comes or goes moves few others
    sites: dict[str, list[int]] = {}
    for proxy_id, location in sorted(members, key=lambda entry: rank(seed=entry[0], name=backend)):
        sites.setdefault(location.site, []).append(proxy_id)
    turns = [ids[n] for n in range(len(members)) for _, ids in sorted(sites.items()) if n < len(ids)]
    return turns[:count]
