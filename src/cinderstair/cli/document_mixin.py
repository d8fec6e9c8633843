"""Reading documents for the verbs that need no running system."""

import sys
from pathlib import Path

from ..config.check import check_configuration
from ..config.configuration import Configuration
from .exit_code import ExitCode


class DocumentMixin:
    """Gives a verb a file's bytes or a checked configuration; otherwise the words are printed already."""

    def read_file(self, *, path: str) -> bytes | None:
        try:
            return Path(path).read_bytes()
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            return None

    def read_configuration(self, *, path: str) -> Configuration | int:
        """The configuration, or the exit code."""
        raw = self.read_file(path=path)
        if raw is None:
            return ExitCode.USAGE
        checked = check_configuration(raw=raw)
        if checked.is_error():
            for line in checked.error.details.get("errors", [checked.error.reason]):
                print(f"{path}: {line}", file=sys.stderr)
            return ExitCode.FAILED
        return checked.ok
