"""Which copy a booth holds a lasting link to, where a cap is smaller than the number of booths. Pure functions."""

from collections.abc import Sequence
from typing import NamedTuple

from ..http_frontend.share import allotment, rank

SLACK = 8
PER_HOLDER = 4


class Spot(NamedTuple):
    """Where a booth or a backend stands."""

    site: str
    region: str

    def near(self, *, other: "Spot") -> int:
        """0 within a site, 1 within a region, else 2."""
        if self.site == other.site:
            return 0
        return 1 if self.region == other.region else 2


def dealt_copies(*, booths: Sequence[tuple[int, Spot]], copies: Sequence[Spot], room: int) -> dict[int, int]:
    """The number of one copy for each booth's id, nearest first and evenly; no copy gets more than `room` booths.

    Every booth reckons the same from the same lists. A booth for which there is no room is in no entry.
    """
    if not copies or room <= 0:
        return {}
    even = -(-len(booths) // len(copies))
    # why: a near copy must not fill up before a far one has any; a little more than even spares changes for one booth
    most = min(room, even + even // SLACK)
    taken = [0] * len(copies)
    dealt: dict[int, int] = {}
    for level in range(3):
        for booth_id, spot in sorted(booths):
            if booth_id in dealt:
                continue
            fit = [n for n, copy in enumerate(copies) if taken[n] < most and spot.near(other=copy) <= level]
            if fit:
                # why: by the id, and not by what others were dealt, so that one that goes changes few
                best = fit[booth_id % len(fit)]
                dealt[booth_id] = best
                taken[best] += 1
    return dealt


def dealt_links(
    *, booths: Sequence[tuple[int, Spot]], backend: str, spot: Spot, room: int, per_holder: int = PER_HOLDER
) -> dict[int, int]:
    """How many links to one backend each booth's id may hold; those in no entry hold none. The sum is at most `room`.

    Each booth near the backend holds its own, where all of them fit; elsewhere a few a region hold several for
    the others. Every booth reckons the same. Who leads is no part of it, so that a promotion moves no link.
    """
    regions: dict[str, list[tuple[int, Spot]]] = {}
    for entry in sorted(booths):
        regions.setdefault(entry[1].region, []).append(entry)
    if not regions or room <= 0:
        return {}
    rooms = _rooms(sizes={name: len(each) for name, each in regions.items()}, home=spot.region, room=room)
    dealt: dict[int, int] = {}
    for name, members in regions.items():
        part = rooms[name]
        if part >= len(members):
            holders = [booth_id for booth_id, _ in members]
        else:
            holders = _chosen(members=members, backend=backend, count=-(-part // per_holder))
        ids = sorted(holders)
        for booth_id in ids:
            links = allotment(cap=part, user_ids=ids, stall_id=booth_id)
            if links:
                dealt[booth_id] = links
    return dealt


def _rooms(*, sizes: dict[str, int], home: str, room: int) -> dict[str, int]:
    """Each region's part: a link a booth at home while the others keep a third, the rest by their booths."""
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


def _chosen(*, members: list[tuple[int, Spot]], backend: str, count: int) -> list[int]:
    """Those that hold, from each site in turn, in an order that differs by backend."""
    # why: each booth has its own place in the order, so that one that comes or goes moves few others
    sites: dict[str, list[int]] = {}
    for booth_id, spot in sorted(members, key=lambda entry: rank(seed=entry[0], name=backend)):
        sites.setdefault(spot.site, []).append(booth_id)
    turns = [ids[n] for n in range(len(members)) for _, ids in sorted(sites.items()) if n < len(ids)]
    return turns[:count]
