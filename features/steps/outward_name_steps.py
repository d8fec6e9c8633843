"""Steps for the list of names that leave a process."""

import importlib.util
from pathlib import Path
from types import ModuleType
from typing import Any

from behave import then, when

ROOT = Path(__file__).resolve().parents[2]


def load_collector() -> ModuleType:
    """The module `.ci/outward_names.py`."""
    spec = importlib.util.spec_from_file_location("ci_outward_names", ROOT / ".ci" / "outward_names.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def listed_names(*, collector: ModuleType) -> set[str]:
    """The recorded names; an empty record proves nothing and fails."""
    names = set(collector.NAMES.read_text(encoding="utf-8").splitlines())
    assert names, "no name is listed"
    return names


@then("the sources hold every listed outward name")
def then_held(context: Any) -> None:
    collector = load_collector()
    lost = collector.lost(listed=listed_names(collector=collector), found=collector.collect())
    assert not lost, "\n".join(lost)


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

    context.lost = collector.lost(listed=listed_names(collector=collector), found=collector.collect(read=read))
    assert replaced, f"{before} is not in {package}"


@then("only the outward names {names} are lost")
def then_lost(context: Any, names: str) -> None:
    assert context.lost == names.split(", "), context.lost
