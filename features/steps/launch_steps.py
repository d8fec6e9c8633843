"""Steps for the launcher, and for the deploy file (deploy/system.toml)."""

import json
import math
import os
import re
import subprocess
import sys
import tempfile
import tomllib
from importlib.metadata import distribution
from pathlib import Path
from typing import Any

from adapter_common import REPOSITORY
from behave import then, when

IMPORTS = """
import sys, json
sys.path[:0] = [{platform!r}, {src!r}]
import platform
from adapter.{role}_role import *
from adapter.process import run
print(json.dumps({{"platform": platform.__file__, "python": platform.python_implementation(),
                   "loaded": sorted({{name.partition(".")[0] for name in sys.modules}})}}))
"""


@when("an interpreter with the launcher's path loads the role {role}")
def when_loads(context: Any, role: str) -> None:
    code = IMPORTS.format(platform=str(REPOSITORY / "platform"), src=str(REPOSITORY / "src"), role=role)
    with tempfile.TemporaryDirectory() as folder:
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=folder, capture_output=True, text=True, timeout=60, check=False
        )
    assert done.returncode == 0, done.stderr
    context.loaded = json.loads(done.stdout)


@then("its platform module is the standard library's")
def then_standard_platform(context: Any) -> None:
    assert Path(context.loaded["platform"]).parent == Path(os.__file__).parent, context.loaded["platform"]
    assert context.loaded["python"] == "CPython"


@then('none of the modules "{names}" is loaded')
def then_not_loaded(context: Any, names: str) -> None:
    found = set(names.split(", ")) & set(context.loaded["loaded"])
    assert not found, found


@then('the launcher with the arguments "{arguments}" exits with {code:d} and prints "{words}"')
def then_launcher(context: Any, arguments: str, code: int, words: str) -> None:
    command = [sys.executable, str(REPOSITORY / "platform" / "launch.py")]
    command += [] if arguments == "nothing" else arguments.split()
    environment = {key: value for key, value in os.environ.items() if key != "CINDERSTAIR_SETTINGS"}
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False, env=environment)
    assert done.returncode == code and words in done.stderr, (done.returncode, done.stderr)


@then("the deploy file puts {count:d} controllers on zones of {machines} machines with disks")
def then_deploys(context: Any, count: int, machines: str) -> None:
    role = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())["roles"]["controller"]
    zones = [int(each) for each in machines.split(", ")]
    # the platform rounds a share up in each zone, and places at most one controller on each machine
    placed = sum(min(zone, role["count"]) if "count" in role else math.ceil(zone * role["share"]) for zone in zones)
    assert placed == count, placed
    context.placed = placed


@then("a majority of them remains after the loss of {losses:d}")
def then_majority(context: Any, losses: int) -> None:
    assert (context.placed - 1) // 2 >= losses, context.placed


# system package that provides a program, or a module that is run with `python3 -m`
PACKAGES = {"python3": "python3", "pip": "python3-pip"}
SHELL_WORDS = {"[", "{", "}", "touch", "&&", "||"}


@then("the deploy file's packages provide each program that its commands start")
def then_packages(context: Any) -> None:
    deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
    commands = re.split(r"&&|\|\||;", deploy["build"])
    commands += [role["run"] for role in deploy["roles"].values()]
    needed = set()
    for command in commands:
        words = [word for word in command.split() if word not in SHELL_WORDS]
        if not words:
            continue
        # shell builtins and programs of the base system need no package
        if words[0] in PACKAGES:
            needed.add(PACKAGES[words[0]])
        if "-m" in words:
            needed.add(PACKAGES[words[words.index("-m") + 1]])
    assert needed == set(deploy["packages"]), (needed, deploy["packages"])


@then("every library that the build installs is pure Python and needs no compiler")
def then_pure(context: Any) -> None:
    for line in (REPOSITORY / "platform" / "requirements.txt").read_text().split():
        name, _, version = line.partition("==")
        found = distribution(name)
        assert found.version == version, (name, found.version)
        wheel = found.read_text("WHEEL") or ""
        assert "Root-Is-Purelib: true" in wheel and "Tag: py3-none-any" in wheel, (name, wheel)
