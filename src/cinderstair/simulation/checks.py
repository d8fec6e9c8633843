"""Checkers over a recorded history: one for each line of what must never happen, each counting its chances."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from ..runtime.error_responses import ERROR_RESPONSES
from ..runtime.errors import ErrorCode
from .event import Event
from .sent import Sent

LIVE_US = 1_500_000
FRESH_US = 2_500_000
# why: a read may be asked again of another backend, at the most this often
READ_ROUNDS = 4
# why: these are known when the job comes in; whoever is told later has been held back
AT_ONCE_US = 100_000
KNOWN_AT_ONCE = frozenset(
    ["draining", "sessionBusy", "noTransaction", "inTransaction", "routeDenied", "unknownDatabase", "unknownKind"]
)
# why: a backend that falls silent is given up 6 s after its last word, and with it all that waits for it
GIVEN_UP_US = 7_500_000
KNOWN_IN_TIME = frozenset(
    [
        "noLead",
        "moving",
        "notInSync",
        "noBackend",
        "notCurrent",
        "outcomeUnknown",
        "transactionLost",
    ]
)
WRITES = ("append", "transaction")
Found = tuple[list[str], Counter[str]]


def writes(*, history: Iterable[Event]) -> list[Event]:
    return [event for event in history if event.verb in WRITES]


def kept(*, history: list[Event], final: dict[str, Any], moves_us: Iterable[int] = ()) -> Found:
    """Once at the most from one try; done is kept; denied is not; a transaction is whole or nothing."""
    wrong: list[str] = []
    chances: Counter[str] = Counter()
    counts: dict[str, int] = {}
    last_move_us = max(moves_us, default=0)
    for values in final.values():
        for token in values if isinstance(values, list) else ():
            counts[token] = counts.get(token, 0) + 1
    for event in writes(history=history):
        found = [counts.get(token, 0) for token in event.tokens]
        done = event.outcome == "done"
        chances["writes looked for"] += 1
        chances["unsure writes"] += event.outcome in ("unknown", "unanswered")
        chances["denied writes"] += event.outcome in ("denied", "cutOff")
        chances["commits before a promotion"] += done and event.end_us < last_move_us
        if max(found) > 1:
            wrong.append(f"twice from one try: {event.tokens}")
        if done and min(found) < 1:
            wrong.append(f"acknowledged and lost: {event.tokens} at {event.end_us}")
        if event.outcome in ("denied", "unreached", "cutOff") and max(found) > 0:
            wrong.append(f"denied ({event.kind}) and kept: {event.tokens}")
        if min(found) != max(found):
            wrong.append(f"kept by half: {event.tokens}")
    return wrong, chances


def fresh(*, history: list[Event]) -> tuple[list[str], dict[str, int], Counter[str]]:
    """No read misses what its kind promises. Also the greatest age of anything missed, by kind."""
    wrong: list[str] = []
    chances: Counter[str] = Counter()
    worst = {"primary": 0, "live": 0, "fresh": 0}
    bounds = {"primary": 0, "live": LIVE_US, "fresh": FRESH_US}
    by_key: dict[str, list[Event]] = {}
    for event in writes(history=history):
        if event.outcome == "done":
            by_key.setdefault(event.key, []).append(event)
    for read in history:
        if read.verb not in bounds or read.outcome != "done":
            continue
        seen = set(read.rows)
        before = [write for write in by_key.get(read.key, ()) if write.end_us < read.start_us]
        chances[f"{read.verb} reads after a commit"] += bool(before)
        chances["fresh reads after an own commit"] += read.verb == "fresh" and any(
            write.session == read.session for write in before
        )
        for write in before:
            if seen.issuperset(write.tokens):
                continue
            age_us = read.start_us - write.end_us
            own = read.verb == "fresh" and write.session == read.session
            worst[read.verb] = max(worst[read.verb], age_us)
            if own or age_us > bounds[read.verb]:
                why = "its own session's" if own else f"{age_us} us old"
                wrong.append(f"{read.verb} read of {read.caller} at {read.start_us} missed {write.tokens}: {why}")
    return wrong, worst, chances


def values(*, history: list[Event]) -> Found:
    """A session sees its own values as it last set them, and nobody else's."""
    shows = [event for event in history if event.verb == "show" and event.outcome == "done"]
    wrong = [f"{event.caller} was shown {event.rows} for {event.key}" for event in shows if event.rows != [event.key]]
    # why: a prepared text that is lost is denied as unknown, though its preparation was answered done
    wrong += [f"{event.caller} lost what it had prepared" for event in history if event.kind == "unknownPrepared"]
    return wrong, Counter({"values shown": len(shows)})


def statements(*, ran: Counter[Sent], sent: Counter[Sent]) -> Found:
    """No backend runs what no client sent: text, params and values as one, and no oftener than it was sent."""
    wrong: list[str] = []
    for each, count in ran.items():
        times = sent.get(each, 0)
        if not times:
            wrong.append(f"nobody sent: {each}")
        elif count > times * (1 if each.kind == "write" else READ_ROUNDS):
            wrong.append(f"ran {count} times, sent {times} times: {each}")
    return wrong, Counter({"statements compared": sum(ran.values())})


def late(*, history: list[Event], slack_us: int = 500_000) -> Found:
    """Every answer came within the job's time left."""
    reported = [event for event in history if event.outcome not in ("unanswered", "unreached", "cutOff")]
    wrong = [
        f"{event.verb} of {event.caller} took {event.waited_us} us"
        for event in reported
        if event.waited_us > event.time_left_us + slack_us
    ]
    return wrong, Counter({"answers timed": len(reported)})


def denials(*, history: list[Event], slack_us: int = 0) -> Found:
    """A denial comes as soon as it is known, and says when to come back wherever the table promises it."""
    wrong: list[str] = []
    chances: Counter[str] = Counter()
    for event in history:
        if not event.kind:
            continue
        promised = ERROR_RESPONSES[ErrorCode(event.kind)].retry_after_us
        chances["denials timed"] += event.kind in KNOWN_AT_ONCE or event.kind in KNOWN_IN_TIME
        if promised:
            chances["denials with when to come back"] += 1
            # why: the body says it exactly and the header in whole seconds, never less than the body
            said = event.retry_after_us is not None and event.retry_after_s.isdecimal()
            if not said or int(event.retry_after_s) * 1_000_000 < (event.retry_after_us or 0):
                wrong.append(f"{event.kind} to {event.caller} without when to come back")
        bounds = [AT_ONCE_US] * (event.kind in KNOWN_AT_ONCE) + [GIVEN_UP_US] * (event.kind in KNOWN_IN_TIME)
        if bounds and event.waited_us > bounds[0] + slack_us:
            wrong.append(f"{event.kind} to {event.caller} came only after {event.waited_us} us")
    return wrong, chances


def gap_us(*, history: Iterable[Event], from_us: int, until_us: int, verbs: tuple[str, ...]) -> int:
    """The longest time without a job of these verbs done."""
    ends = sorted(e.end_us for e in history if e.outcome == "done" and e.verb in verbs)
    marks = [from_us, *(end for end in ends if from_us <= end <= until_us), until_us]
    return max(later - earlier for earlier, later in zip(marks, marks[1:], strict=False))


SERVICES = ("open", "append", "transaction", "primary", "live", "fresh")


def service(
    *, history: list[Event], databases: Iterable[str], from_us: int, until_us: int
) -> tuple[dict[str, int], Counter[str]]:
    """By database and kind of job, the longest time without one that was done."""
    gaps: dict[str, int] = {}
    chances: Counter[str] = Counter()
    for database in databases:
        mine = [event for event in history if event.database == database]
        for verb in SERVICES:
            gaps[f"{database} {verb}"] = gap_us(history=mine, from_us=from_us, until_us=until_us, verbs=(verb,))
            chances["services that had to come back"] += 1
    return gaps, chances
