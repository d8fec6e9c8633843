"""Steps that run renamed commands under their old and new names, each in a process of its own."""

import subprocess
import sys
from typing import Any

from behave import then, when


def run_program(*, line: str) -> subprocess.CompletedProcess[str]:
    """Runs the program with a command line and returns its exit code and output."""
    command = [sys.executable, "-m", "cinderstair", *line.split()]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)


@when('the commands "{old_line}" and "{new_line}" are run')
def when_both_run(context: Any, old_line: str, new_line: str) -> None:
    context.old = run_program(line=old_line)
    context.new = run_program(line=new_line)


@then("both end with {code:d} and print the same on standard output")
def then_same_result(context: Any, code: int) -> None:
    assert (context.old.returncode, context.new.returncode) == (code, code), (context.old, context.new)
    assert context.old.stdout == context.new.stdout, (context.old.stdout, context.new.stdout)


@then('only the old name prints the additional line "{warning}"')
def then_one_warning(context: Any, warning: str) -> None:
    assert context.old.stderr == f"{warning}\n{context.new.stderr}", (context.old.stderr, context.new.stderr)


@then("the program's help lists {new} and not {old}")
def then_listed(context: Any, new: str, old: str) -> None:
    names = [line.split()[0] for line in run_program(line="--help").stdout.splitlines() if line.startswith("  ")]
    assert new in names and old not in names, names
