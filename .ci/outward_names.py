"""Lists the names that leave a process: `python .ci/outward_names.py` prints them, one `kind package name` a line.

They are collected from the syntax trees of the sources and from deploy/system.toml. A name is what other programs,
stored data, operators' files or dashboards may hold, so that renaming it would break them:

- ``counter``: names of counters and gauges; ``{}`` stands for a part that is filled in.
- ``enum``: values of enumerations, as ``member=value`` where the member's own name is written out, and as the bare
  value for texts.
- ``flag``, ``command``: options, arguments and names of commands.
- ``field``: fields of the schemas of settings, documents and heartbeats.
- ``path``, ``env``, ``layout``: HTTP paths, environment variables, formats of ``struct``.
- ``text``: all other texts without a space in the product: keys and values of JSON, words on the wire, headers, file
  names, register keys, names of leases.
- ``deploy``: keys and values of the deploy file.
- ``trial``: words that the simulator of the platform exchanges with the adapter, so that both hold them.
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
PLAIN = re.compile(r"[!-~]+")
# a group of a regular expression is named for this process alone
GROUP_NAME = re.compile(r"\(\?P<\w+>")
LAYOUT = re.compile(r"[<>!=][0-9a-zA-Z?]+")
PROSE_CALLS = re.compile(r"(\blog|logger)\.(debug|info|warning|error|exception|critical)$|(Exception|Error)$|^print$")
# calls whose texts name a task or a type of this process alone
INNER_CALLS = re.compile(r"\b(spawn|every|NewType|TypeVar|cast|namedtuple)$")
# enumerations of which only the numbers leave the process
NUMBERS_ONLY = {"Consistency", "EntryKind", "ExitCode", "ForwardStep", "State", "Status", "Verb"}
NAMED_KINDS = {"add": "counter", "gauge": "counter", "option": "flag", "argument": "flag", "add_argument": "flag"}


def literal(node: ast.AST) -> str | None:
    """The text of a constant or of an f-string, with ``{}`` for each part that is filled in."""
    if isinstance(node, ast.Constant):
        if isinstance(node.value, bytes):
            return node.value.decode("latin-1")
        return node.value if isinstance(node.value, str) else None
    if isinstance(node, ast.JoinedStr):
        return "".join(literal(part) or "{}" for part in node.values)
    return None


def docstrings(tree: ast.AST) -> set[int]:
    """The identities of the nodes that are docstrings, or texts that stand alone."""
    return {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}


def inner(tree: ast.AST) -> set[int]:
    """The identities of the nodes that name something of this process alone: tasks, types, slots."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and INNER_CALLS.search(ast.unparse(node.func)):
            own = [*node.args, *(keyword.value for keyword in node.keywords if keyword.arg == "name")]
            found |= {id(each) for each in own}
        if isinstance(node, ast.Assign) and ast.unparse(node.targets[0]) in ("__slots__", "__all__"):
            found |= {id(each) for each in ast.walk(node)}
    return found


def prose(tree: ast.AST) -> set[int]:
    """The identities of the nodes below calls that log, print or raise."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and PROSE_CALLS.search(ast.unparse(node.func)):
            if ast.unparse(node.func).endswith("CinderstairError"):
                continue
            found |= {id(each) for each in ast.walk(node)}
    return found


def annotations(tree: ast.AST) -> set[int]:
    """The identities of the nodes below annotations."""
    found = set()
    for node in ast.walk(tree):
        for name in ("annotation", "returns"):
            below = getattr(node, name, None)
            if below is not None:
                found |= {id(each) for each in ast.walk(below)}
        if isinstance(node, ast.ClassDef):
            found |= {id(each) for base in node.bases for each in ast.walk(base)}
    return found


def enum_values(node: ast.ClassDef) -> Iterator[tuple[str, str]]:
    """The members of an enumeration, with their values."""
    if not any(ast.unparse(base).split(".")[-1] in ("Enum", "IntEnum", "StrEnum", "IntFlag") for base in node.bases):
        return
    for each in node.body:
        if isinstance(each, ast.Assign) and isinstance(each.targets[0], ast.Name):
            value = literal(each.value)
            if value is not None and PLAIN.fullmatch(value):
                yield "enum", value
            elif value is None and node.name not in NUMBERS_ONLY:
                yield "enum", f"{each.targets[0].id}={ast.unparse(each.value)}"


def schema_fields(node: ast.ClassDef) -> Iterator[tuple[str, str]]:
    """The keys that a marshmallow schema reads."""
    for each in node.body:
        target = each.targets[0] if isinstance(each, ast.Assign) else getattr(each, "target", None)
        value = getattr(each, "value", None)
        if not isinstance(target, ast.Name) or not isinstance(value, ast.Call):
            continue
        if not ast.unparse(value.func).startswith("fields."):
            continue
        keys = [literal(keyword.value) for keyword in value.keywords if keyword.arg == "data_key"]
        yield "field", keys[0] if keys and keys[0] else target.id


def called_names(node: ast.Call) -> Iterator[tuple[str, str]]:
    """Names of counters, flags and arguments that a call gives."""
    name = ast.unparse(node.func).split(".")[-1]
    kind = NAMED_KINDS.get(name)
    if kind is None:
        return
    given = [*node.args[:2], *(keyword.value for keyword in node.keywords if keyword.arg == "name")]
    for each in given:
        value = literal(each)
        if value and PLAIN.fullmatch(value):
            yield kind, value


def kind_of(value: str) -> str | None:
    """The kind of a text without a space, or None if it can't be a name."""
    if not PLAIN.fullmatch(value) or not re.search(r"[A-Za-z]", value):
        return None
    if value.startswith("CINDERSTAIR_"):
        return "env"
    if LAYOUT.fullmatch(value):
        return "layout"
    return "path" if re.match(r"/[\w{]", value) else "text"


def names_of(*, tree: ast.Module) -> Iterator[tuple[str, str]]:
    """The kind and name of all that stands in one module."""
    left_out = docstrings(tree) | prose(tree) | annotations(tree) | inner(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.JoinedStr):
            left_out |= {id(part) for part in node.values}
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            yield from enum_values(node)
            yield from schema_fields(node)
        if isinstance(node, ast.Call):
            yield from called_names(node)
        if isinstance(node, ast.Constant | ast.JoinedStr) and id(node) not in left_out:
            value = GROUP_NAME.sub("(", literal(node) or "")
            kind = kind_of(value)
            if kind:
                yield kind, value


def deploy_names(*, value: Any) -> Iterator[str]:
    """All keys and values of the deploy file."""
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
    """The package that a file belongs to, or None for a tool that no other process meets."""
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
    """The text of a source file."""
    return path.read_text(encoding="utf-8")


def collect(*, read: Callable[[Path], str] = read_source) -> set[str]:
    """Every name, as a line ``kind package name``. `read` gives a file's text; a test replaces it."""
    found: set[str] = set()
    texts: set[tuple[str, str]] = set()
    simulated: set[str] = set()
    for path in (path for folder in SOURCES for path in folder.rglob("*.py")):
        package = package_of(path)
        if package is None:
            continue
        names = set(names_of(tree=ast.parse(read(path))))
        if package == "platformsim":
            simulated |= {name for _, name in names}
        else:
            found |= {f"{kind} {package} {name}" for kind, name in names if kind != "text"}
            texts |= {(package, name) for kind, name in names if kind == "text"}
    for path in SOURCES[0].rglob("*.lark"):
        for name in re.findall(r'"([!-~]+?)"', read(path)):
            texts.add((str(package_of(path)), name))
    named = {tuple(line.split(" ", 2)[1:]) for line in found}
    found |= {f"text {package} {name}" for package, name in texts if (package, name) not in named}
    spoken = {line.split(" ", 2)[2] for line in found if line.split(" ", 2)[1] == "adapter"}
    found |= {f"trial platformsim {name}" for name in simulated & spoken}
    deploy = tomllib.loads(read(ROOT / "deploy" / "system.toml"))
    found |= {f"deploy deploy {name}" for name in deploy_names(value=deploy)}
    return found


def lost(*, listed: set[str], found: set[str]) -> list[str]:
    """The listed names that the sources no longer hold."""
    return sorted(listed - found)


def main() -> int:
    """Prints the names that the sources hold."""
    print(*sorted(collect()), sep="\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
