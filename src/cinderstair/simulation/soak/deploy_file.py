"""Reads from the deploy file how the programs are built and started."""

import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[4]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
# The build puts the programs' libraries here, relative to the root.
LIBRARIES = ROOT / "target" / "deps"


def build() -> None:
    """Runs the build command at the root; raises CalledProcessError if it fails."""
    command = tomllib.loads(DEPLOY_FILE.read_text())["build"]
    subprocess.run(["sh", "-c", command], cwd=ROOT, check=True)


def commands() -> dict[str, list[str]]:
    """The command line of each role, by its name."""
    roles = tomllib.loads(DEPLOY_FILE.read_text())["roles"]
    return {name: str(role["run"]).split() for name, role in roles.items()}
