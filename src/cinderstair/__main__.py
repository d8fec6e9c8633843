"""One program; the role is a subcommand."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from . import VERSION
from .cli.check_commands import CheckCommand, FormatCommand
from .cli.controller_commands import ControllerCommand, ShardsCommand
from .cli.daemon_commands import HttpProxyCommand, RegisterReplicaCommand
from .cli.exit_code import ExitCode
from .cli.operator_commands import (
    CountersCommand,
    DrainCommand,
    FetchCommand,
    OverrideCommand,
    ReplaceReplicaCommand,
    StatusCommand,
    SubmitCommand,
)
from .cli.shard_commands import ShardsAbandonCommand, ShardsBeginCommand, ShardsPlanCommand, ShardsWatchCommand
from .cli.simulate_command import SimulateCommand


def main() -> None:
    app = Application("cinderstair", VERSION)
    for verb in (
        HttpProxyCommand,
        RegisterReplicaCommand,
        SubmitCommand,
        FetchCommand,
        StatusCommand,
        CountersCommand,
        DrainCommand,
        OverrideCommand,
        ReplaceReplicaCommand,
        CheckCommand,
        FormatCommand,
        SimulateCommand,
        ShardsCommand,
        ShardsPlanCommand,
        ShardsBeginCommand,
        ShardsWatchCommand,
        ShardsAbandonCommand,
        ControllerCommand,
    ):
        app.add(verb())
    app.auto_exits(False)
    app.catch_exceptions(False)
    # why: asked for help alone, cleo explains its list verb; an operator wants the list itself
    if sys.argv[1:] in (["--help"], ["-h"]):
        sys.argv[1:] = ["list"]
    try:
        code = app.run()
    except CleoError as error:
        print(f"{error}\nSee 'cinderstair --help', or 'cinderstair VERB --help'.", file=sys.stderr)
        code = ExitCode.USAGE
    except KeyboardInterrupt:
        code = ExitCode.INTERRUPTED
    sys.exit(code)


if __name__ == "__main__":
    main()
