"""The verb that answers what-if questions."""

import json
import sys
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ..almanac.scenario import readScenario
from ..almanac.whatif import whatIf
from ..charter.check import checkCharter
from ..fairground.rehearsal import rehearse

DONE, DENIED, USAGE = 0, 1, 2


class SimulateVerb(Command):
    """Exit codes: 0 answered and nothing holds back, 1 something does, 2 unreadable input."""

    name = "simulate"
    description = "Answer what-if questions from a configuration and a scenario; needs no running system"
    arguments = [
        argument("configuration", "the configuration document (JSON)"),
        argument("scenario", "the scenario (JSON)"),
    ]
    options = [option("rehearse", "r", "also run the real daemons through it in the simulator")]

    def _read(self, *, path: str) -> bytes | None:
        try:
            return Path(path).read_bytes()
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            return None

    def handle(self) -> int:
        paths = self.argument("configuration"), self.argument("scenario")
        raws = [self._read(path=path) for path in paths]
        if raws[0] is None or raws[1] is None:
            return USAGE
        checked = checkCharter(raw=raws[0])
        if checked.is_error():
            for line in checked.error.details.get("errors", [checked.error.why]):
                print(f"{paths[0]}: {line}", file=sys.stderr)
            return USAGE
        scenario = readScenario(raw=raws[1], charter=checked.ok)
        if scenario.is_error():
            print(f"{paths[1]}: {scenario.error.why}", file=sys.stderr)
            return USAGE
        answer = whatIf(charter=checked.ok, scenario=scenario.ok)
        if self.option("rehearse"):
            answer["rehearsal"] = rehearse(charter=checked.ok, scenario=scenario.ok)
        print(json.dumps(answer, indent=1))
        held = not all(step["finishes"] for step in answer["windows"].values())
        return DENIED if held else DONE
