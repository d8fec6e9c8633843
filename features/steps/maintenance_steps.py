"""Steps for maintenance windows and scenario forecasts."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when

from cinderstair.config.check import check_configuration
from cinderstair.config.compiler import compile_selector
from cinderstair.config.window import Window
from cinderstair.maintenance.drain_targets import drain_targets
from cinderstair.maintenance.whatif import open_states
from cinderstair.maintenance.window_states import WindowStates, read_window_states

EXAMPLES = Path(__file__).parents[2] / "examples"


@given("a window from {starts:d} to {ends:d}")
def given_window(context: Any, starts: int, ends: int) -> None:
    context.window = Window(name="w", starts_us=starts, ends_us=ends, drained=compile_selector(text="has x").ok)
    context.states = WindowStates()


@when("its times are changed to {starts:d} to {ends:d}")
def when_times(context: Any, starts: int, ends: int) -> None:
    context.window = Window(name="w", starts_us=starts, ends_us=ends, drained=context.window.drained)


@when("it is advanced at the times {times}")
def when_advanced(context: Any, times: str) -> None:
    context.stages = []
    for time in times.split():
        advanced = context.states.advanced(windows=(context.window,), wall_us=int(time))
        # The next scheduler starts from the stored states.
        context.states = read_window_states(data=advanced.bytes())
        context.stages.append(context.states.stage(window=context.window).name)


@then("its stages are {stages}")
def then_stages(context: Any, stages: str) -> None:
    assert context.stages == stages.split(), context.stages


@given("a configuration with overlapping windows")
def given_overlapping_windows(context: Any) -> None:
    times = {"starts": "2026-12-04T22:00:00Z", "ends": "2026-12-05T22:00:00Z"}
    document = {
        "version": 1,
        "databases": {
            "db": {
                "backends": [
                    {"name": n, "address": f"10.0.0.{i}:1", "site": "k", "cap": 9, "labels": {"hall": old_or_new}}
                    for i, (n, old_or_new) in enumerate(
                        (("a", "old"), ("b", "old"), ("c", "mid"), ("d", "new")), start=1
                    )
                ]
            }
        },
        "stalls": {"s1": {"hall": "old"}, "s2": {"hall": "mid"}, "s3": {"hall": "new"}},
        "windows": [
            {"name": "one", "empties": "hall = old", **times},
            {"name": "two", "empties": "hall in (old, mid)", **times},
        ],
    }
    context.configuration = check_configuration(raw=json.dumps(document).encode()).ok


@when("the windows {names} are open")
def when_open(context: Any, names: str) -> None:
    states = open_states(configuration=context.configuration, names=tuple(names.split()))
    context.targets = drain_targets(configuration=context.configuration, states=states)


@then("the backends {backends} and the HTTP proxies {http_proxies} must be drained")
def then_drained(context: Any, backends: str, http_proxies: str) -> None:
    wanted = [set() if names == "none" else set(names.split()) for names in (backends, http_proxies)]
    assert [set(context.targets.backends), set(context.targets.http_proxies)] == wanted, context.targets


def simulate(*, scenario: Path, words: tuple[str, ...] = ()) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "cinderstair", "simulate", str(EXAMPLES / "configuration.json"), str(scenario)]
    return subprocess.run([*command, *words], capture_output=True, text=True, timeout=120, check=False)


@when("the example is simulated")
def when_example(context: Any) -> None:
    context.result = simulate(scenario=EXAMPLES / "scenario.json")
    context.answer = json.loads(context.result.stdout)


@when("the example is simulated with {scenario}")
def when_scenario(context: Any, scenario: str) -> None:
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(scenario)
        file.flush()
        context.result = simulate(scenario=Path(file.name))
    context.answer = json.loads(context.result.stdout or "{}")


@then("the league's window finishes and the ledger's is held back because \"{words}\"")
def then_held(context: Any, words: str) -> None:
    windows = context.answer["windows"]
    assert windows["league"]["finishes"] and not windows["ledger"]["finishes"], windows
    assert any(words in step for step in windows["ledger"]["steps"]), windows
    assert context.result.returncode == 1


@then("no backend's cap is exceeded, before or after")
def then_caps(context: Any) -> None:
    for when_ in ("before", "after"):
        for name, backend in context.answer[when_]["backends"].items():
            assert 0 <= backend["headroom"] <= backend["cap"], (name, backend)
            assert backend["channels"] + backend["headroom"] == backend["cap"]


@then("a second run prints the same output")
def then_same(context: Any) -> None:
    assert simulate(scenario=EXAMPLES / "scenario.json").stdout == context.result.stdout


@then("{closed:d} channels are closed and {opened:d} opened")
def then_moves(context: Any, closed: int, opened: int) -> None:
    moves = context.answer["moves"]
    assert (moves["closedInAll"], moves["openedInAll"]) == (closed, opened), moves


@then("as many channels are opened as closed")
def then_opened_as_many(context: Any) -> None:
    moves = context.answer["moves"]
    assert moves["openedInAll"] == moves["closedInAll"] > 0, moves


@when("the example is rehearsed twice")
def when_rehearsed(context: Any) -> None:
    context.results = [simulate(scenario=EXAMPLES / "scenario.json", words=("--rehearse",)) for _ in range(2)]


@then("both runs report that ledger-a or ledger-b stays in sync, no lost session, and equal figures")
def then_rehearsed(context: Any) -> None:
    first, second = (json.loads(result.stdout)["rehearsal"] for result in context.results)
    assert first == second, (first, second)
    assert first["sessionsLost"] == 0 and first["done"] > 300, first
    assert any(f"ledger-{c} stays" in text for c in "ab" for text in first["heldBack"]), first


@then('it exits with status {code:d} and prints the error "{words}"')
def then_exits(context: Any, code: int, words: str) -> None:
    assert context.result.returncode == code and words in context.result.stderr, context.result
