"""Steps for the configuration language and for the validation of configuration documents."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import then, use_step_matcher, when

from cinderstair.config.check import check_configuration
from cinderstair.config.compiler import compile_program, compile_selector
from cinderstair.config.formatter import format_program

EXAMPLE = Path(__file__).parents[2] / "examples" / "configuration.json"

MACHINES = ({"hall": "old", "rack": "a"}, {"hall": "new", "rack": "b"}, {"rack": "c", "tier": "gold"})


def valid_document() -> dict[str, Any]:
    return {
        "version": 1,
        "databases": {
            database: {
                "backends": [
                    {
                        "name": f"{database}-{suffix}",
                        "address": f"10.0.0.{number + offset}:1",
                        "site": "kingston",
                        "cap": 60,
                        "labels": {"hall": "old" if suffix == "a" else "new"},
                    }
                    for offset, suffix in enumerate("abc")
                ]
            }
            for database, number in (("league", 1), ("ledger", 11))
        },
        "language": ["route live on league to replica where hall = new", "policy liveAge on * is 900ms"],
        "windows": [
            {
                "name": "friday",
                "starts": "2026-12-04T22:00:00+07:00",
                "ends": "2026-12-05T02:00:00+07:00",
                "empties": "hall = old",
            }
        ],
    }


def with_change(*, document: dict[str, Any], change: str) -> dict[str, Any]:
    """Sets one value of a document; a change reads `path/to/key=JSON`, and an index past the end appends."""
    path, _, value = change.partition("=")
    *steps, last = path.split("/")
    node: Any = document
    for step in steps:
        node = node[int(step)] if isinstance(node, list) else node[step]
    if isinstance(node, list) and int(last) == len(node):
        node.append(json.loads(value))
    elif isinstance(node, list):
        node[int(last)] = json.loads(value)
    else:
        node[last] = json.loads(value) if value[:1] in '"{[0123456789tfn' else value
    return document


use_step_matcher("re")


@when(r"the selector (?P<text>.*) is compiled")
def when_selector_compiled(context: Any, text: str) -> None:
    context.result = compile_selector(text=text)


@then(
    r'it matches (?P<matched>[0-9 ]*)\s*of the machines "hall=old rack=a", "hall=new rack=b" and "rack=c tier=gold"'
)
def then_matches(context: Any, matched: str) -> None:
    assert context.result.is_ok(), context.result
    found = [str(n) for n, labels in enumerate(MACHINES, start=1) if context.result.ok.matches(labels=labels)]
    assert " ".join(found) == matched.strip(), found


@then(r"its canonical form compiles to the same form and the same matches")
def then_canonical_form_stable(context: Any) -> None:
    first = context.result.ok
    second = compile_selector(text=first.text).ok
    assert first.text == second.text, (first.text, second.text)
    assert [first.matches(labels=m) for m in MACHINES] == [second.matches(labels=m) for m in MACHINES]


@when(r"the program (?P<text>.*) is compiled")
def when_program_compiled(context: Any, text: str) -> None:
    context.result = compile_program(text=text)


@then(r'compilation fails at line (?P<line>\d+), column (?P<column>\d+) with "(?P<message>.*)"')
def then_compilation_fails(context: Any, line: str, column: str, message: str) -> None:
    assert context.result.is_error(), context.result
    error = context.result.error
    assert (error.details["line"], error.details["column"]) == (int(line), int(column)), error
    assert message in error.reason, error.reason


@when(r"the valid document is checked")
def when_valid_document_checked(context: Any) -> None:
    context.result = check_configuration(raw=json.dumps(valid_document()).encode())


@when(r"the valid document is checked with (?P<change>.+)")
def when_changed_document_checked(context: Any, change: str) -> None:
    document = with_change(document=valid_document(), change=change)
    context.result = check_configuration(raw=json.dumps(document).encode())


@when(r"the bytes (?P<text>.+) are checked")
def when_bytes_checked(context: Any, text: str) -> None:
    context.result = check_configuration(raw=text.encode("latin-1").decode("unicode_escape").encode("latin-1"))


@then(r"it is accepted with 2 databases, 6 backends and 1 window")
def then_accepted(context: Any) -> None:
    assert context.result.is_ok(), context.result
    configuration = context.result.ok
    assert (len(configuration.databases), len(configuration.backends), len(configuration.windows)) == (2, 6, 1)
    assert not configuration.warnings, configuration.warnings


@then(r'it is rejected with "(?P<message>.*)"')
def then_rejected(context: Any, message: str) -> None:
    assert context.result.is_error(), context.result.ok
    errors = context.result.error.details["errors"]
    assert any(message in line for line in errors), errors


@then(r'it is accepted with the warnings "(?P<one>.*)" and "(?P<other>.*)"')
def then_warned(context: Any, one: str, other: str) -> None:
    assert context.result.is_ok(), context.result
    for message in (one, other):
        assert any(message in warning for warning in context.result.ok.warnings), context.result.ok.warnings


@then(r'formatting "(?P<text>.*)" gives "(?P<form>.*)"')
def then_formatted(context: Any, text: str, form: str) -> None:
    result = format_program(text=text)
    assert result.is_ok() and result.ok == form, result


def run_format(*, path: Path) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "cinderstair", "format", str(path)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)


@then(r"the format command prints an equivalent example document, and formatting that again changes nothing")
def then_format_command(context: Any) -> None:
    first = run_format(path=EXAMPLE)
    before, after = (
        check_configuration(raw=EXAMPLE.read_bytes()).ok,
        check_configuration(raw=first.stdout.encode()).ok,
    )
    assert [r.where.text for r in before.program.routes] == [r.where.text for r in after.program.routes]
    assert before.program.policies == after.program.policies and before.backends == after.backends
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(first.stdout)
        file.flush()
        assert run_format(path=Path(file.name)).stdout == first.stdout


@then(r"the format command rejects a document with an invalid program, naming the error's location")
def then_format_rejects(context: Any) -> None:
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(json.dumps({**valid_document(), "language": "route live on * to"}))
        file.flush()
        result = run_format(path=Path(file.name))
    assert result.returncode == 1 and "/language: line 1, column 19" in result.stderr, result


use_step_matcher("parse")
