"""Steps that compare the external names in the sources with the recorded list, `data/outward_names.txt`."""

import importlib.util
from pathlib import Path
from types import ModuleType
from typing import Any

from behave import then, when

ROOT = Path(__file__).resolve().parents[2]


def load_collector() -> ModuleType:
    """Imports `.ci/outward_names.py`."""
    spec = importlib.util.spec_from_file_location("ci_outward_names", ROOT / ".ci" / "outward_names.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def listed_names(*, collector: ModuleType) -> set[str]:
    """Returns the recorded names; fails on an empty list, which would check nothing."""
    names = set(collector.NAMES.read_text(encoding="utf-8").splitlines())
    assert names, "no name is listed"
    return names


@then("the sources contain every listed external name")
def then_all_found(context: Any) -> None:
    collector = load_collector()
    missing = collector.missing_names(listed=listed_names(collector=collector), found=collector.collect())
    assert not missing, "\n".join(missing)


@when('"{before}" is renamed to "{after}" in the package "{package}"')
def when_renamed(context: Any, before: str, after: str, package: str) -> None:
    collector = load_collector()
    replaced = []

    def read(path: Path) -> str:
        text: str = collector.read_source(path)
        if collector.package_of(path) != package or f'"{before}"' not in text:
            return text
        replaced.append(path)
        return text.replace(f'"{before}"', f'"{after}"')

    context.missing = collector.missing_names(
        listed=listed_names(collector=collector), found=collector.collect(read=read)
    )
    assert replaced, f"{before} is not in {package}"


@then("exactly the external names {names} are missing")
def then_missing(context: Any, names: str) -> None:
    assert context.missing == names.split(", "), context.missing
