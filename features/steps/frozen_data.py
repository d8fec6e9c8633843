"""Recorded data that today's code must still reproduce."""

import json
from pathlib import Path
from typing import Any

DATA = Path(__file__).resolve().parents[1] / "compatibility" / "data"


def renamed(*, value: Any, names: dict[str, str], messages: dict[str, str]) -> Any:
    """Recorded data under today's names.

    `names` are whole texts (commands, counters); `messages` are parts of texts that are written for people. Nothing
    that a program reads may stand in either.
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
    """The recorded JSON of that name below the data folder, with what `renamed.json` lists under its new name."""
    changes = json.loads((DATA / "renamed.json").read_text())
    recorded = json.loads((DATA / f"{name}.json").read_text())
    return renamed(value=recorded, names=changes["names"], messages=changes["messages"])


def differences(*, recorded: dict[str, Any], found: dict[str, Any]) -> list[str]:
    """One line for each key whose value was recorded differently, or stands on one side alone."""
    keys = sorted(recorded.keys() | found.keys())
    return [
        f"{key}: recorded {recorded.get(key)!r}, found {found.get(key)!r}"
        for key in keys
        if key not in recorded or key not in found or recorded[key] != found[key]
    ]


def check_same(*, recorded: dict[str, Any], found: dict[str, Any]) -> None:
    """Fails with every difference; an empty record proves nothing and fails as well."""
    assert recorded, "nothing was recorded"
    wrong = differences(recorded=recorded, found=found)
    assert not wrong, "\n".join(wrong)


def check_same_list(*, recorded: list[Any], found: list[Any]) -> None:
    """As check_same, by place in the list."""
    check_same(
        recorded={f"{number:03}": value for number, value in enumerate(recorded)},
        found={f"{number:03}": value for number, value in enumerate(found)},
    )
