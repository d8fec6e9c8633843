"""What a stall tells operators of itself and of the system as it sees it."""

from typing import Any

from ..failover.leadduty import LeadDuty
from ..membership.crowd import Crowd
from ..membership.news import News
from ..runtime.context import Context
from .copies import Copies
from .keeper import Keeper
from .sessions import Sessions
from .view import View
from .yard import Yard


class StatusPage:
    def __init__(
        self,
        *,
        ctx: Context,
        view: View,
        crowd: Crowd,
        news: News,
        yard: Yard,
        sessions: Sessions,
        leads: LeadDuty,
        keeper: Keeper,
        copies: Copies,
    ) -> None:
        self.keeper = keeper
        self.copies = copies
        self.ctx = ctx
        self.view = view
        self.crowd = crowd
        self.news = news
        self.yard = yard
        self.sessions = sessions
        self.leads = leads

    def value(self) -> dict[str, Any]:
        charter, roster = self.view.charter, self.view.register.roster
        return {
            "stall": self.ctx.name,
            "site": self.ctx.site,
            "slot": self.view.slots.id_of(name=self.ctx.name),
            "viewCurrent": self.view.current,
            "configuration": None if charter is None else charter.version,
            "warnings": [] if charter is None else list(charter.warnings),
            "roster": {}
            if roster is None
            else {"epoch": roster.epoch, "vaults": [voter.name for voter in roster.voters]},
            "members": [
                {"name": m.name, "role": m.role, "site": m.site, "http": m.http, "standing": m.standing.name}
                for m in (self.crowd.me, *self.crowd.members.values())
            ],
            "slots": [{"id": number, "name": name} for number, name in self.view.slots.names],
            "leads": {
                database: {
                    "term": lead.term,
                    "primary": lead.primary,
                    "state": lead.state,
                    "inSync": list(lead.inSync),
                    "joining": list(lead.joining),
                }
                for database, lead in sorted(self.view.leads.items())
            },
            "held": {database: why for database, why in self.held().items()},
            "windows": self._windows(),
            "duties": ["lead"] if self.leads.lease.held else [],
            "backends": {name: self._backend(name=name) for name in sorted(self.yard.pools)},
            "shares": {database: list(names) for database, names in self.yard.shares.items()},
            "sessions": len(self.sessions.open),
            "sessionsOnOneStall": self.keeper.alone,
            "copies": len(self.copies.held),
            "queueMost": self.yard.queueMost,
        }

    def held(self) -> dict[str, str]:
        """Why anything can't go on, as far as this stall's duties know."""
        held = {database: why for database, why in self.leads.reasons.items() if why}
        return {**held, **self.leads.sync_holds, **self.leads.window_holds}

    def _windows(self) -> dict[str, Any]:
        """Each booked window: its stage, what it still has to empty, and what holds it back."""
        charter = self.view.charter
        leaving = self.view.leaving
        windows: dict[str, Any] = {}
        for window in () if charter is None else charter.windows:
            mine = [name for name, ws in leaving.backends.items() if window.name in ws]
            left = [
                f"{name} {'leads' if lead.primary == name else 'is in sync for'} {database}"
                for database, lead in sorted(self.view.leads.items())
                for name in mine
                if name in (lead.primary, *lead.confirmers)
            ]
            windows[window.name] = {
                "stage": self.view.window_states.stage(window=window).name,
                "empties": window.empties.text,
                "backends": mine,
                "stalls": [name for name, ws in leaving.stalls.items() if window.name in ws],
                "left": left,
            }
        return windows

    def _backend(self, *, name: str) -> dict[str, Any]:
        pool, heard = self.yard.pools[name], self.news.latest(name=name)
        return {
            "state": "unheard" if heard is None else heard.beat.state,
            "fit": self.news.fit(name=name),
            "ageUs": None if heard is None else self.news.age_us(name=name),
            "position": None if heard is None else heard.beat.position,
            "channels": {
                "limit": pool.limit,
                "open": pool.open,
                "waiting": len(pool.waiting),
                "opened": pool.opened,
                "closed": pool.closed,
            },
        }
