"""The verb that answers what-if questions."""

import json
import sys

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ..maintenance.scenario import read_scenario
from ..maintenance.whatif import what_if
from ..simulation.rehearsal import rehearse
from .documentmixin import DENIED, DONE, USAGE, DocumentMixin


class SimulateVerb(DocumentMixin, Command):
    """Exit codes: 0 answered and nothing holds back, 1 something does, 2 unreadable input."""

    name = "simulate"
    description = "Answer what-if questions from a configuration and a scenario; needs no running system"
    arguments = [
        argument("configuration", "the configuration document (JSON)"),
        argument("scenario", "the scenario (JSON)"),
    ]
    options = [option("rehearse", "r", "also run the real daemons through it in the simulator")]

    def handle(self) -> int:
        charter = self.read_charter(path=self.argument("configuration"))
        raw = self.read_file(path=self.argument("scenario"))
        # why: exit code 1 says that something holds back, so a document that can't be used has another
        if isinstance(charter, int) or raw is None:
            return USAGE
        scenario = read_scenario(raw=raw, charter=charter)
        if scenario.is_error():
            print(f"{self.argument('scenario')}: {scenario.error.why}", file=sys.stderr)
            return USAGE
        answer = what_if(charter=charter, scenario=scenario.ok)
        if self.option("rehearse"):
            answer["rehearsal"] = rehearse(charter=charter, scenario=scenario.ok)
        print(json.dumps(answer, indent=1))
        held = not all(step["finishes"] for step in answer["windows"].values())
        return DENIED if held else DONE
