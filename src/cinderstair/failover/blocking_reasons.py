"""Why a required failover is not complete, by service or database."""

from ..runtime.context import Context


class BlockingReasons:
    """Owns the reasons shown in the status. A reason is logged only when it changes."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.reasons: dict[str, str] = {}

    def report(self, *, name: str, reason: str) -> None:
        """Records the current reason for a service or database; an empty one clears it."""
        if self.reasons.get(name) == reason:
            return
        self.reasons[name] = reason
        if reason:
            self.ctx.log.warning("failover of %s is not complete: %s", name, reason)

    def clear(self) -> None:
        """Removes all reasons; called once another daemon holds the lease and reports them."""
        self.reasons.clear()
