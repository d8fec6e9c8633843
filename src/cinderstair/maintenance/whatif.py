"""What-if answers by the same pure functions that the daemons run: shares, channels, caps, windows."""

from dataclasses import dataclass
from typing import Any

from ..config.configuration import Configuration
from ..http_frontend.subsetting import allotment, with_replacements
from .leaving import Leaving, leaving
from .scenario import Scenario
from .window_states import Stage, WindowStates


@dataclass(frozen=True, kw_only=True)
class Layout:
    """Every HTTP proxy's channels to every backend, and its share of every database."""

    connections: dict[tuple[str, str], int]
    shares: dict[tuple[str, str], tuple[str, ...]]


def open_states(*, configuration: Configuration, names: tuple[str, ...]) -> WindowStates:
    return WindowStates(
        stages=tuple((w.name, w.starts_us, w.ends_us, Stage.open) for w in configuration.windows if w.name in names)
    )


def layout(
    *,
    configuration: Configuration,
    http_proxies: tuple[str, ...],
    unfit: frozenset[str],
    held: dict[str, tuple[str, ...]],
) -> Layout:
    """As each HTTP proxy would compute it for itself; ids are the places in the list of HTTP proxies."""
    connections: dict[tuple[str, str], int] = {}
    shares: dict[tuple[str, str], tuple[str, ...]] = {}
    ids = {number: name for number, name in enumerate(http_proxies) if name}
    for database, names in configuration.databases.items():
        size = configuration.amount(name="subsetSize", database=database)
        subsets = {
            number: with_replacements(names=names, http_proxy_id=number, subset_size=size, unfit=unfit)
            for number in ids
        }
        for number, http_proxy in ids.items():
            shares[http_proxy, database] = subsets[number]
        for name in names:
            user_ids = [n for n, found in subsets.items() if name in found or name in held[database]]
            for number, http_proxy in ids.items():
                part = (
                    allotment(cap=configuration.backends[name].cap, user_ids=user_ids, http_proxy_id=number)
                    if user_ids
                    else 0
                )
                connections[http_proxy, name] = part
    return Layout(connections=connections, shares=shares)


def what_if(*, configuration: Configuration, scenario: Scenario) -> dict[str, Any]:
    """Before and after, what moves between them, and what each window can do."""
    away = leaving(
        configuration=configuration, states=open_states(configuration=configuration, names=scenario.windows)
    )
    held_before = {d: (scenario.primaries[d], *scenario.in_sync[d]) for d in configuration.databases}
    before = layout(
        configuration=configuration, http_proxies=scenario.http_proxies, unfit=frozenset(), held=held_before
    )
    # why: a lost HTTP proxy keeps its slot through a time of grace, so the others' ids stay; its place is left empty
    left = tuple("" if name in scenario.lost else name for name in scenario.http_proxies)
    after = tuple(left) + scenario.joins
    lost_backends = frozenset(name for name in scenario.lost if name in configuration.backends)
    steps, held_after = window_steps(
        configuration=configuration, scenario=scenario, away=away, lost=lost_backends, http_proxies=after
    )
    unfit = lost_backends | frozenset(away.backends)
    then = layout(configuration=configuration, http_proxies=after, unfit=unfit, held=held_after)
    return {
        "configuration": configuration.version,
        "before": described(layout=before, configuration=configuration),
        "after": described(layout=then, configuration=configuration),
        "moves": moves(before=before, after=then),
        "windows": steps,
        "warnings": list(configuration.warnings),
    }


def described(*, layout: Layout, configuration: Configuration) -> dict[str, Any]:
    backends = {}
    for name, backend in sorted(configuration.backends.items()):
        parts = [count for (_, each), count in layout.connections.items() if each == name and count]
        backends[name] = {
            "cap": backend.cap,
            "stalls": len(parts),
            "channels": sum(parts),
            "headroom": backend.cap - sum(parts),
            "least": min(parts, default=0),
            "most": max(parts, default=0),
        }
    shares: dict[str, dict[str, list[str]]] = {}
    for (http_proxy, database), names in layout.shares.items():
        shares.setdefault(http_proxy, {})[database] = list(names)
    return {"backends": backends, "shares": shares}


def moves(*, before: Layout, after: Layout) -> dict[str, Any]:
    """Channels opened and closed, by backend and in all; and how many places of subsets changed."""
    opened: dict[str, int] = {}
    closed: dict[str, int] = {}
    for key in sorted({*before.connections, *after.connections}):
        change = after.connections.get(key, 0) - before.connections.get(key, 0)
        if change > 0:
            opened[key[1]] = opened.get(key[1], 0) + change
        elif change < 0:
            closed[key[1]] = closed.get(key[1], 0) - change
    places = sum(len(set(after.shares.get(key, ())) - set(names)) for key, names in before.shares.items())
    return {
        "opened": opened,
        "closed": closed,
        "openedInAll": sum(opened.values()),
        "closedInAll": sum(closed.values()),
        "placesMoved": places,
    }


def window_steps(
    *,
    configuration: Configuration,
    scenario: Scenario,
    away: Leaving,
    lost: frozenset[str],
    http_proxies: tuple[str, ...],
) -> tuple[dict[str, Any], dict[str, tuple[str, ...]]]:
    """Database by database, what the open windows do and where they hold back; and who is held to after."""
    held: dict[str, tuple[str, ...]] = {}
    steps: dict[str, Any] = {}
    for database, names in configuration.databases.items():
        most = configuration.amount(name="inSync", database=database)
        staying = [n for n in names if n not in away.backends and n not in lost]
        primary, notes = scenario.primaries[database], []
        finishes = True
        if primary in away.backends or primary in lost:
            able = [n for n in staying if n in scenario.in_sync[database]]
            joining = [n for n in staying if n not in scenario.in_sync[database]]
            if able:
                notes.append(f"the lead moves from {primary} to one of {', '.join(able)}")
                primary = able[0]
            elif joining and primary not in lost:
                notes.append(f"{joining[0]} comes in sync first, then the lead moves to it from {primary}")
                primary = joining[0]
            else:
                finishes = False
                notes.append(f"held back: nobody outside could lead instead of {primary}")
        followers = [n for n in staying if n != primary][:most]
        if not followers:
            kept = next((n for n in scenario.in_sync[database] if n != primary and n not in lost), "")
            if kept:
                notes.append(f"held back: {kept} stays in sync, since nobody outside can")
                followers = [kept]
                finishes = False
            else:
                notes.append("nobody is in sync: writes are denied")
                finishes = False
        held[database] = (primary, *followers)
        steps[database] = {"finishes": finishes, "steps": notes, "primary": primary, "inSync": followers}
    stay = [n for n in http_proxies if n and n not in away.http_proxies and n not in scenario.lost]
    gone = [n for n in http_proxies if n in away.http_proxies]
    if gone:
        note = (
            f"{', '.join(gone)} hand their sessions to {', '.join(stay)}"
            if stay
            else "held back: no HTTP proxy stays"
        )
        steps["stalls"] = {"finishes": bool(stay), "steps": [note]}
    return steps, held
