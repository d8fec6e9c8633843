"""Steps that check the imports between packages against a table of allowed ones."""

import ast
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from behave import then

SOURCES = Path(__file__).resolve().parents[2] / "src" / "cinderstair"
# The allowed imports of each package. Entries may be removed but not added.
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


def imported_modules(*, path: Path) -> Iterator[str]:
    """Yields the full names of the modules that a file imports from."""
    package = ("cinderstair", *path.relative_to(SOURCES).parts[:-1])
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.level:
            base = package[: len(package) - node.level + 1]
            yield ".".join([*base, node.module or ""]).strip(".")
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ""


def package_imports() -> dict[str, set[str]]:
    """Returns the packages that each package imports from."""
    found: dict[str, set[str]] = {}
    for path in SOURCES.rglob("*.py"):
        package = path.relative_to(SOURCES).parts[0]
        for name in imported_modules(path=path):
            parts = name.split(".")
            if parts[0] == "cinderstair" and len(parts) > 1 and path.parent != SOURCES and parts[1] != package:
                found.setdefault(package, set()).add(parts[1])
    return found


@then("every import between packages is allowed")
def then_allowed(context: Any) -> None:
    new = {name: targets - ALLOWED.get(name, set()) for name, targets in package_imports().items()}
    assert not any(new.values()), {name: targets for name, targets in new.items() if targets}


@then("every allowed import is in use")
def then_in_use(context: Any) -> None:
    found = package_imports()
    unused = {name: targets - found.get(name, set()) for name, targets in ALLOWED.items()}
    assert not any(unused.values()), {name: targets for name, targets in unused.items() if targets}


@then("no module of the product outside the simulator imports the adapter")
def then_adapter_not_imported(context: Any) -> None:
    # The simulator runs the adapter's roles, which it imports by their path in the repository.
    paths = [path for path in SOURCES.rglob("*.py") if path.relative_to(SOURCES).parts[0] != "simulation"]
    wrong = [path.name for path in paths for name in imported_modules(path=path) if name.split(".")[0] == "adapter"]
    assert not wrong, wrong
