"""What every command of the program shares."""

import sys
from pathlib import Path

from cleo.commands.command import Command
from cleo.io.io import IO
from expression import Error, Ok, Result

from .exit_code import ExitCode


class BaseCommand(Command):
    """A command that reports failures on standard error and warns where it is called by a deprecated name.

    Every alias of a command is its name of the version before.
    """

    def initialize(self, io: IO) -> None:
        """Called before the arguments are validated, so the warning is given for a wrong usage as well."""
        called_name = io.input.first_argument
        if called_name in self.aliases:
            print(
                f"warning: command '{called_name}' is deprecated and will be removed in the next version; "
                f"use '{self.name}'",
                file=sys.stderr,
            )

    def fail(self, *, message: str, code: ExitCode) -> ExitCode:
        """Prints one line on standard error.

        :param code: how the command ends
        :returns: the same code, for the caller to return
        """
        print(message, file=sys.stderr)
        return code

    def read_file(self, *, path: str) -> Result[bytes, ExitCode]:
        """The bytes of a file; where it can't be read the reason is printed, and the exit code returned."""
        try:
            return Ok(Path(path).read_bytes())
        except OSError as error:
            return Error(self.fail(message=f"{path}: {error.strerror}", code=ExitCode.USAGE))
