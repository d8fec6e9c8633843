"""The exit codes of the program."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The exit codes, which scripts may rely on (docs/install.md, Exit codes)."""

    DONE = 0
    #: rejected or failed; for `simulate`: a maintenance window does not finish
    FAILED = 1
    #: invalid usage, invalid settings or unreadable input
    USAGE = 2
    #: the change may or may not have taken effect; check before repeating it
    UNKNOWN = 3
    #: 128 plus the number of SIGINT, as shells report it
    INTERRUPTED = 130
