"""The command that answers what-if questions.

It is the only command that imports the simulator: `--rehearse` runs the scenario with the daemons' own code in
virtual time, so its result does not depend on a separate model of them. No daemon imports the simulator.
"""

import json

from cleo.helpers import argument, option

from ..maintenance.scenario import read_scenario
from ..maintenance.whatif import what_if
from ..simulation.dry_run import run_dry
from .document_command import DocumentCommand
from .exit_code import ExitCode


class SimulateCommand(DocumentCommand):
    """Prints how the windows of a scenario would proceed.

    Exit codes: 0 every window finishes, 1 a window does not finish, 2 unreadable input.
    """

    name = "simulate"
    description = "Predict whether the maintenance windows of a scenario finish; needs no running system"
    arguments = [
        argument("configuration", "the configuration document (JSON)"),
        argument("scenario", "the scenario (JSON)"),
    ]
    options = [option("rehearse", "r", "also run the scenario with the daemons' code in the simulator")]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        read = self.read_configuration(path=self.argument("configuration"))
        raw = self.read_file(path=self.argument("scenario"))
        # Exit code 1 means that a window does not finish, so an invalid document has another one.
        if read.is_error() or raw.is_error():
            return ExitCode.USAGE
        scenario = read_scenario(raw=raw.ok, configuration=read.ok)
        if scenario.is_error():
            message = f"{self.argument('scenario')}: {scenario.error.reason}"
            return self.fail(message=message, code=ExitCode.USAGE)
        answer = what_if(configuration=read.ok, scenario=scenario.ok)
        if self.option("rehearse"):
            answer["rehearsal"] = run_dry(configuration=read.ok, scenario=scenario.ok)
        print(json.dumps(answer, indent=1))
        finished = all(window["finishes"] for window in answer["windows"].values())
        return ExitCode.DONE if finished else ExitCode.FAILED
