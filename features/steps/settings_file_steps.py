"""Steps for reading the platform's settings file."""

import os
import tempfile
from typing import Any

from adapter.settings_file import read_machine_settings
from adapter_common import raw
from behave import given, then, when

from cinderstair.runtime.errors import ErrorCode


def settings_lines() -> list[str]:
    return [
        'node = "edge-1"',
        'zone = "yard-a"',
        'ip = "10.1.0.7"',
        "spare_ports = [6100, 6110]",
        'seeds = ["10.1.0.2:5001", "10.2.0.2:5001"]',
        "first_run = true",
        "beat_every_ms = 900",
        'data_folder = "/data"',
        "[zones]",
        'yard-a = "east"',
        'yard-b = "east"',
        'yard-c = "west"',
        "[addresses]",
        'front = "10.1.0.7:5002"',
        'ready = "10.1.0.7:5003"',
        "[survive]",
        "machines = 2",
        "[bounds]",
        "grace_s = 4.5",
        "drain_ms = 3500",
        "catch_up_s = 2.5",
        "[provider_api]",
        'address = "10.9.0.5:5009"',
    ]


def read_text(*, context: Any, text: bytes) -> Any:
    handle, path = tempfile.mkstemp(suffix=".toml")
    context.path = path
    try:
        os.write(handle, text)
        return read_machine_settings(path=path)
    finally:
        os.close(handle)
        os.unlink(path)


@given("a valid platform settings file")
def given_settings(context: Any) -> None:
    context.lines = settings_lines()


@when("line {number:d} of the file is `{line}`")
def when_line(context: Any, number: int, line: str) -> None:
    context.lines[number - 1] = "" if line == "-" else raw(text=line).decode()


@when("unknown fields are added to every table and to the top level")
def when_gains(context: Any) -> None:
    context.lines = [line + '\nnew = { a = ["b"] }' if line.startswith("[") else line for line in context.lines]
    context.lines.insert(0, "new = 1979-05-27T07:32:00Z")
    context.lines += ["[[newer]]", "x = 1"]


@then('the machine has {field} "{value}"')
def then_machine(context: Any, field: str, value: str) -> None:
    machine = read_text(context=context, text="\n".join(context.lines).encode())
    assert machine.is_ok(), machine
    assert (str(getattr(machine.ok, field)) or "(empty)") == value, getattr(machine.ok, field)


@then("the distances of the machine are {distances} to yard-a, yard-b, yard-c and yard-z")
def then_distances(context: Any, distances: str) -> None:
    machine = read_text(context=context, text="\n".join(context.lines).encode()).ok
    found = " ".join(str(machine.distance(site=f"yard-{letter}")) for letter in "abcz")
    assert found == distances, found


@then("the file is refused with an error at {key} on line {number:d}")
def then_refused_at(context: Any, key: str, number: int) -> None:
    found = read_text(context=context, text="\n".join(context.lines).encode())
    assert found.is_error() and found.error.code == ErrorCode.BAD_SETTINGS, found
    assert found.error.reason.startswith(f"{context.path}:{number}: {key}: "), found.error.reason


@then("the file is refused as invalid TOML")
def then_no_toml(context: Any) -> None:
    found = read_text(context=context, text="\n".join(context.lines).encode())
    assert found.is_error() and "not TOML" in found.error.reason, found


@then("every prefix of the file is refused, or has the required fields of the whole file")
def then_prefixes(context: Any) -> None:
    text = "\n".join(context.lines).encode()
    whole = read_text(context=context, text=text).ok
    refused = 0
    for end in range(len(text)):
        found = read_text(context=context, text=text[:end])
        if found.is_error():
            refused += 1
            continue
        for field in ("name", "site", "ip", "seeds", "records_port"):
            assert getattr(found.ok, field) == getattr(whole, field), (end, field)
    assert refused > len(text) // 3


@then("a missing file and a file of random bytes are refused")
def then_unreadable(context: Any) -> None:
    assert read_machine_settings(path="/nowhere/at/all.toml").error.code == ErrorCode.BAD_SETTINGS
    assert read_text(context=context, text=b"\xff\xfe\x00").error.code == ErrorCode.BAD_SETTINGS
