"""Steps for the parallel test runner, `.ci/tests.py`."""

import importlib.util
import json
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when

SCRIPT = Path(__file__).resolve().parents[2] / ".ci" / "tests.py"
spec = importlib.util.spec_from_file_location("ci_tests", SCRIPT)
assert spec is not None and spec.loader is not None
tests = importlib.util.module_from_spec(spec)
sys.modules["ci_tests"] = tests
spec.loader.exec_module(tests)

STEP_FOR = {
    "passes": "it passes",
    "fails": "it fails",
    "raises": "it raises",
    "ends the process": "the process ends",
    "kills the process": "the process is killed",
    "has an undefined step": "there is no such step",
    "skips itself": "it skips",
    "fails and is known red": "it fails",
    "passes and is known red": "it passes",
    "passes before a failing hook": "a later hook fails",
    "cannot be parsed": "it passes |\n      Nonsense that is no row",
}
PROJECT_STEPS = """
import os
import signal
from behave import step
@step("it passes")
def passes(context): pass
@step("it fails")
def fails(context): assert False, "made to fail"
@step("it raises")
def raises(context): raise ValueError("made to raise")
@step("the process ends")
def ends(context): os._exit(0)
@step("the process is killed")
def killed(context): os.kill(os.getpid(), signal.SIGKILL)
@step("it skips")
def skips(context): context.scenario.skip("made to skip")
@step("a later hook fails")
def hook(context): context.config.userdata["hook"] = "fails"
"""
PROJECT_ENVIRONMENT = """
def after_all(context):
    assert "hook" not in context.config.userdata, "made to fail"
"""
PROJECT_FEATURE = """Feature: one
  Scenario Outline: row <row>
    When <step>
    Examples:
      | row | step      |
      | x   | STEP |
      | y   | it passes |
  Scenario: after them
    When it passes
"""
PROJECT_OTHER_FEATURE = """Feature: two
  Scenario: first
    When it passes
  Scenario: second
    When it passes
"""


def unit_of(context: Any, target: str) -> Any:
    scenarios = tuple(s for s in context.scenarios if target in (s.path, s.location))
    assert scenarios, target
    return tests.Unit(target=target, key=target, scenarios=scenarios, serial=False)


def result_of(text: str) -> Any:
    status, seconds = text.split()
    return tests.Result(status=status, seconds=float(seconds))


def summary_of(context: Any) -> Any:
    known, errors = tests.parse_known_red(context.known_red, context.scenarios)
    summary = tests.merge_outcomes(context.outcomes, known)
    for error in errors:
        summary.fail(f"KNOWN-RED.txt: {error}")
    return summary


@given("a test run of these scenarios")
def given_scenarios(context: Any) -> None:
    features = [
        {
            "tags": [],
            "elements": [
                {"type": "background", "location": f"{row['path']}:1"},
                {
                    "type": "scenario",
                    "location": f"{row['path']}:{row['line']}",
                    "name": row["name"] + " ",
                    "tags": row.get("tags", "").split(),
                },
            ],
        }
        for row in context.table
    ]
    context.scenarios = tests.parse_scenarios(features)
    context.outcomes, context.known_red = [], ""


@given("the weights {weights}")
def given_weights(context: Any, weights: str) -> None:
    context.units = tests.split_into_units(context.scenarios, json.loads(weights))


@given('KNOWN-RED.txt has the entry "{line}"')
def given_known_red(context: Any, line: str) -> None:
    context.known_red = line


@given('KNOWN-RED.txt has the entries "{first}" and "{second}"')
def given_two_known_red(context: Any, first: str, second: str) -> None:
    context.known_red = f"{first}\n\n{second}\n"


@when("the worker of {target} exits with code {code:d} and results {listed}")
def when_worker_exits(context: Any, target: str, code: int, listed: str) -> None:
    """`listed` has a `status seconds` for each scenario of the unit; `absent` leaves a result out."""
    unit = unit_of(context=context, target=target)
    results = None
    if listed != "unreadable":
        pairs = zip(unit.scenarios, [result_of(text=text) for text in listed.split(", ")], strict=True)
        results = {scenario.location: result for scenario, result in pairs if result.status != "absent"}
    context.outcomes.append(tests.Outcome(unit=unit, code=code, results=results))


@when("it also ran {location} with status {status}")
def when_also_ran(context: Any, location: str, status: str) -> None:
    context.outcomes[-1].results[location] = result_of(text=f"{status} 1")


@then("the units are {targets}")
def then_units(context: Any, targets: str) -> None:
    assert [unit.target for unit in context.units] == targets.split(", "), context.units


@then("the serial units are {targets}")
def then_serial_units(context: Any, targets: str) -> None:
    assert sorted(unit.target for unit in context.units if unit.serial) == targets.split(", "), context.units


@then("every scenario is in exactly one unit")
def then_in_one_unit(context: Any) -> None:
    placed = [scenario.location for unit in context.units for scenario in unit.scenarios]
    assert sorted(placed) == sorted(scenario.location for scenario in context.scenarios), placed


@then("the recorded weights are {weights}")
def then_recorded(context: Any, weights: str) -> None:
    results = {location: result for outcome in context.outcomes for location, result in outcome.results.items()}
    recorded = tests.measured_weights(context.scenarios, results)
    assert recorded == json.loads(weights), recorded


@then('the test run ends with "{closing}" and exit code {code:d}')
def then_ends(context: Any, closing: str, code: int) -> None:
    summary = summary_of(context=context)
    assert (summary.last_line, summary.exit_code) == (closing, code), summary


@then("the test run reports {lines}")
def then_reports(context: Any, lines: str) -> None:
    lines_found = summary_of(context=context).lines
    assert lines_found == ([] if lines == "nothing" else lines.split("; ")), lines_found


@then('the paths of behave.ini with "{text}" are {paths}')
def then_paths(context: Any, text: str, paths: str) -> None:
    found = tests.configured_paths("[behave]\n" + text.replace("\\n", "\n") + "\nstop = false\n")
    assert found == paths.split(), found


@given("a project of two features, where a scenario {what}")
def given_project(context: Any, what: str) -> None:
    folder = Path(tempfile.mkdtemp(prefix="testrun-"))
    context.add_cleanup(shutil.rmtree, folder)
    context.project = folder
    for name in (".ci", "features", "steps", "platform"):
        (folder / name).mkdir()
    shutil.copy(SCRIPT, folder / ".ci" / "tests.py")
    (folder / "behave.ini").write_text("[behave]\npaths = features\nshow_skipped = false\n")
    (folder / "environment.py").write_text(PROJECT_ENVIRONMENT)
    (folder / "steps" / "steps.py").write_text(PROJECT_STEPS)
    (folder / "features" / "one.feature").write_text(PROJECT_FEATURE.replace("STEP", STEP_FOR[what]))
    (folder / "platform" / "two.feature").write_text(PROJECT_OTHER_FEATURE)
    if what.endswith("is known red"):
        (folder / "KNOWN-RED.txt").write_text(
            "features/one.feature:row x | behave features/one.feature:6, no seed | made up | #1\n"
        )


@when("its tests run in {jobs:d} processes")
def when_project_runs(context: Any, jobs: int) -> None:
    context.ran = subprocess.run(
        [sys.executable, str(context.project / ".ci" / "tests.py"), "--jobs", str(jobs)],
        capture_output=True,
        text=True,
        check=False,
    )


@then('the run prints "{line}", ends with the line "{closing}" and exits with {code:d}')
def then_project_ran(context: Any, line: str, closing: str, code: int) -> None:
    lines = context.ran.stdout.splitlines()
    assert any(printed.startswith(line) for printed in lines), context.ran
    assert lines[-1] == closing and context.ran.returncode == code, context.ran
