"""Loads recorded data, which the code must still reproduce, and compares it with what was found."""

import json
from pathlib import Path
from typing import Any

DATA = Path(__file__).resolve().parents[1] / "compatibility" / "data"


def renamed(*, value: Any, names: dict[str, str], messages: dict[str, str]) -> Any:
    """Returns recorded data with renamed texts replaced.

    `names` maps whole texts (commands, counters); `messages` maps parts of messages for people. Neither may contain a
    text that another program reads. A list that was sorted is sorted again.
    """
    if isinstance(value, dict):
        return {
            names.get(key, key): renamed(value=each, names=names, messages=messages) for key, each in value.items()
        }
    if isinstance(value, list):
        entries = [renamed(value=each, names=names, messages=messages) for each in value]
        sorted_before = all(isinstance(each, str) for each in value) and value == sorted(value)
        return sorted(entries) if sorted_before else entries
    if not isinstance(value, str):
        return value
    if value in names:
        return names[value]
    for old, new in messages.items():
        value = value.replace(old, new)
    return value


def load(*, name: str) -> Any:
    """Loads `data/<name>.json` and applies the renames that `data/renamed.json` lists."""
    changes = json.loads((DATA / "renamed.json").read_text())
    recorded = json.loads((DATA / f"{name}.json").read_text())
    return renamed(value=recorded, names=changes["names"], messages=changes["messages"])


def differences(*, recorded: dict[str, Any], found: dict[str, Any]) -> list[str]:
    """Returns a line for each key whose values differ or that only one side has."""
    keys = sorted(recorded.keys() | found.keys())
    return [
        f"{key}: recorded {recorded.get(key)!r}, found {found.get(key)!r}"
        for key in keys
        if key not in recorded or key not in found or recorded[key] != found[key]
    ]


def check_same(*, recorded: dict[str, Any], found: dict[str, Any]) -> None:
    """Fails with all differences; also fails on an empty record, which would check nothing."""
    assert recorded, "nothing was recorded"
    wrong = differences(recorded=recorded, found=found)
    assert not wrong, "\n".join(wrong)


def check_same_list(*, recorded: list[Any], found: list[Any]) -> None:
    """Compares two lists index by index, as check_same does."""
    check_same(
        recorded={f"{number:03}": value for number, value in enumerate(recorded)},
        found={f"{number:03}": value for number, value in enumerate(found)},
    )
