"""Steps for settings."""

import os
import tempfile
from typing import Any

from behave import given, then, when

from cinderstair.runtime.settings import read_settings

GOOD = (
    'name = "stall-1"',
    'site = "kingston"',
    'records = "127.0.0.1:7101"',
    'http = "127.0.0.1:7201"',
    'seeds = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]',
    "foundingVaults = 5",
    'logLevel = "info"',
)


def read_lines(*, lines: list[str], flags: dict[str, Any]) -> Any:
    handle, path = tempfile.mkstemp(suffix=".toml")
    try:
        os.write(handle, "\n".join(lines).encode())
        return read_settings(path=path, flags=flags)
    finally:
        os.close(handle)
        os.unlink(path)


@given("a good settings file")
def given_good(context: Any) -> None:
    context.lines = list(GOOD)
    assert read_lines(lines=context.lines, flags={}).is_ok()


@when("it is read with {change}")
def when_read(context: Any, change: str) -> None:
    key = change.split()[0]
    places = [number for number, line in enumerate(context.lines) if line.startswith(f"{key} ")]
    if places:
        context.lines[places[0]] = change
    else:
        context.lines.append(change)
    context.result = read_lines(lines=context.lines, flags={})


@then('it is refused with "{words}"')
def then_refused(context: Any, words: str) -> None:
    assert context.result.is_error() and words in context.result.error.reason, context.result
    assert "\n" not in context.result.error.reason


@then('the flag {key} as "{value}" gives the site "{site}"')
def then_flag(context: Any, key: str, value: str, site: str) -> None:
    assert read_lines(lines=context.lines, flags={key: value}).ok.site == site


@then('the flag {key} as "{value}" is refused with "{words}"')
def then_flag_refused(context: Any, key: str, value: str, words: str) -> None:
    result = read_lines(lines=context.lines, flags={key: value})
    assert result.is_error() and words in result.error.reason, result


@then('reading "{path}" is refused with "{words}"')
def then_missing(context: Any, path: str, words: str) -> None:
    result = read_settings(path=path, flags={})
    assert result.is_error() and words in result.error.reason, result
