"""Empties the HTTP proxy of its sessions while it leaves, or while a maintenance window wants it empty."""

from ..membership.member import Standing
from ..membership.membership import Membership
from ..runtime.context import Context
from .filters.ready_filter import ReadyFilter
from .handover import Handover
from .sessions import Sessions
from .view import View


class SessionDrain:
    """Owns whether a window empties this proxy, and runs one handover at a time.

    `held_back` says why an open window can't empty it; empty where nothing holds it back.
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
        """Drains while an open window wants it, as long as another HTTP proxy that stays can serve."""
        reason = self.view.leaving.reason(name=self.ctx.name)
        staying = self._another_proxy_stays()
        # a window never leaves nobody to serve; without another HTTP proxy this one stays, or comes back
        wanted = reason if staying else ""
        self.held_back = f"{reason} holds back: no other HTTP proxy stays" if reason and not staying else ""
        if wanted != self.ready.drained_by:
            self.ctx.log.info("emptied by %s" if wanted else "no longer emptied%s", wanted)
            self.ready.drained_by = wanted
        # also where the platform has asked for it, since it may end this process as soon as it is empty
        if self.ready.leaving and self.sessions.open and not self.handing_over:
            self.handing_over = True
            self.ctx.spawn(work=self._hand_over(), name="hand.on")

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
