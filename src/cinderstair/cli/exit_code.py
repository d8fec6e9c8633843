"""How the program ends."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The exit codes that scripts may rely on (docs/install.md, Exit codes)."""

    DONE = 0
    #: denied or failed; for `simulate`: something holds back
    FAILED = 1
    #: usage, settings or unreadable input
    USAGE = 2
    #: nobody knows whether the change took place; look before repeating it
    UNKNOWN = 3
    #: 128 plus the number of SIGINT, as shells report it
    INTERRUPTED = 130
