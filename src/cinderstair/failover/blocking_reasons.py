"""Why a failover that is needed is not done yet, by service or database."""

from ..runtime.context import Context


class BlockingReasons:
    """Operators read these in the status; the log gets a line only when a reason changes."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.reasons: dict[str, str] = {}

    def report(self, *, name: str, reason: str) -> None:
        """Records the present reason for a service or database; an empty one clears it."""
        if self.reasons.get(name) == reason:
            return
        self.reasons[name] = reason
        if reason:
            self.ctx.log.warning("the failover of %s is not settled: %s", name, reason)

    def clear(self) -> None:
        """Forgets all of them, once another daemon is the one to report."""
        self.reasons.clear()
