"""Commands that submit a configuration and read it back."""

import sys

from cleo.helpers import argument

from .exit_code import ExitCode
from .http_command import HttpCommand

CONFIGURATION_PATH = "/v1/configuration"
OK_STATUS = 200


class SubmitCommand(HttpCommand):
    """Submits a configuration; a proxy validates all of it before it is accepted."""

    name = "submit"
    description = "Submit a complete configuration, which replaces the current one"
    arguments = [argument("file", "the configuration document (JSON)")]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        raw = self.read_file(path=self.argument("file"))
        if raw.is_error():
            return raw.error
        return self.change(method="PUT", path=CONFIGURATION_PATH, body=raw.ok)


class FetchCommand(HttpCommand):
    """Prints the accepted document byte for byte."""

    name = "fetch"
    description = "Print the latest accepted configuration, byte for byte"

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        response = self.request(method="GET", path=CONFIGURATION_PATH)
        if response.is_error():
            return response.error
        if response.ok.status != OK_STATUS:
            return self.report(response=response.ok)
        sys.stdout.buffer.write(response.ok.body)
        sys.stdout.buffer.flush()
        return ExitCode.DONE
