"""Decides whether the primary of a service must be replaced, and why. It changes nothing."""

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
    """Invariant: a primary that still leads by its own account, or that most control daemons reach, is never lost."""

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
        # when each backend was suspected first, until it has been examined
        self.suspects_us: dict[str, int] = {}

    def suspect(self, *, name: str) -> None:
        """Has a backend examined at the next look, although its heartbeats are not missed yet."""
        self.suspects_us.setdefault(name, self.ctx.now_us())

    async def move_reason(self, *, primary: str, assigned_us: int) -> MoveReason | None:
        """Why this backend can't stay primary; None where it can.

        :param assigned_us: when the assignment was seen first.
        """
        member = self.members.latest(name=primary)
        if member is None:
            # A backend that was never heard since this daemon began may still be about to send its heartbeat.
            grace_us = self.heartbeat_table.silent_after_us * 2
            return None if self.ctx.now_us() - assigned_us < grace_us else MoveReason.UNKNOWN
        if member.state == GONE:
            # Some deregister first and serve on. While such a one leads it can step down, which loses no commit.
            state = await self.control.state(backend=member, wait_us=PROBE_WAIT_US)
            return MoveReason.EMPTYING if state.is_ok() and state.ok.is_primary else MoveReason.GONE
        quiet = self.heartbeat_table.silent(name=primary) and self.heartbeat_table.connected
        if member.state != READY:
            return await self._reason_while_leaving(member=member, quiet=quiet)
        demoted = not member.is_primary and not quiet
        if not quiet and not demoted and primary not in self.suspects_us:
            return None
        reason = await self._examine(member=member, quiet=quiet)
        self.suspects_us.pop(primary, None)
        return reason

    async def _reason_while_leaving(self, *, member: Announcement, quiet: bool) -> MoveReason:
        # A primary that is leaving may die before it has stepped down, and then it can't be asked to.
        examine = quiet or member.name in self.suspects_us
        reason = await self._examine(member=member, quiet=quiet) if examine else None
        self.suspects_us.pop(member.name, None)
        return reason if reason is not None and reason.primary_lost else MoveReason.EMPTYING

    async def _examine(self, *, member: Announcement, quiet: bool) -> MoveReason | None:
        """Asks the primary itself, and the other control daemons whether they reach it."""
        own, votes = await asyncio.gather(
            self.control.state(backend=member, wait_us=PROBE_WAIT_US), self.reachability_poll(member.name)
        )
        self.ctx.counters.add(name="promotion.examined")
        if own.is_ok():
            return None if own.ok.is_primary else MoveReason.DEMOTED
        unreachable = own.error.code == ErrorCode.REQUEST_NOT_SENT
        # A silent primary that takes connections may only be slow, so its heartbeats must be missed as well.
        if not unreachable and not quiet:
            return None
        if not votes.majority_unreachable:
            return None
        return MoveReason.GONE if unreachable else MoveReason.SILENT
