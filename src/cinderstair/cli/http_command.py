"""The base class of commands that send a request to an HTTP proxy."""

import json
from typing import Any

from cleo.helpers import option
from expression import Error, Ok, Result

from ..runtime.errors import ErrorCode
from ..runtime.http_response import HttpResponse
from .base_command import BaseCommand
from .exit_code import ExitCode
from .http_client import request_blocking

PROXY_ADDRESS = option("at", "a", "HTTP address of any HTTP proxy", flag=False, default="127.0.0.1:7200")


class HttpCommand(BaseCommand):
    """Sends one request to an HTTP proxy and prints the response.

    Exit codes: 0 done, 1 rejected or failed, 2 invalid usage, 3 outcome unknown.
    """

    options = [PROXY_ADDRESS]

    def request(
        self, *, method: str, path: str, value: Any = None, body: bytes = b""
    ) -> Result[HttpResponse, ExitCode]:
        """Sends a request; if no response arrives, prints the reason and returns the exit code as the error.

        :param value: sent as JSON in place of `body` unless it is None
        """
        result = request_blocking(address=self.option("at"), method=method, path=path, value=value, body=body)
        if result.is_ok():
            return Ok(result.ok)
        unknown = result.error.code == ErrorCode.NO_RESPONSE and method != "GET"
        message = f"{result.error.code.value}: {result.error.reason}"
        return Error(self.fail(message=message, code=ExitCode.UNKNOWN if unknown else ExitCode.FAILED))

    def change(self, *, method: str, path: str, value: Any = None, body: bytes = b"") -> ExitCode:
        """Sends a request that changes state, and reports its outcome; the parameters are those of `request`."""
        response = self.request(method=method, path=path, value=value, body=body)
        return response.error if response.is_error() else self.report(response=response.ok)

    def report(self, *, response: HttpResponse) -> ExitCode:
        """Prints the response of an HTTP proxy; its outcome determines the exit code."""
        value = response.json()
        if value.get("outcome") == "done":
            print(json.dumps(value))
            return ExitCode.DONE
        code = ExitCode.UNKNOWN if value.get("outcome") == "unknown" else ExitCode.FAILED
        lines = [f"{value.get('kind')}: {value.get('why')}", *(f"  {line}" for line in value.get("errors", []))]
        return self.fail(message="\n".join(lines), code=code)
