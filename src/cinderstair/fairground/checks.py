"""Checkers over a recorded history: one for each line of what must never happen."""

from typing import Any

from .event import Event

LIVE_US = 1_500_000
FRESH_US = 2_500_000


def writes(*, history: list[Event]) -> list[Event]:
    return [event for event in history if event.verb in ("append", "transaction")]


def kept(*, history: list[Event], final: dict[str, Any]) -> list[str]:
    """Once at the most from one try; done is kept; denied is not; a transaction is whole or nothing."""
    wrong: list[str] = []
    counts: dict[str, int] = {}
    for values in final.values():
        for token in values if isinstance(values, list) else ():
            counts[token] = counts.get(token, 0) + 1
    for event in writes(history=history):
        found = [counts.get(token, 0) for token in event.tokens]
        if max(found) > 1:
            wrong.append(f"twice from one try: {event.tokens}")
        if event.outcome == "done" and min(found) < 1:
            wrong.append(f"acknowledged and lost: {event.tokens} at {event.endUs}")
        if event.outcome in ("denied", "unreached") and max(found) > 0:
            wrong.append(f"denied ({event.kind}) and kept: {event.tokens}")
        if min(found) != max(found):
            wrong.append(f"kept by half: {event.tokens}")
    return wrong


def fresh(*, history: list[Event]) -> tuple[list[str], dict[str, int]]:
    """No read misses what its kind promises. Also the greatest age of anything missed, by kind."""
    wrong: list[str] = []
    worst = {"primary": 0, "live": 0, "fresh": 0}
    done = [event for event in writes(history=history) if event.outcome == "done"]
    bounds = {"primary": 0, "live": LIVE_US, "fresh": FRESH_US}
    for read in history:
        if read.verb not in bounds or read.outcome != "done":
            continue
        seen = set(read.rows)
        for write in done:
            if write.key != read.key or write.endUs >= read.startUs or seen.issuperset(write.tokens):
                continue
            ageUs = read.startUs - write.endUs
            own = read.verb == "fresh" and write.session == read.session
            worst[read.verb] = max(worst[read.verb], ageUs)
            if own or ageUs > bounds[read.verb]:
                why = "its own session's" if own else f"{ageUs} us old"
                wrong.append(f"{read.verb} read of {read.caller} at {read.startUs} missed {write.tokens}: {why}")
    return wrong, worst


def values(*, history: list[Event]) -> list[str]:
    """No session sees another's values."""
    return [
        f"{event.caller} was shown {event.rows} for {event.key}"
        for event in history
        if event.verb == "show" and event.outcome == "done" and event.rows != [event.key]
    ]


def texts(*, ran: list[str], sent: set[str]) -> list[str]:
    """No backend runs what no client sent."""
    return [f"nobody sent: {text}" for text in ran if text not in sent]


def late(*, history: list[Event], slackUs: int = 500_000) -> list[str]:
    """Every answer came within the job's time left."""
    return [
        f"{event.verb} of {event.caller} took {event.endUs - event.startUs} us"
        for event in history
        if event.verb != "transaction"
        and event.outcome not in ("unanswered", "unreached")
        and event.endUs - event.startUs > event.timeLeftUs + slackUs
    ]


def gapUs(*, history: list[Event], fromUs: int, untilUs: int, verbs: tuple[str, ...]) -> int:
    """The longest time without a job of these verbs done."""
    ends = sorted(e.endUs for e in history if e.outcome == "done" and e.verb in verbs)
    marks = [fromUs, *(end for end in ends if fromUs <= end <= untilUs), untilUs]
    return max(later - earlier for earlier, later in zip(marks, marks[1:], strict=False))
