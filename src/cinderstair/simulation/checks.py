"""Checkers of the recorded history of client operations.

Each returns its violations as texts, and a counter of the cases it could check, so that a checker without any case
is noticed.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from ..runtime.error_responses import ERROR_RESPONSES
from ..runtime.errors import ErrorCode
from .event import Event
from .sent_statement import SentStatement

LIVE_STALENESS_US = 1_500_000
FRESH_STALENESS_US = 2_500_000
# An HTTP proxy retries a read on other backends at most this many times
MAX_READ_ATTEMPTS = 4
# Rejections that the HTTP proxy can decide on when the request arrives
IMMEDIATE_REJECTION_US = 100_000
IMMEDIATE_REJECTIONS = frozenset(
    ["draining", "sessionBusy", "noTransaction", "inTransaction", "routeDenied", "unknownDatabase", "unknownKind"]
)
# A silent backend is given up 6 s after its last heartbeat, and with it all requests that wait for it
BOUNDED_REJECTION_US = 7_500_000
BOUNDED_REJECTIONS = frozenset(
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
Findings = tuple[list[str], Counter[str]]


def write_events(*, history: Iterable[Event]) -> list[Event]:
    """Returns the appends and transactions of a history."""
    return [event for event in history if event.verb in WRITES]


def check_writes(*, history: list[Event], final: dict[str, Any], moves_us: Iterable[int] = ()) -> Findings:
    """Checks the final state: a write is applied at most once per attempt, always if acknowledged, never if rejected.

    Transactions are atomic.
    """
    wrong: list[str] = []
    chances: Counter[str] = Counter()
    counts: dict[str, int] = {}
    last_move_us = max(moves_us, default=0)
    for values in final.values():
        for token in values if isinstance(values, list) else ():
            counts[token] = counts.get(token, 0) + 1
    for event in write_events(history=history):
        found = [counts.get(token, 0) for token in event.tokens]
        done = event.outcome == "done"
        chances["writes checked"] += 1
        chances["writes of unknown outcome"] += event.outcome in ("unknown", "unanswered")
        chances["rejected writes"] += event.outcome in ("denied", "cutOff")
        chances["commits before a promotion"] += done and event.end_us < last_move_us
        if max(found) > 1:
            wrong.append(f"applied twice: {event.tokens} at {event.start_us} us, {found} times")
        if done and min(found) < 1:
            wrong.append(f"acknowledged and lost: {event.tokens}, acknowledged at {event.end_us} us")
        if event.outcome in ("denied", "unreached", "cutOff") and max(found) > 0:
            wrong.append(f"rejected ({event.kind or event.outcome}) but applied: {event.tokens}")
        if min(found) != max(found):
            wrong.append(f"transaction partly applied: {event.tokens}, {found} times")
    return wrong, chances


def check_reads(*, history: list[Event]) -> tuple[list[str], dict[str, int], Counter[str]]:
    """Checks that reads see all commits older than their kind's staleness bound, and those of their own session.

    Also returns the greatest age in us of a missed commit by kind of read.
    """
    wrong: list[str] = []
    chances: Counter[str] = Counter()
    worst = {"primary": 0, "live": 0, "fresh": 0}
    bounds = {"primary": 0, "live": LIVE_STALENESS_US, "fresh": FRESH_STALENESS_US}
    by_key: dict[str, list[Event]] = {}
    for event in write_events(history=history):
        if event.outcome == "done":
            by_key.setdefault(event.key, []).append(event)
    for read in history:
        if read.verb not in bounds or read.outcome != "done":
            continue
        seen = set(read.rows)
        before = [write for write in by_key.get(read.key, ()) if write.end_us < read.start_us]
        chances[f"{read.verb} reads after a commit"] += bool(before)
        chances["fresh reads after a commit of the session"] += read.verb == "fresh" and any(
            write.session == read.session for write in before
        )
        for write in before:
            if seen.issuperset(write.tokens):
                continue
            age_us = read.start_us - write.end_us
            own = read.verb == "fresh" and write.session == read.session
            worst[read.verb] = max(worst[read.verb], age_us)
            if own or age_us > bounds[read.verb]:
                why = "its own session's commit" if own else f"{age_us} us old, bound {bounds[read.verb]} us"
                wrong.append(f"{read.verb} read of {read.caller} at {read.start_us} us missed {write.tokens}: {why}")
    return wrong, worst, chances


def check_session_values(*, history: list[Event]) -> Findings:
    """Checks that a session sees the values that it last set, and keeps its prepared statements."""
    shows = [event for event in history if event.verb == "show" and event.outcome == "done"]
    wrong = [
        f"{event.caller} read session value {event.rows}, expected {event.key}"
        for event in shows
        if event.rows != [event.key]
    ]
    # Clients execute only prepared statements whose preparation succeeded, so unknownPrepared means a loss
    wrong += [
        f"{event.caller} lost its prepared statement at {event.end_us} us"
        for event in history
        if event.kind == "unknownPrepared"
    ]
    return wrong, Counter({"session values read": len(shows)})


def check_statements(*, ran: Counter[SentStatement], sent: Counter[SentStatement]) -> Findings:
    """Checks that backends ran only statements that clients sent, unchanged and no more often than sent."""
    wrong: list[str] = []
    for each, count in ran.items():
        times = sent.get(each, 0)
        if not times:
            wrong.append(f"not sent by any client: {each}")
        elif count > times * (1 if each.kind == "write" else MAX_READ_ATTEMPTS):
            wrong.append(f"ran {count} times, sent {times} times: {each}")
    return wrong, Counter({"statements compared": sum(ran.values())})


def check_deadlines(*, history: list[Event], slack_us: int = 500_000) -> Findings:
    """Checks that every response arrived within the deadline of its request."""
    answered = [event for event in history if event.outcome not in ("unanswered", "unreached", "cutOff")]
    wrong = [
        f"{event.verb} of {event.caller} took {event.waited_us} us, deadline {event.time_left_us} us"
        for event in answered
        if event.waited_us > event.time_left_us + slack_us
    ]
    return wrong, Counter({"responses timed": len(answered)})


def check_rejections(*, history: list[Event], slack_us: int = 0) -> Findings:
    """Checks that rejections are prompt, and give a retry time where ERROR_RESPONSES has one."""
    wrong: list[str] = []
    chances: Counter[str] = Counter()
    for event in history:
        if not event.kind:
            continue
        promised = ERROR_RESPONSES[ErrorCode(event.kind)].retry_after_us
        chances["rejections timed"] += event.kind in IMMEDIATE_REJECTIONS or event.kind in BOUNDED_REJECTIONS
        if promised:
            chances["rejections with a retry time"] += 1
            # The body gives microseconds, the header whole seconds rounded up
            valid = event.retry_after_us is not None and event.retry_after_s.isdecimal()
            if not valid or int(event.retry_after_s) * 1_000_000 < (event.retry_after_us or 0):
                wrong.append(
                    f"{event.kind} to {event.caller} without a valid retry time: "
                    f"{event.retry_after_us} us, header {event.retry_after_s!r}"
                )
        bounds = [IMMEDIATE_REJECTION_US] * (event.kind in IMMEDIATE_REJECTIONS) + [BOUNDED_REJECTION_US] * (
            event.kind in BOUNDED_REJECTIONS
        )
        if bounds and event.waited_us > bounds[0] + slack_us:
            wrong.append(f"{event.kind} to {event.caller} came only after {event.waited_us} us, bound {bounds[0]} us")
    return wrong, chances


def gap_us(*, history: Iterable[Event], from_us: int, until_us: int, verbs: tuple[str, ...]) -> int:
    """Returns the longest time in us without a completed operation of these verbs."""
    ends = sorted(e.end_us for e in history if e.outcome == "done" and e.verb in verbs)
    marks = [from_us, *(end for end in ends if from_us <= end <= until_us), until_us]
    return max(later - earlier for earlier, later in zip(marks, marks[1:], strict=False))


SERVICES = ("open", "append", "transaction", "primary", "live", "fresh")


def service_gaps(
    *, history: list[Event], databases: Iterable[str], from_us: int, until_us: int
) -> tuple[dict[str, int], Counter[str]]:
    """Returns by database and verb the longest time in us without a completed operation."""
    gaps: dict[str, int] = {}
    chances: Counter[str] = Counter()
    for database in databases:
        mine = [event for event in history if event.database == database]
        for verb in SERVICES:
            gaps[f"{database} {verb}"] = gap_us(history=mine, from_us=from_us, until_us=until_us, verbs=(verb,))
            chances["services that had to recover"] += 1
    return gaps, chances
