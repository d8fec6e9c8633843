"""The verb that answers what-if questions."""

import json
import sys

from cleo.helpers import argument, option

from ..maintenance.scenario import read_scenario
from ..maintenance.whatif import what_if
from ..simulation.dry_run import run_dry
from .base_command import BaseCommand
from .document_mixin import DocumentMixin
from .exit_code import ExitCode


class SimulateCommand(DocumentMixin, BaseCommand):
    """Exit codes: 0 answered and nothing holds back, 1 something does, 2 unreadable input."""

    name = "simulate"
    description = "Answer what-if questions from a configuration and a scenario; needs no running system"
    arguments = [
        argument("configuration", "the configuration document (JSON)"),
        argument("scenario", "the scenario (JSON)"),
    ]
    options = [option("rehearse", "r", "also run the real daemons through it in the simulator")]

    def handle(self) -> int:
        configuration = self.read_configuration(path=self.argument("configuration"))
        raw = self.read_file(path=self.argument("scenario"))
        # why: exit code 1 says that something holds back, so a document that can't be used has another
        if isinstance(configuration, int) or raw is None:
            return ExitCode.USAGE
        scenario = read_scenario(raw=raw, configuration=configuration)
        if scenario.is_error():
            print(f"{self.argument('scenario')}: {scenario.error.reason}", file=sys.stderr)
            return ExitCode.USAGE
        answer = what_if(configuration=configuration, scenario=scenario.ok)
        if self.option("rehearse"):
            answer["rehearsal"] = run_dry(configuration=configuration, scenario=scenario.ok)
        print(json.dumps(answer, indent=1))
        held = not all(step["finishes"] for step in answer["windows"].values())
        return ExitCode.FAILED if held else ExitCode.DONE
