"""Steps that hold the directions in which packages import one another."""

import ast
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from behave import then

SOURCES = Path(__file__).resolve().parents[2] / "src" / "cinderstair"
# may only shrink
ALLOWED: dict[str, set[str]] = {
    "cli": {"config", "consensus", "failover", "http_frontend", "maintenance", "runtime", "simulation"},
    "config": {"runtime"},
    "consensus": {"membership", "runtime"},
    "control_plane": {"config", "consensus", "failover", "membership", "runtime"},
    "failover": {"config", "consensus", "http_frontend", "maintenance", "membership", "runtime"},
    "http_frontend": {"config", "consensus", "failover", "maintenance", "membership", "runtime"},
    "maintenance": {"config", "http_frontend", "runtime"},
    "membership": {"consensus", "failover", "runtime"},
    "pooler": {"config", "consensus", "failover", "http_frontend", "membership", "runtime"},
    "simulation": {
        "cli",
        "config",
        "consensus",
        "control_plane",
        "failover",
        "http_frontend",
        "maintenance",
        "membership",
        "pooler",
        "runtime",
    },
}


def imported(*, path: Path) -> Iterator[str]:
    """The full names of the modules that a file imports from."""
    package = ("cinderstair", *path.relative_to(SOURCES).parts[:-1])
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.level:
            base = package[: len(package) - node.level + 1]
            yield ".".join([*base, node.module or ""]).strip(".")
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ""


def edges() -> dict[str, set[str]]:
    """Which packages each package imports from."""
    found: dict[str, set[str]] = {}
    for path in SOURCES.rglob("*.py"):
        package = path.relative_to(SOURCES).parts[0]
        for name in imported(path=path):
            parts = name.split(".")
            if parts[0] == "cinderstair" and len(parts) > 1 and path.parent != SOURCES and parts[1] != package:
                found.setdefault(package, set()).add(parts[1])
    return found


@then("each import from one package to another is among the allowed ones")
def then_allowed(context: Any) -> None:
    new = {name: targets - ALLOWED.get(name, set()) for name, targets in edges().items()}
    assert not any(new.values()), {name: targets for name, targets in new.items() if targets}


@then("each allowed one is still needed")
def then_needed(context: Any) -> None:
    found = edges()
    unneeded = {name: targets - found.get(name, set()) for name, targets in ALLOWED.items()}
    assert not any(unneeded.values()), {name: targets for name, targets in unneeded.items() if targets}


@then("nothing in the product imports the adapter")
def then_apart(context: Any) -> None:
    # why: the simulator plays the adapter's roles, and loads them by the repository's path
    paths = [path for path in SOURCES.rglob("*.py") if path.relative_to(SOURCES).parts[0] != "simulation"]
    wrong = [path.name for path in paths for name in imported(path=path) if name.split(".")[0] == "adapter"]
    assert not wrong, wrong
