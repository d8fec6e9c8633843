"""What-if answers by the same pure functions that the daemons run: shares, channels, caps, windows."""

from dataclasses import dataclass
from typing import Any

from ..config.charter import Charter
from ..http_frontend.share import allotment, with_replacements
from .leaving import Leaving, leaving
from .scenario import Scenario
from .windowstates import Stage, WindowStates


@dataclass(frozen=True, kw_only=True)
class Layout:
    """Every stall's channels to every backend, and its share of every database."""

    channels: dict[tuple[str, str], int]
    shares: dict[tuple[str, str], tuple[str, ...]]


def open_states(*, charter: Charter, names: tuple[str, ...]) -> WindowStates:
    return WindowStates(
        stages=tuple((w.name, w.starts_us, w.ends_us, Stage.open) for w in charter.windows if w.name in names)
    )


def layout(
    *, charter: Charter, stalls: tuple[str, ...], unfit: frozenset[str], held: dict[str, tuple[str, ...]]
) -> Layout:
    """As each stall would compute it for itself; ids are the places in the list of stalls."""
    channels: dict[tuple[str, str], int] = {}
    shares: dict[tuple[str, str], tuple[str, ...]] = {}
    ids = {number: name for number, name in enumerate(stalls) if name}
    for database, names in charter.databases.items():
        size = charter.amount(name="subsetSize", database=database)
        subsets = {
            number: with_replacements(names=names, stall_id=number, subset_size=size, unfit=unfit) for number in ids
        }
        for number, stall in ids.items():
            shares[stall, database] = subsets[number]
        for name in names:
            user_ids = [n for n, found in subsets.items() if name in found or name in held[database]]
            for number, stall in ids.items():
                part = (
                    allotment(cap=charter.backends[name].cap, user_ids=user_ids, stall_id=number) if user_ids else 0
                )
                channels[stall, name] = part
    return Layout(channels=channels, shares=shares)


def what_if(*, charter: Charter, scenario: Scenario) -> dict[str, Any]:
    """Before and after, what moves between them, and what each window can do."""
    away = leaving(charter=charter, states=open_states(charter=charter, names=scenario.windows))
    held_before = {d: (scenario.primaries[d], *scenario.inSync[d]) for d in charter.databases}
    before = layout(charter=charter, stalls=scenario.stalls, unfit=frozenset(), held=held_before)
    # why: a lost stall keeps its slot through a time of grace, so the others' ids stay; its place is left empty
    left = tuple("" if name in scenario.lost else name for name in scenario.stalls)
    after = tuple(left) + scenario.joins
    lost_backends = frozenset(name for name in scenario.lost if name in charter.backends)
    steps, held_after = window_steps(charter=charter, scenario=scenario, away=away, lost=lost_backends, stalls=after)
    unfit = lost_backends | frozenset(away.backends)
    then = layout(charter=charter, stalls=after, unfit=unfit, held=held_after)
    return {
        "configuration": charter.version,
        "before": described(layout=before, charter=charter),
        "after": described(layout=then, charter=charter),
        "moves": moves(before=before, after=then),
        "windows": steps,
        "warnings": list(charter.warnings),
    }


def described(*, layout: Layout, charter: Charter) -> dict[str, Any]:
    backends = {}
    for name, backend in sorted(charter.backends.items()):
        parts = [count for (_, each), count in layout.channels.items() if each == name and count]
        backends[name] = {
            "cap": backend.cap,
            "stalls": len(parts),
            "channels": sum(parts),
            "headroom": backend.cap - sum(parts),
            "least": min(parts, default=0),
            "most": max(parts, default=0),
        }
    shares: dict[str, dict[str, list[str]]] = {}
    for (stall, database), names in layout.shares.items():
        shares.setdefault(stall, {})[database] = list(names)
    return {"backends": backends, "shares": shares}


def moves(*, before: Layout, after: Layout) -> dict[str, Any]:
    """Channels opened and closed, by backend and in all; and how many places of subsets changed."""
    opened: dict[str, int] = {}
    closed: dict[str, int] = {}
    for key in sorted({*before.channels, *after.channels}):
        change = after.channels.get(key, 0) - before.channels.get(key, 0)
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
    *, charter: Charter, scenario: Scenario, away: Leaving, lost: frozenset[str], stalls: tuple[str, ...]
) -> tuple[dict[str, Any], dict[str, tuple[str, ...]]]:
    """Database by database, what the open windows do and where they hold back; and who is held to after."""
    held: dict[str, tuple[str, ...]] = {}
    steps: dict[str, Any] = {}
    for database, names in charter.databases.items():
        most = charter.amount(name="inSync", database=database)
        staying = [n for n in names if n not in away.backends and n not in lost]
        primary, notes = scenario.primaries[database], []
        finishes = True
        if primary in away.backends or primary in lost:
            able = [n for n in staying if n in scenario.inSync[database]]
            joining = [n for n in staying if n not in scenario.inSync[database]]
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
            kept = next((n for n in scenario.inSync[database] if n != primary and n not in lost), "")
            if kept:
                notes.append(f"held back: {kept} stays in sync, since nobody outside can")
                followers = [kept]
                finishes = False
            else:
                notes.append("nobody is in sync: writes are denied")
                finishes = False
        held[database] = (primary, *followers)
        steps[database] = {"finishes": finishes, "steps": notes, "primary": primary, "inSync": followers}
    stay = [n for n in stalls if n and n not in away.stalls and n not in scenario.lost]
    gone = [n for n in stalls if n in away.stalls]
    if gone:
        note = f"{', '.join(gone)} hand their sessions to {', '.join(stay)}" if stay else "held back: no stall stays"
        steps["stalls"] = {"finishes": bool(stay), "steps": [note]}
    return steps, held
