"""Steps for settings files and flags."""

import logging
import os
import tempfile
import tomllib
from typing import Any

from behave import given, then, when

from cinderstair.runtime.settings import read_settings

VALID_LINES = (
    'name = "stall-1"',
    'site = "kingston"',
    'records = "127.0.0.1:7101"',
    'http = "127.0.0.1:7201"',
    'seeds = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]',
    "founding_replicas = 5",
    'log_level = "info"',
)


def read_lines(*, lines: list[str], flags: dict[str, Any]) -> Any:
    handle, path = tempfile.mkstemp(suffix=".toml")
    try:
        os.write(handle, "\n".join(lines).encode())
        return read_settings(path=path, flags=flags)
    finally:
        os.close(handle)
        os.unlink(path)


class WarningList(logging.Handler):
    """Collects the warnings that are logged while it is installed as a context manager."""

    def __init__(self) -> None:
        super().__init__(level=logging.WARNING)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.messages.append(record.getMessage())

    def __enter__(self) -> "WarningList":
        logging.getLogger().addHandler(self)
        return self

    def __exit__(self, *_: Any) -> None:
        logging.getLogger().removeHandler(self)


@given("a valid settings file")
def given_valid(context: Any) -> None:
    context.lines = list(VALID_LINES)
    assert read_lines(lines=context.lines, flags={}).is_ok()


@given("a valid settings file without {key}")
def given_without(context: Any, key: str) -> None:
    context.lines = [line for line in VALID_LINES if not line.startswith(f"{key} ")]
    assert read_lines(lines=context.lines, flags={}).is_ok()


@given("a valid settings file with {one} and {other}")
def given_with(context: Any, one: str, other: str) -> None:
    context.lines = [*VALID_LINES, one, other]
    assert read_lines(lines=context.lines, flags={}).is_ok()


@when("it is read with {change}")
def when_read(context: Any, change: str) -> None:
    key = change.split()[0]
    matches = [number for number, line in enumerate(context.lines) if line.startswith(f"{key} ")]
    if matches:
        context.lines[matches[0]] = change
    else:
        context.lines.append(change)
    with WarningList() as warnings:
        context.result = read_lines(lines=context.lines, flags={})
    context.warnings = warnings.messages


@then("the setting {key} is {value}")
def then_setting(context: Any, key: str, value: str) -> None:
    expected = tomllib.loads(f"value = {value}")["value"]
    assert getattr(context.result.ok, key) == expected, context.result


@then('a single warning contains "{words}"')
def then_warned(context: Any, words: str) -> None:
    assert len(context.warnings) == 1, context.warnings
    assert words in context.warnings[0] and "\n" not in context.warnings[0], context.warnings


@then("no warning is logged")
def then_not_warned(context: Any) -> None:
    assert context.warnings == [], context.warnings


@then("the flag {flag} as {value:d} gives {key} {expected:d}")
def then_flag_number(context: Any, flag: str, value: int, key: str, expected: int) -> None:
    result = read_lines(lines=context.lines, flags={flag: value})
    assert result.is_ok() and getattr(result.ok, key) == expected, result


@then('the settings are rejected with "{words}"')
def then_rejected(context: Any, words: str) -> None:
    assert context.result.is_error() and words in context.result.error.reason, context.result
    assert "\n" not in context.result.error.reason


@then('the flag {key} as "{value}" gives the site "{site}"')
def then_flag(context: Any, key: str, value: str, site: str) -> None:
    assert read_lines(lines=context.lines, flags={key: value}).ok.site == site


@then('the flag {key} as "{value}" is rejected with "{words}"')
def then_flag_rejected(context: Any, key: str, value: str, words: str) -> None:
    result = read_lines(lines=context.lines, flags={key: value})
    assert result.is_error() and words in result.error.reason, result


@then('reading "{path}" is rejected with "{words}"')
def then_missing(context: Any, path: str, words: str) -> None:
    result = read_settings(path=path, flags={})
    assert result.is_error() and words in result.error.reason, result
