"""The verbs of operators that speak to a running HTTP proxy."""

import json
import sys
from pathlib import Path
from typing import Any

from cleo.helpers import argument, option

from ..runtime.http_response import HttpResponse
from .base_command import BaseCommand
from .edge import ask_now
from .exit_code import ExitCode

AT = option("at", "a", "HTTP address of any HTTP proxy", flag=False, default="127.0.0.1:7200")


class OperatorCommand(BaseCommand):
    """Exit codes: 0 done, 1 denied, 2 usage, 3 outcome unknown."""

    options = [AT]

    def speak(self, *, method: str, path: str, value: Any = None, body: bytes = b"") -> HttpResponse | int:
        result = ask_now(address=self.option("at"), method=method, path=path, value=value, body=body)
        if result.is_error():
            unsure = result.error.code.value == "wireUnsure" and method != "GET"
            return self.fail(
                message=f"{result.error.code.value}: {result.error.reason}",
                code=ExitCode.UNKNOWN if unsure else ExitCode.FAILED,
            )
        return result.ok

    def verdict(self, *, response: HttpResponse) -> int:
        """Says what the HTTP proxy answered; the exit code follows its outcome."""
        value = response.json()
        if value.get("outcome") == "done":
            print(json.dumps(value))
            return ExitCode.DONE
        print(f"{value.get('kind')}: {value.get('why')}", file=sys.stderr)
        for line in value.get("errors", []):
            print(f"  {line}", file=sys.stderr)
        return ExitCode.UNKNOWN if value.get("outcome") == "unknown" else ExitCode.FAILED


class SubmitCommand(OperatorCommand):
    name = "submit"
    description = "Submit a whole configuration"
    arguments = [argument("file", "the configuration document (JSON)")]

    def handle(self) -> int:
        try:
            raw = Path(self.argument("file")).read_bytes()
        except OSError as error:
            return self.fail(message=f"{self.argument('file')}: {error.strerror}", code=ExitCode.USAGE)
        response = self.speak(method="PUT", path="/v1/configuration", body=raw)
        return response if isinstance(response, int) else self.verdict(response=response)


class FetchCommand(OperatorCommand):
    name = "fetch"
    description = "Read back the newest accepted configuration, to the byte"

    def handle(self) -> int:
        response = self.speak(method="GET", path="/v1/configuration")
        if isinstance(response, int):
            return response
        if response.status != 200:
            return self.verdict(response=response)
        sys.stdout.buffer.write(response.body)
        sys.stdout.buffer.flush()
        return ExitCode.DONE


class StatusCommand(OperatorCommand):
    name = "status"
    description = "Show what an HTTP proxy knows of the system"
    options = [AT, option("json", None, "as JSON")]

    def handle(self) -> int:
        response = self.speak(method="GET", path="/status")
        if isinstance(response, int):
            return response
        value = with_others(value=response.json())
        if self.option("json"):
            print(json.dumps(value, indent=1))
        else:
            print(status_text(value=value))
        return ExitCode.DONE


def with_others(*, value: dict[str, Any]) -> dict[str, Any]:
    """Adds what every other HTTP proxy says of itself, and what holds any duty's holder back."""
    by_daemon = {value["stall"]: daemon_part(value=value)}
    for member in value["members"]:
        if member["role"] != "stall" or member["name"] in by_daemon or member["standing"] != "alive":
            continue
        result = ask_now(address=member["http"], method="GET", path="/status")
        # why: an HTTP proxy that does not answer is itself a piece of the status
        if result.is_error():
            by_daemon[member["name"]] = {"configuration": None, "answers": False}
            continue
        other = result.ok.json()
        by_daemon[member["name"]] = daemon_part(value=other)
        value["held"] |= other["held"]
        value["duties"] += [f"{duty} (at {member['name']})" for duty in other["duties"]]
    return {**value, "byDaemon": by_daemon}


def daemon_part(*, value: dict[str, Any]) -> dict[str, Any]:
    connections = [backend["channels"] for backend in value["backends"].values()]
    return {
        "configuration": value["configuration"],
        "answers": True,
        "viewCurrent": value["viewCurrent"],
        "sessions": value["sessions"],
        # why: an HTTP proxy of the version before does not tell
        "sessionsOnOneStall": value.get("sessionsOnOneStall", value["sessions"]),
        "channelsOpened": sum(each["opened"] for each in connections),
        "channelsClosed": sum(each["closed"] for each in connections),
    }


def daemon_text(*, name: str, part: dict[str, Any]) -> str:
    if not part["answers"]:
        return f"{name}: does not answer"
    return (
        f"{name}: configuration {part['configuration']}, view {'current' if part['viewCurrent'] else 'NOT CURRENT'}, "
        f"{part['sessions']} sessions, {part['sessionsOnOneStall']} of them on one HTTP proxy only, "
        f"channels opened {part['channelsOpened']}, closed {part['channelsClosed']}"
    )


def status_text(*, value: dict[str, Any]) -> str:
    lines = [
        f"HTTP proxy {value['stall']} at {value['site']}, slot {value['slot']}, "
        f"view {'current' if value['viewCurrent'] else 'NOT CURRENT'}, "
        f"configuration {value['configuration']}, {value['sessions']} sessions",
        f"register replicas (epoch {value['roster'].get('epoch')}): {' '.join(value['roster'].get('vaults', []))}",
        "members: " + " ".join(f"{m['name']}={m['standing']}" for m in value["members"]),
        "slots: " + " ".join(f"{s['id']}={s['name']}" for s in value["slots"]),
    ]
    for database, lead in value["leads"].items():
        lines.append(
            f"{database}: term {lead['term']} {lead['state']}, primary {lead['primary']}, "
            f"in sync {' '.join(lead['inSync']) or '-'}, joining {' '.join(lead['joining']) or '-'}"
        )
    lines += [daemon_text(name=name, part=part) for name, part in value["byDaemon"].items()]
    lines += [f"HELD {database}: {why}" for database, why in value["held"].items()]
    for name, backend in value["backends"].items():
        connections = backend["channels"]
        lines.append(
            f"{name}: {backend['state']}{'' if backend['fit'] else ' UNFIT'}, channels {connections['open']} of "
            f"{connections['limit']}, opened {connections['opened']}, closed {connections['closed']}"
        )
    for name, window in value["windows"].items():
        left = "; ".join(window["left"]) or ("nothing left" if window["stage"] == "open" else "-")
        lines.append(
            f"window {name}: {window['stage']}, empties {window['empties']}, backends "
            f"{' '.join(window['backends']) or '-'}, HTTP proxies {' '.join(window['stalls']) or '-'}; "
            f"still there: {left}"
        )
    lines += [f"warning: {warning}" for warning in value["warnings"]]
    return "\n".join(lines)


class CountersCommand(OperatorCommand):
    name = "counters"
    description = "Show an HTTP proxy's counters"

    def handle(self) -> int:
        response = self.speak(method="GET", path="/counters")
        if isinstance(response, int):
            return response
        for key, number in response.json().items():
            print(f"{key} {number}")
        return ExitCode.DONE


class DrainCommand(OperatorCommand):
    name = "drain"
    description = "Make an HTTP proxy take nothing new"

    def handle(self) -> int:
        response = self.speak(method="POST", path="/drain")
        return response if isinstance(response, int) else self.verdict(response=response)


class OverrideCommand(OperatorCommand):
    name = "override"
    description = "Name a database's primary by hand; acknowledged commits may be lost"
    arguments = [argument("database", "which database"), argument("backend", "which backend is to lead")]
    options = [AT, option("i-accept-loss", None, "say so, or nothing is done")]

    def handle(self) -> int:
        value = {
            "database": self.argument("database"),
            "backend": self.argument("backend"),
            "iAcceptLoss": bool(self.option("i-accept-loss")),
        }
        response = self.speak(method="POST", path="/v1/override", value=value)
        return response if isinstance(response, int) else self.verdict(response=response)


class ReplaceReplicaCommand(OperatorCommand):
    name = "replace-replica"
    aliases = ["replace-vault"]
    description = "Let a new register replica take the place of one that is gone for good"
    arguments = [
        argument("leaves", "the register replica that is gone"),
        argument("enters", "the register replica that takes its place"),
    ]

    def handle(self) -> int:
        value = {"leaves": self.argument("leaves"), "enters": self.argument("enters")}
        response = self.speak(method="POST", path="/v1/vaults", value=value)
        return response if isinstance(response, int) else self.verdict(response=response)
