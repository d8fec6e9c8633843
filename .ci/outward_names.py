"""Prints the external names of the product, one `kind package name` per line: `python .ci/outward_names.py`.

An external name may occur in other programs, stored data, operators' files or dashboards, so renaming it breaks them.
The names are collected from the syntax trees of the sources and from deploy/system.toml, in these kinds:

- ``counter``: names of counters and gauges; ``{}`` stands for a formatted value.
- ``enum``: values of enumerations; the bare value of a text, else ``member=value``, as the member's name may be
  written out.
- ``flag``, ``command``: options, arguments and names of commands.
- ``field``: fields of the schemas of settings, documents and heartbeats.
- ``path``, ``env``, ``layout``: HTTP paths, environment variables, formats of ``struct``.
- ``text``: all other string literals without a space: JSON keys and values, words of the wire protocols, headers,
  file names, register keys, lease names.
- ``deploy``: keys and values of the deploy file.
- ``trial``: names that both the adapter and the simulator of the platform contain.
"""

import ast
import re
import sys
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
NAMES = ROOT / "features" / "compatibility" / "data" / "outward_names.txt"
SOURCES = (ROOT / "src" / "cinderstair", ROOT / "platform" / "adapter")
SIMULATOR = "src/cinderstair/simulation/platformsim/"
SPACE_FREE = re.compile(r"[!-~]+")
# names of groups in regular expressions are internal
GROUP_NAME = re.compile(r"\(\?P<\w+>")
LAYOUT = re.compile(r"[<>!=][0-9a-zA-Z?]+")
PROSE_CALLS = re.compile(r"(\blog|logger)\.(debug|info|warning|error|exception|critical)$|(Exception|Error)$|^print$")
# calls whose text arguments name a task or a type, which is internal
INTERNAL_CALLS = re.compile(r"\b(spawn|every|NewType|TypeVar|cast|namedtuple)$")
# enumerations of which only the numbers are external
NUMBERS_ONLY = {"Consistency", "EntryKind", "ExitCode", "ForwardStep", "State", "Status", "Verb"}
NAMED_KINDS = {"add": "counter", "gauge": "counter", "option": "flag", "argument": "flag", "add_argument": "flag"}


def literal(node: ast.AST) -> str | None:
    """Returns the text of a constant or an f-string, with ``{}`` for each formatted value."""
    if isinstance(node, ast.Constant):
        if isinstance(node.value, bytes):
            return node.value.decode("latin-1")
        return node.value if isinstance(node.value, str) else None
    if isinstance(node, ast.JoinedStr):
        return "".join(literal(part) or "{}" for part in node.values)
    return None


def docstring_nodes(tree: ast.AST) -> set[int]:
    """Returns the ids of the nodes that are docstrings or other expression statements."""
    return {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}


def internal_name_nodes(tree: ast.AST) -> set[int]:
    """Returns the ids of the nodes that name internal items: tasks, types, slots."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and INTERNAL_CALLS.search(ast.unparse(node.func)):
            own = [*node.args, *(keyword.value for keyword in node.keywords if keyword.arg == "name")]
            found |= {id(each) for each in own}
        if isinstance(node, ast.Assign) and ast.unparse(node.targets[0]) in ("__slots__", "__all__"):
            found |= {id(each) for each in ast.walk(node)}
    return found


def prose_nodes(tree: ast.AST) -> set[int]:
    """Returns the ids of the nodes in calls that log, print or create an exception.

    CinderstairError is left out, as its fields are sent to other processes.
    """
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and PROSE_CALLS.search(ast.unparse(node.func)):
            if ast.unparse(node.func).endswith("CinderstairError"):
                continue
            found |= {id(each) for each in ast.walk(node)}
    return found


def annotation_nodes(tree: ast.AST) -> set[int]:
    """Returns the ids of the nodes in annotations and base classes."""
    found = set()
    for node in ast.walk(tree):
        for name in ("annotation", "returns"):
            subtree = getattr(node, name, None)
            if subtree is not None:
                found |= {id(each) for each in ast.walk(subtree)}
        if isinstance(node, ast.ClassDef):
            found |= {id(each) for base in node.bases for each in ast.walk(base)}
    return found


def enum_values(node: ast.ClassDef) -> Iterator[tuple[str, str]]:
    """Yields the names that an enumeration's members make external."""
    if not any(ast.unparse(base).split(".")[-1] in ("Enum", "IntEnum", "StrEnum", "IntFlag") for base in node.bases):
        return
    for each in node.body:
        if isinstance(each, ast.Assign) and isinstance(each.targets[0], ast.Name):
            value = literal(each.value)
            if value is not None and SPACE_FREE.fullmatch(value):
                yield "enum", value
            elif value is None and node.name not in NUMBERS_ONLY:
                yield "enum", f"{each.targets[0].id}={ast.unparse(each.value)}"


def schema_fields(node: ast.ClassDef) -> Iterator[tuple[str, str]]:
    """Yields the keys that a marshmallow schema reads."""
    for each in node.body:
        target = each.targets[0] if isinstance(each, ast.Assign) else getattr(each, "target", None)
        value = getattr(each, "value", None)
        if not isinstance(target, ast.Name) or not isinstance(value, ast.Call):
            continue
        if not ast.unparse(value.func).startswith("fields."):
            continue
        keys = [literal(keyword.value) for keyword in value.keywords if keyword.arg == "data_key"]
        yield "field", keys[0] if keys and keys[0] else target.id


def call_names(node: ast.Call) -> Iterator[tuple[str, str]]:
    """Yields the names of counters, flags and arguments among a call's arguments."""
    name = ast.unparse(node.func).split(".")[-1]
    kind = NAMED_KINDS.get(name)
    if kind is None:
        return
    given = [*node.args[:2], *(keyword.value for keyword in node.keywords if keyword.arg == "name")]
    for each in given:
        value = literal(each)
        if value and SPACE_FREE.fullmatch(value):
            yield kind, value


def text_kind(value: str) -> str | None:
    """Returns the kind of a text, or None if it has a space or no letter and so can't be a name."""
    if not SPACE_FREE.fullmatch(value) or not re.search(r"[A-Za-z]", value):
        return None
    if value.startswith("CINDERSTAIR_"):
        return "env"
    if LAYOUT.fullmatch(value):
        return "layout"
    return "path" if re.match(r"/[\w{]", value) else "text"


def module_names(*, tree: ast.Module) -> Iterator[tuple[str, str]]:
    """Yields the kind and name of each external name in a module."""
    excluded = docstring_nodes(tree) | prose_nodes(tree) | annotation_nodes(tree) | internal_name_nodes(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.JoinedStr):
            excluded |= {id(part) for part in node.values}
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            yield from enum_values(node)
            yield from schema_fields(node)
        if isinstance(node, ast.Call):
            yield from call_names(node)
        if isinstance(node, ast.Constant | ast.JoinedStr) and id(node) not in excluded:
            value = GROUP_NAME.sub("(", literal(node) or "")
            kind = text_kind(value)
            if kind:
                yield kind, value


def deploy_names(*, value: Any) -> Iterator[str]:
    """Yields all keys and values of the deploy file."""
    if isinstance(value, dict):
        for key, each in value.items():
            yield key
            yield from deploy_names(value=each)
    elif isinstance(value, list):
        for each in value:
            yield from deploy_names(value=each)
    else:
        yield str(value)


def package_of(path: Path) -> str | None:
    """Returns the package of a file, or None for a simulation file without external names."""
    name = path.relative_to(ROOT).as_posix()
    if name.startswith("deploy/"):
        return "deploy"
    if name.startswith("platform/"):
        return "adapter"
    if "/simulation/" in name:
        return "platformsim" if name.startswith(SIMULATOR) else None
    parts = path.relative_to(SOURCES[0]).parts
    return parts[0] if len(parts) > 1 else "cinderstair"


def read_source(path: Path) -> str:
    """Returns the text of a source file."""
    return path.read_text(encoding="utf-8")


def collect(*, read: Callable[[Path], str] = read_source) -> set[str]:
    """Collects all external names as ``kind package name``; `read` returns a file's text and is replaced in tests."""
    found: set[str] = set()
    texts: set[tuple[str, str]] = set()
    simulator_names: set[str] = set()
    for path in (path for folder in SOURCES for path in folder.rglob("*.py")):
        package = package_of(path)
        if package is None:
            continue
        names = set(module_names(tree=ast.parse(read(path))))
        if package == "platformsim":
            simulator_names |= {name for _, name in names}
        else:
            found |= {f"{kind} {package} {name}" for kind, name in names if kind != "text"}
            texts |= {(package, name) for kind, name in names if kind == "text"}
    for path in SOURCES[0].rglob("*.lark"):
        for name in re.findall(r'"([!-~]+?)"', read(path)):
            texts.add((str(package_of(path)), name))
    classified = {tuple(line.split(" ", 2)[1:]) for line in found}
    found |= {f"text {package} {name}" for package, name in texts if (package, name) not in classified}
    adapter_names = {line.split(" ", 2)[2] for line in found if line.split(" ", 2)[1] == "adapter"}
    found |= {f"trial platformsim {name}" for name in simulator_names & adapter_names}
    deploy = tomllib.loads(read(ROOT / "deploy" / "system.toml"))
    found |= {f"deploy deploy {name}" for name in deploy_names(value=deploy)}
    return found


def missing_names(*, listed: set[str], found: set[str]) -> list[str]:
    """Returns the listed names that are missing from the sources."""
    return sorted(listed - found)


def main() -> int:
    """Prints the names found in the sources."""
    print(*sorted(collect()), sep="\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
