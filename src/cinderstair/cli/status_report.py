"""Combines the status of all HTTP proxies, as JSON and as text.

The keys are those of the HTTP interface (docs/interface.md), where an HTTP proxy is called `stall`.
"""

from typing import Any

from .http_client import request_blocking

PROXY_ROLE = "stall"


def with_other_proxies(*, value: dict[str, Any]) -> dict[str, Any]:
    """Returns one proxy's status with a summary of every proxy that it lists as alive, under `byDaemon`.

    The reasons in `held`, by database, and the leases (`duties`) of the other proxies are merged into its own.
    """
    by_daemon = {value["stall"]: _proxy_summary(value=value)}
    for member in value["members"]:
        name = member["name"]
        if member["role"] != PROXY_ROLE or name in by_daemon or member["standing"] != "alive":
            continue
        result = request_blocking(address=member["http"], method="GET", path="/status")
        # An HTTP proxy that does not respond is reported as such; it does not fail the command.
        if result.is_error():
            by_daemon[name] = {"configuration": None, "answers": False}
            continue
        other = result.ok.json()
        by_daemon[name] = _proxy_summary(value=other)
        value["held"] |= other["held"]
        value["duties"] += [f"{lease} (at {name})" for lease in other["duties"]]
    return {**value, "byDaemon": by_daemon}


def _proxy_summary(*, value: dict[str, Any]) -> dict[str, Any]:
    connections = [backend["channels"] for backend in value["backends"].values()]
    return {
        "configuration": value["configuration"],
        "answers": True,
        "viewCurrent": value["viewCurrent"],
        "sessions": value["sessions"],
        # HTTP proxies of the previous version do not report this key.
        "sessionsOnOneStall": value.get("sessionsOnOneStall", value["sessions"]),
        "channelsOpened": sum(each["opened"] for each in connections),
        "channelsClosed": sum(each["closed"] for each in connections),
    }


def status_text(*, value: dict[str, Any]) -> str:
    """Formats a status with the summaries of all proxies for people."""
    lines = [
        *_head_lines(value=value),
        *(_database_line(name=name, assignment=assignment) for name, assignment in value["leads"].items()),
        *(_proxy_line(name=name, summary=summary) for name, summary in value["byDaemon"].items()),
        *(f"HELD {database}: {reason}" for database, reason in value["held"].items()),
        *(_backend_line(name=name, backend=backend) for name, backend in value["backends"].items()),
        *(_window_line(name=name, window=window) for name, window in value["windows"].items()),
        *(f"warning: {warning}" for warning in value["warnings"]),
    ]
    return "\n".join(lines)


def _view_text(*, current: bool) -> str:
    return "current" if current else "NOT CURRENT"


def _head_lines(*, value: dict[str, Any]) -> list[str]:
    roster = value["roster"]
    return [
        f"HTTP proxy {value['stall']} at {value['site']}, slot {value['slot']}, "
        f"view {_view_text(current=value['viewCurrent'])}, "
        f"configuration {value['configuration']}, {value['sessions']} sessions",
        f"register replicas (epoch {roster.get('epoch')}): {' '.join(roster.get('vaults', []))}",
        "members: " + " ".join(f"{member['name']}={member['standing']}" for member in value["members"]),
        "slots: " + " ".join(f"{slot['id']}={slot['name']}" for slot in value["slots"]),
    ]


def _database_line(*, name: str, assignment: dict[str, Any]) -> str:
    return (
        f"{name}: term {assignment['term']} {assignment['state']}, primary {assignment['primary']}, "
        f"in sync {' '.join(assignment['inSync']) or '-'}, joining {' '.join(assignment['joining']) or '-'}"
    )


def _proxy_line(*, name: str, summary: dict[str, Any]) -> str:
    if not summary["answers"]:
        return f"{name}: does not answer"
    return (
        f"{name}: configuration {summary['configuration']}, view {_view_text(current=summary['viewCurrent'])}, "
        f"{summary['sessions']} sessions, {summary['sessionsOnOneStall']} of them on one HTTP proxy only, "
        f"channels opened {summary['channelsOpened']}, closed {summary['channelsClosed']}"
    )


def _backend_line(*, name: str, backend: dict[str, Any]) -> str:
    connections = backend["channels"]
    return (
        f"{name}: {backend['state']}{'' if backend['fit'] else ' UNFIT'}, channels {connections['open']} of "
        f"{connections['limit']}, opened {connections['opened']}, closed {connections['closed']}"
    )


def _window_line(*, name: str, window: dict[str, Any]) -> str:
    remaining = "; ".join(window["left"]) or ("nothing left" if window["stage"] == "open" else "-")
    return (
        f"window {name}: {window['stage']}, empties {window['empties']}, backends "
        f"{' '.join(window['backends']) or '-'}, HTTP proxies {' '.join(window['stalls']) or '-'}; "
        f"still there: {remaining}"
    )
