"""Commands that act on a running system through an HTTP proxy, and the one that shows a proxy's counters."""

from cleo.helpers import argument, option

from .exit_code import ExitCode
from .http_command import PROXY_ADDRESS, HttpCommand


class CountersCommand(HttpCommand):
    """Prints one counter per line."""

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
    """Makes an HTTP proxy drain: it accepts no new sessions."""

    name = "drain"
    description = "Make an HTTP proxy drain: it accepts no new sessions"

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        return self.change(method="POST", path="/drain")


class OverrideCommand(HttpCommand):
    """Makes a backend primary without checking that it has every acknowledged commit."""

    name = "override"
    description = "Assign a database's primary manually; acknowledged commits may be lost"
    arguments = [argument("database", "the database"), argument("backend", "the backend that becomes primary")]
    options = [
        PROXY_ADDRESS,
        option("i-accept-loss", None, "required: confirms that acknowledged commits may be lost"),
    ]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        value = {
            "database": self.argument("database"),
            "backend": self.argument("backend"),
            "iAcceptLoss": bool(self.option("i-accept-loss")),
        }
        return self.change(method="POST", path="/v1/override", value=value)


class ReplaceReplicaCommand(HttpCommand):
    """Replaces one voter of the register by another register replica."""

    name = "replace-replica"
    aliases = ["replace-vault"]
    description = "Replace a register replica that is permanently lost"
    arguments = [
        argument("leaves", "the register replica that is lost"),
        argument("enters", "the register replica that takes its place"),
    ]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        value = {"leaves": self.argument("leaves"), "enters": self.argument("enters")}
        return self.change(method="POST", path="/v1/vaults", value=value)
