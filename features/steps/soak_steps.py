"""Steps that run the soak's command, and read its report."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import then, when

from cinderstair.simulation.soak.loopback_network import NETWORKS, LoopbackNetwork

ROOT = Path(__file__).resolve().parents[2]
SOAK_WAIT_S = 300


def run_soak(*, context: Any, options: list[str]) -> None:
    """Runs the command; keeps its exit status, output and report."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "cinderstair.simulation", "soak", *options, "--report", str(report)]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=SOAK_WAIT_S, check=False)
        context.status, context.output = done.returncode, done.stdout + done.stderr
        context.report = json.loads(report.read_text()) if report.exists() else None


@when("a soak runs with seed {seed:d} for {seconds:d} seconds")
def when_soak(context: Any, seed: int, seconds: int) -> None:
    run_soak(context=context, options=["--seed", str(seed), "--seconds", str(seconds)])


@when("trial {trial} runs with real processes and seed {seed:d}")
def when_trial(context: Any, trial: str, seed: int) -> None:
    run_soak(context=context, options=["--trial", trial, "--seed", str(seed)])


@then("it injects faults, checks {rules} and {last}, and reports no broken rule")
def then_soaked(context: Any, rules: str, last: str) -> None:
    then_nothing_broken(context=context)
    assert len(context.report["faults"]) > 5, context.report["faults"]
    unchecked = [rule for rule in (*rules.split(", "), last) if not context.report["checks"].get(rule)]
    assert not unchecked, (unchecked, context.output)


@then("it reports no broken rule")
def then_nothing_broken(context: Any) -> None:
    assert context.report is not None, context.output
    assert context.status == 0 and not context.report["breaches"], context.output


@when("runs hold a loopback network each until there is none left")
def when_networks_held(context: Any) -> None:
    context.networks = []
    # another run on this machine may hold some
    while len(context.networks) < NETWORKS:
        try:
            network = LoopbackNetwork()
        except OSError:
            break
        context.networks.append(network)
        context.add_cleanup(network.close)


@then('all have different addresses, and a further run fails with "{reason}"')
def then_networks_differ(context: Any, reason: str) -> None:
    assert len(context.networks) > 1
    assert len({network.byte for network in context.networks}) == len(context.networks)
    try:
        LoopbackNetwork()
    except OSError as error:
        assert str(error) == reason, error
    else:
        raise AssertionError("a further network was found")
