"""The base class of commands that send a message to a controller."""

import asyncio

from cleo.helpers import option
from expression import Error, Ok, Result

from ..runtime.errors import CinderstairError
from ..runtime.settings_validation import address_error
from .base_command import BaseCommand
from .exit_code import ExitCode
from .record_client import read_response, send_request

CONTROLLER_ADDRESS = option(
    "at", "a", "message address (setting records) of any controller", flag=False, default="127.0.0.1:7101"
)
UNREADABLE_RESPONSE = "malformed response: is --at a controller's records address?"


def error_text(*, error: CinderstairError) -> str:
    """Returns an error as one line for operators."""
    return f"{error.code.value}: {error.reason}"


class RecordCommand(BaseCommand):
    """Sends one request to a controller and prints the response.

    Exit codes: 0 done, 1 rejected or failed, 2 invalid usage, 3 outcome unknown.
    """

    options = [CONTROLLER_ADDRESS]

    def controller_address(self) -> Result[str, ExitCode]:
        """Returns the value of `--at`; if it is not an address, prints that and returns the exit code."""
        address = self.option("at")
        problem = address_error(value=address)
        if problem:
            return Error(self.fail(message=f"--at: {problem}", code=ExitCode.USAGE))
        return Ok(address)

    def request_controller(self, *, body: bytes, changes: bool) -> ExitCode:
        """Sends a request and prints the response.

        :param body: the encoded request
        :param changes: whether the request changes state, so that without a response its outcome is unknown
        """
        address = self.controller_address()
        if address.is_error():
            return address.error
        result = asyncio.run(send_request(address=address.ok, body=body))
        if result.is_error():
            code = ExitCode.UNKNOWN if changes else ExitCode.FAILED
            return self.fail(message=error_text(error=result.error), code=code)
        try:
            response = read_response(data=result.ok)
        except ValueError:
            return self.fail(message=UNREADABLE_RESPONSE, code=ExitCode.FAILED)
        if response.error_code:
            return self.fail(message=response.message, code=ExitCode.FAILED)
        print(response.text)
        return ExitCode.DONE
