"""The base class of all commands."""

import sys
from pathlib import Path

from cleo.commands.command import Command
from cleo.io.io import IO
from expression import Error, Ok, Result

from .exit_code import ExitCode


class BaseCommand(Command):
    """A command that reports failures on standard error and warns if it is called by a deprecated name.

    Every alias of a command is the name that it had in the previous version.
    """

    def initialize(self, io: IO) -> None:
        """Warns of a deprecated name; runs before the arguments are validated, so invalid usage is warned of too."""
        called_name = io.input.first_argument
        if called_name in self.aliases:
            print(
                f"warning: command '{called_name}' is deprecated and will be removed in the next version; "
                f"use '{self.name}'",
                file=sys.stderr,
            )

    def fail(self, *, message: str, code: ExitCode) -> ExitCode:
        """Prints a message on standard error.

        :param code: the command's exit code
        :returns: the same code, for the caller to return
        """
        print(message, file=sys.stderr)
        return code

    def read_file(self, *, path: str) -> Result[bytes, ExitCode]:
        """Returns the content of a file; if it can't be read, prints the reason and returns the exit code."""
        try:
            return Ok(Path(path).read_bytes())
        except OSError as error:
            return Error(self.fail(message=f"{path}: {error.strerror}", code=ExitCode.USAGE))
