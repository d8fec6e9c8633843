"""Hands over all sessions while the HTTP proxy shuts down or a maintenance window drains it."""

from ..membership.member import Standing
from ..membership.membership import Membership
from ..runtime.context import Context
from .filters.ready_filter import ReadyFilter
from .handover import Handover
from .sessions import Sessions
from .view import View


class SessionDrain:
    """Decides whether a window drains this proxy, and runs one handover at a time.

    `held_back` is the reason why an open window can't drain it; empty without one.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        view: View,
        membership: Membership,
        sessions: Sessions,
        ready: ReadyFilter,
        handover: Handover,
    ) -> None:
        self.ctx = ctx
        self.view = view
        self.membership = membership
        self.sessions = sessions
        self.ready = ready
        self.handover = handover
        self.held_back = ""
        self.handing_over = False

    def follow_windows(self) -> None:
        """Drains while an open window selects this proxy and another HTTP proxy remains to serve."""
        reason = self.view.leaving.reason(name=self.ctx.name)
        staying = self._another_proxy_stays()
        # a window must not leave the clients without a proxy: without another one this proxy serves (again)
        wanted = reason if staying else ""
        self.held_back = (
            f"{reason} holds back: no other HTTP proxy remains to serve clients" if reason and not staying else ""
        )
        if wanted != self.ready.drained_by:
            self.ctx.log.info("draining for %s" if wanted else "no open window drains this proxy%s", wanted)
            self.ready.drained_by = wanted
        # also after the platform's drain request, since it may stop this process once no sessions are left
        if self.ready.leaving and self.sessions.open and not self.handing_over:
            self.handing_over = True
            self.ctx.spawn(work=self._hand_over(), name="handover")

    def _another_proxy_stays(self) -> bool:
        return any(
            name != self.ctx.name
            and name not in self.view.leaving.http_proxies
            and self.membership.standing(name=name) == Standing.alive
            for _, name in self.view.proxy_ids.names
        )

    async def _hand_over(self) -> None:
        try:
            await self.handover.hand_over_all()
        finally:
            self.handing_over = False
