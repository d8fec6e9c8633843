"""The command line: daemons, operators' commands and tools are subcommands of one program."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from . import VERSION
from .cli.check_commands import CheckCommand, FormatCommand
from .cli.configuration_commands import FetchCommand, SubmitCommand
from .cli.controller_command import ControllerCommand
from .cli.daemon_commands import HttpProxyCommand, RegisterReplicaCommand
from .cli.exit_code import ExitCode
from .cli.operator_commands import CountersCommand, DrainCommand, OverrideCommand, ReplaceReplicaCommand
from .cli.shard_commands import ShardsAbandonCommand, ShardsBeginCommand, ShardsCommand, ShardsPlanCommand
from .cli.shards_watch_command import ShardsWatchCommand
from .cli.simulate_command import SimulateCommand
from .cli.status_command import StatusCommand

COMMANDS = (
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
)


def main() -> None:
    """Runs the command that the arguments select, and exits with its exit code."""
    app = Application("cinderstair", VERSION)
    for command in COMMANDS:
        app.add(command())
    app.auto_exits(False)
    app.catch_exceptions(False)
    # Without a command, --help would describe cleo's list command; print the list of commands instead.
    if sys.argv[1:] in (["--help"], ["-h"]):
        sys.argv[1:] = ["list"]
    try:
        code = app.run()
    except CleoError as error:
        print(f"{error}\nSee 'cinderstair --help', or 'cinderstair COMMAND --help'.", file=sys.stderr)
        code = ExitCode.USAGE
    except KeyboardInterrupt:
        code = ExitCode.INTERRUPTED
    sys.exit(code)


if __name__ == "__main__":
    main()
