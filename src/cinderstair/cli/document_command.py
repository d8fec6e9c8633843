"""The base of commands that read a configuration document and need no running system."""

from expression import Error, Ok, Result

from ..config.check import check_configuration
from ..config.configuration import Configuration
from .base_command import BaseCommand
from .exit_code import ExitCode


class DocumentCommand(BaseCommand):
    """Reads and validates a configuration document."""

    def read_configuration(self, *, path: str) -> Result[Configuration, ExitCode]:
        """Returns the compiled configuration; on errors prints each with its location and returns the exit code."""
        raw = self.read_file(path=path)
        if raw.is_error():
            return Error(raw.error)
        checked = check_configuration(raw=raw.ok)
        if checked.is_ok():
            return Ok(checked.ok)
        for line in checked.error.details.get("errors", [checked.error.reason]):
            self.fail(message=f"{path}: {line}", code=ExitCode.FAILED)
        return Error(ExitCode.FAILED)
