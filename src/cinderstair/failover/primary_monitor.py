"""Decides whether the primary of a service must be replaced, and why. Has no side effects on backends."""

import asyncio

from ..membership.announcement import GONE, Announcement
from ..membership.heartbeat import READY
from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.context import Context
from ..runtime.errors import ErrorCode
from .backend_control import BackendControl
from .backend_poller import PROBE_WAIT_US
from .move_reason import MoveReason
from .reachability_votes import ReachabilityPoll
from .service_members import ServiceMembers


class PrimaryMonitor:
    """Examines primaries that are suspected, miss heartbeats or announce a change. Owns the pending suspicions.

    Invariant: a primary that reports itself primary, or that a majority of the control daemons reaches, is not
    declared lost.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        heartbeat_table: HeartbeatTable[Announcement],
        members: ServiceMembers,
        control: BackendControl,
        reachability_poll: ReachabilityPoll,
    ) -> None:
        self.ctx = ctx
        self.heartbeat_table = heartbeat_table
        self.members = members
        self.control = control
        self.reachability_poll = reachability_poll
        # when each backend was first suspected; removed once it has been examined
        self.suspects_us: dict[str, int] = {}

    def suspect(self, *, name: str) -> None:
        """Requests a probe of a backend at the next step, even if its heartbeats still arrive."""
        self.suspects_us.setdefault(name, self.ctx.now_us())

    async def move_reason(self, *, primary: str, assigned_us: int) -> MoveReason | None:
        """Why this backend can't stay primary; None if it can.

        :param assigned_us: when the assignment was first seen.
        """
        member = self.members.latest(name=primary)
        if member is None:
            # This daemon may have started too recently to have received the backend's heartbeat.
            grace_us = self.heartbeat_table.silent_after_us * 2
            return None if self.ctx.now_us() - assigned_us < grace_us else MoveReason.UNKNOWN
        if member.state == GONE:
            # Some backends deregister before they stop serving. One that is still primary can step down, which loses
            # no commit.
            state = await self.control.state(backend=member, wait_us=PROBE_WAIT_US)
            return MoveReason.EMPTYING if state.is_ok() and state.ok.is_primary else MoveReason.GONE
        heartbeats_missing = self.heartbeat_table.silent(name=primary) and self.heartbeat_table.connected
        if member.state != READY:
            return await self._reason_while_draining(member=member, heartbeats_missing=heartbeats_missing)
        demoted = not member.is_primary and not heartbeats_missing
        if not heartbeats_missing and not demoted and primary not in self.suspects_us:
            return None
        reason = await self._examine(member=member, heartbeats_missing=heartbeats_missing)
        self.suspects_us.pop(primary, None)
        return reason

    async def _reason_while_draining(self, *, member: Announcement, heartbeats_missing: bool) -> MoveReason:
        # A primary that announced its shutdown may crash before it steps down, and must then be fenced instead.
        examine = heartbeats_missing or member.name in self.suspects_us
        reason = await self._examine(member=member, heartbeats_missing=heartbeats_missing) if examine else None
        self.suspects_us.pop(member.name, None)
        return reason if reason is not None and reason.primary_lost else MoveReason.EMPTYING

    async def _examine(self, *, member: Announcement, heartbeats_missing: bool) -> MoveReason | None:
        """Probes the primary and polls the other control daemons for whether they reach it.

        :returns: DEMOTED, GONE or SILENT; None if the primary is healthy or most control daemons reach it.
        """
        own, votes = await asyncio.gather(
            self.control.state(backend=member, wait_us=PROBE_WAIT_US), self.reachability_poll(member.name)
        )
        self.ctx.counters.add(name="promotion.examined")
        if own.is_ok():
            return None if own.ok.is_primary else MoveReason.DEMOTED
        unreachable = own.error.code == ErrorCode.REQUEST_NOT_SENT
        # A primary that accepts connections without answering may only be slow, so missed heartbeats are required.
        if not unreachable and not heartbeats_missing:
            return None
        if not votes.majority_unreachable:
            return None
        return MoveReason.GONE if unreachable else MoveReason.SILENT
