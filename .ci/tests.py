"""Runs all features with behave in several worker processes; the last line printed is 'N passed, N failed'.

A feature that weights.json lists is one work unit; any other is split by scenario, and an outline by example row.
A dry run of behave first lists the scenarios to run; a listed scenario without a result counts as failed.
"""

import argparse
import configparser
import json
import os
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
WEIGHTS = ROOT / ".ci" / "weights.json"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_FORM = "path/to/file.feature:Scenario name | command and seed | what was seen | issue"
EXTRA_PATHS = ("platform",)
MAX_JOBS = 8
# assumed duration of a unit without an entry in weights.json
DEFAULT_UNIT_S = 10.0
# features that take longer are recorded by scenario in weights.json, and so are split
MAX_WHOLE_FEATURE_S = 20.0
# units with this tag on a feature or scenario run one at a time, after all others
SERIAL_TAG = "serial"


class ListingError(Exception):
    """The scenarios to run could not be listed."""


@dataclass(frozen=True)
class Scenario:
    """A scenario, or one example row of an outline."""

    path: str
    line: int
    name: str
    serial: bool = False

    @property
    def location(self) -> str:
        return f"{self.path}:{self.line}"

    @property
    def key(self) -> str:
        return f"{self.path}:{self.name}"

    @property
    def name_without_row(self) -> str:
        """The name without the suffix ' -- @1.2 ...' that behave appends for an example row."""
        return self.name.split(" -- @")[0]


@dataclass(frozen=True)
class Unit:
    """The scenarios that one worker process runs; `target` is behave's argument, `key` the one in weights.json."""

    target: str
    key: str
    scenarios: tuple[Scenario, ...]
    serial: bool


@dataclass(frozen=True)
class Result:
    status: str
    seconds: float


@dataclass(frozen=True)
class Outcome:
    """A worker's exit code, and its results by location, or None if its results file is unreadable."""

    unit: Unit
    code: int
    results: Mapping[str, Result] | None
    output: str = ""


@dataclass
class Summary:
    """Counts of passed and failed scenarios, and the lines to print about them."""

    passed: int = 0
    failed: int = 0
    lines: list[str] = field(default_factory=list)

    def fail(self, line: str) -> None:
        self.failed += 1
        self.lines.append(line)

    @property
    def exit_code(self) -> int:
        return 1 if self.failed or not self.passed else 0

    @property
    def last_line(self) -> str:
        return f"{self.passed} passed, {self.failed} failed"


def scenario_elements(features: list[dict[str, Any]]) -> Iterable[tuple[dict[str, Any], dict[str, Any]]]:
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] == "scenario":
                yield feature, element


def parse_scenarios(features: list[dict[str, Any]]) -> list[Scenario]:
    """Reads the scenarios from behave's JSON report."""
    scenarios = []
    for feature, element in scenario_elements(features):
        path, line = element["location"].rsplit(":", 1)
        serial = SERIAL_TAG in (*feature.get("tags", []), *element.get("tags", []))
        scenarios.append(Scenario(path=path, line=int(line), name=element["name"].strip(), serial=serial))
    return scenarios


def parse_results(features: list[dict[str, Any]]) -> dict[str, Result]:
    """Reads the results from behave's JSON report, by location."""
    return {
        element["location"]: Result(
            status=element.get("status") or "unknown",
            seconds=sum(step.get("result", {}).get("duration", 0.0) for step in element.get("steps", [])),
        )
        for _, element in scenario_elements(features)
    }


def group_by_path(scenarios: Iterable[Scenario]) -> dict[str, list[Scenario]]:
    grouped: dict[str, list[Scenario]] = {}
    for scenario in scenarios:
        grouped.setdefault(scenario.path, []).append(scenario)
    return grouped


def split_into_units(scenarios: Iterable[Scenario], weights: Mapping[str, float]) -> list[Unit]:
    """Splits scenarios into work units, ordered by weight, longest first."""
    units = []
    for path, own in group_by_path(scenarios).items():
        if path in weights:
            units.append(
                Unit(target=path, key=path, scenarios=tuple(own), serial=any(scenario.serial for scenario in own))
            )
            continue
        units += [
            Unit(target=scenario.location, key=scenario.key, scenarios=(scenario,), serial=scenario.serial)
            for scenario in own
        ]
    return sorted(units, key=lambda unit: (-weights.get(unit.key, DEFAULT_UNIT_S), unit.target))


def measured_weights(scenarios: Iterable[Scenario], results: Mapping[str, Result]) -> dict[str, float]:
    """Returns the measured seconds: of a short feature as a whole, of a long one by scenario."""
    weights: dict[str, float] = {}
    for path, own in group_by_path(scenarios).items():
        seconds = {scenario.key: results[scenario.location].seconds for scenario in own}
        whole = sum(seconds.values())
        weights.update({path: whole} if whole <= MAX_WHOLE_FEATURE_S else seconds)
    return {key: round(value, 1) for key, value in sorted(weights.items())}


def parse_known_red(text: str, scenarios: Sequence[Scenario]) -> tuple[dict[str, str], list[str]]:
    """Parses KNOWN-RED.txt: its lines by the location of their scenario, and the errors in the file.

    A line is an entry of four parts: `path/to/file.feature:Scenario name | command and seed | what was seen | issue`.
    An outline's name may leave out the ' -- @1.2 ...' of its example row. An entry has to match one scenario.
    """
    known: dict[str, str] = {}
    errors = []
    for line in filter(None, map(str.strip, text.splitlines())):
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != len(KNOWN_RED_FORM.split(" | ")) or not all(parts):
            errors.append(f"not '{KNOWN_RED_FORM}': {line}")
            continue
        test = parts[0]
        named = [s for s in scenarios if test in (s.key, f"{s.path}:{s.name_without_row}")]
        if len(named) != 1:
            errors.append(f"matches {len(named) or 'no'} scenario{'s' if named else ''}: {test}")
        elif named[0].location in known:
            errors.append(f"named twice: {test}")
        else:
            known[named[0].location] = line
    return known, errors


def merge_outcomes(outcomes: Iterable[Outcome], known: Mapping[str, str]) -> Summary:
    """Counts the results of all workers; failures of known-red scenarios are printed and not counted."""
    summary = Summary()
    for outcome in sorted(
        outcomes, key=lambda outcome: (outcome.unit.scenarios[0].path, outcome.unit.scenarios[0].line)
    ):
        unit = outcome.unit
        results = outcome.results or {}
        failure_found = False
        for scenario in unit.scenarios:
            result = results.get(scenario.location)
            where = f"{scenario.location} {scenario.name}"
            if result is None:
                failure_found = True
                summary.fail(f"no result: {where} (its worker ended with {outcome.code})")
            elif result.status == "passed":
                summary.passed += 1
                if scenario.location in known:
                    summary.lines.append(f"no longer red: {known[scenario.location]}")
            elif result.status in ("skipped", "untested"):
                # a scenario that did not run to its end has checked nothing
                failure_found = True
                summary.fail(f"{result.status}: {where}")
            else:
                failure_found = True
                if scenario.location in known:
                    summary.lines.append(f"known red: {known[scenario.location]}")
                else:
                    summary.fail(f"{result.status}: {where}")
        for location in sorted(set(results) - {scenario.location for scenario in unit.scenarios}):
            summary.fail(f"ran outside its unit: {location} in {unit.target}")
        # behave exits with 1 for a failed scenario, but also for a failed hook outside any scenario
        if outcome.code not in (0, 1) or (outcome.code == 1 and not failure_found):
            summary.fail(f"worker ended with {outcome.code}: {unit.target}")
    return summary


def configured_paths(text: str) -> list[str]:
    """Returns the feature paths of a behave.ini, given as text."""
    config = configparser.ConfigParser(interpolation=None)
    config.read_string(text)
    return config.get("behave", "paths", fallback="").split()


def find_duplicates(names: Iterable[str]) -> list[str]:
    return sorted(name for name, count in Counter(names).items() if count > 1)


def behave(paths: Sequence[str], folder: Path, *options: str) -> tuple[int, list[dict[str, Any]] | None, str]:
    """Runs behave in a child process; returns its exit code, its JSON report (None if unreadable) and its output."""
    results, printed = folder / "results.json", folder / "printed.txt"
    command = [sys.executable, "-P", "-m", "behave", "--no-color", "--no-snippets", *options]
    command += ["--format", "json", "--outfile", str(results), "--format", "plain", *paths]
    # a file, as a pipe would stay open while a process that a scenario left behind keeps running
    with printed.open("wb") as out:
        code = subprocess.run(
            command,
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": "0"},
            stdin=subprocess.DEVNULL,
            stdout=out,
            stderr=subprocess.STDOUT,
            check=False,
        ).returncode
    try:
        features = json.loads(results.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        features = None
    return code, features, printed.read_text(encoding="utf-8", errors="replace")


def list_scenarios(folder: Path) -> list[Scenario]:
    """Lists all scenarios by a dry run of behave; raises ListingError if a feature file is missing from the list."""
    paths = configured_paths((ROOT / "behave.ini").read_text(encoding="utf-8"))
    paths += [path for path in EXTRA_PATHS if path not in paths and any((ROOT / path).rglob("*.feature"))]
    scenarios: list[Scenario] = []
    for number, path in enumerate(paths):
        files = {file.relative_to(ROOT).as_posix() for file in (ROOT / path).rglob("*.feature")}
        if not files:
            raise ListingError(f"no feature in {path}")
        own = folder / f"listing-{number}"
        own.mkdir()
        _, features, output = behave([path], own, "--dry-run")
        found = parse_scenarios(features or [])
        missing = sorted(files - {scenario.path for scenario in found})
        if missing:
            raise ListingError(f"{output}\nno scenario in {', '.join(missing)}")
        scenarios += found
    repeated = find_duplicates(scenario.location for scenario in scenarios)
    if repeated:
        raise ListingError(f"listed twice: {', '.join(repeated)}")
    return scenarios


def run_unit(unit: Unit, folder: Path) -> Outcome:
    folder.mkdir()
    started = time.monotonic()
    code, features, output = behave([unit.target], folder)
    results = None if features is None else parse_results(features)
    print(f"{time.monotonic() - started:6.1f} s, exit {code}: {unit.key}", flush=True)
    return Outcome(unit=unit, code=code, results=results, output=output)


def run_units(units: Sequence[Unit], folder: Path, jobs: int) -> list[Outcome]:
    outcomes = []
    folders = {unit: folder / str(number) for number, unit in enumerate(units)}
    for serial, workers in ((False, jobs), (True, 1)):
        with ThreadPoolExecutor(max_workers=workers) as pool:
            try:
                futures = [pool.submit(run_unit, unit, folders[unit]) for unit in units if unit.serial is serial]
                outcomes += [future.result() for future in as_completed(futures)]
            except BaseException:
                pool.shutdown(wait=False, cancel_futures=True)
                raise
    return outcomes


def positive_int(text: str) -> int:
    number = int(text)
    if number < 1:
        raise ValueError(text)
    return number


def run_all(jobs: int, record: bool) -> Summary:
    weights = json.loads(WEIGHTS.read_text(encoding="utf-8")) if WEIGHTS.exists() else {}
    with tempfile.TemporaryDirectory(prefix="tests-") as name:
        folder = Path(name)
        try:
            scenarios = list_scenarios(folder)
        except ListingError as error:
            return Summary(failed=1, lines=[f"not listed: {error}"])
        text = KNOWN_RED.read_text(encoding="utf-8") if KNOWN_RED.exists() else ""
        known, errors = parse_known_red(text, scenarios)
        units = split_into_units(scenarios, weights)
        print(f"{len(scenarios)} scenarios in {len(units)} units, {jobs} at a time", flush=True)
        outcomes = run_units(units, folder, jobs)
    summary = merge_outcomes(outcomes, known)
    for wrong in errors:
        summary.fail(f"{KNOWN_RED.name}: {wrong}")
    targets_by_output: dict[str, list[str]] = {}
    for outcome in outcomes:
        if outcome.code:
            targets_by_output.setdefault(outcome.output, []).append(f"{outcome.unit.target} exit {outcome.code}")
    for output, targets in targets_by_output.items():
        print(f"\n--- {', '.join(targets)}\n{output}")
    results = {location: result for outcome in outcomes for location, result in (outcome.results or {}).items()}
    if record and all(scenario.location in results for scenario in scenarios):
        WEIGHTS.write_text(json.dumps(measured_weights(scenarios, results), indent=1) + "\n", encoding="utf-8")
    return summary


def main() -> int:
    parser = argparse.ArgumentParser(description="Runs all features in several processes.")
    cores = len(os.sched_getaffinity(0))
    parser.add_argument("--jobs", type=positive_int, default=min(MAX_JOBS, cores), help="number of worker processes")
    parser.add_argument("--record", action="store_true", help="write the measured durations to weights.json")
    options = parser.parse_args()
    started = time.monotonic()
    summary = run_all(jobs=options.jobs, record=options.record)
    print(f"\n{time.monotonic() - started:.0f} s", *summary.lines, summary.last_line, sep="\n", flush=True)
    return summary.exit_code


if __name__ == "__main__":
    sys.exit(main())
