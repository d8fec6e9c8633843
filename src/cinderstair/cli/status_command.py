"""The command that shows the system's state as HTTP proxies see it."""

import json

from cleo.helpers import option

from .exit_code import ExitCode
from .http_command import PROXY_ADDRESS, HttpCommand
from .status_report import status_text, with_other_proxies


class StatusCommand(HttpCommand):
    """Asks one HTTP proxy for its status, and every other one that it knows for theirs."""

    name = "status"
    description = "Show what an HTTP proxy knows of the system"
    options = [PROXY_ADDRESS, option("json", None, "as JSON")]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        response = self.request(method="GET", path="/status")
        if response.is_error():
            return response.error
        value = with_other_proxies(value=response.ok.json())
        print(json.dumps(value, indent=1) if self.option("json") else status_text(value=value))
        return ExitCode.DONE
