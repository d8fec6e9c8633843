"""The command that shows the system's state as HTTP proxies see it."""

import json

from cleo.helpers import option

from .exit_code import ExitCode
from .http_command import PROXY_ADDRESS, HttpCommand
from .status_report import status_text, with_other_proxies


class StatusCommand(HttpCommand):
    """Requests the status of one HTTP proxy, and of every other one that it lists as alive."""

    name = "status"
    description = "Show the system's state as an HTTP proxy sees it"
    options = [PROXY_ADDRESS, option("json", None, "print the status as JSON")]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        response = self.request(method="GET", path="/status")
        if response.is_error():
            return response.error
        value = with_other_proxies(value=response.ok.json())
        print(json.dumps(value, indent=1) if self.option("json") else status_text(value=value))
        return ExitCode.DONE
