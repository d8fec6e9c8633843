"""Commands that act on a running system through an HTTP proxy, and the one that shows a proxy's counters."""

from cleo.helpers import argument, option

from .exit_code import ExitCode
from .http_command import PROXY_ADDRESS, HttpCommand


class CountersCommand(HttpCommand):
    """Prints one counter a line."""

    name = "counters"
    description = "Show an HTTP proxy's counters"

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        response = self.request(method="GET", path="/counters")
        if response.is_error():
            return response.error
        for name, count in response.ok.json().items():
            print(f"{name} {count}")
        return ExitCode.DONE


class DrainCommand(HttpCommand):
    """Makes a proxy refuse new sessions."""

    name = "drain"
    description = "Make an HTTP proxy take nothing new"

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        return self.change(method="POST", path="/drain")


class OverrideCommand(HttpCommand):
    """Makes a backend primary without asking whether it has every acknowledged commit."""

    name = "override"
    description = "Name a database's primary by hand; acknowledged commits may be lost"
    arguments = [argument("database", "which database"), argument("backend", "which backend is to lead")]
    options = [PROXY_ADDRESS, option("i-accept-loss", None, "say so, or nothing is done")]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        value = {
            "database": self.argument("database"),
            "backend": self.argument("backend"),
            "iAcceptLoss": bool(self.option("i-accept-loss")),
        }
        return self.change(method="POST", path="/v1/override", value=value)


class ReplaceReplicaCommand(HttpCommand):
    """Gives the vote of one register replica to another."""

    name = "replace-replica"
    aliases = ["replace-vault"]
    description = "Let a new register replica take the place of one that is gone for good"
    arguments = [
        argument("leaves", "the register replica that is gone"),
        argument("enters", "the register replica that takes its place"),
    ]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        value = {"leaves": self.argument("leaves"), "enters": self.argument("enters")}
        return self.change(method="POST", path="/v1/vaults", value=value)
