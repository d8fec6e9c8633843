"""The leases that one acceptor has granted, kept in memory only."""

from dataclasses import dataclass

from .messages import LeaseRequest, Status

# longest lease that is granted; bounds how long a restarted replica waits for grants that it no longer has in memory
MAX_LEASE_US = 2_000_000


@dataclass(frozen=True, kw_only=True)
class LeaseGrant:
    """One grant; `until_us` is its end on the monotonic clock of the acceptor's process."""

    holder: int
    until_us: int


NO_GRANT = LeaseGrant(holder=0, until_us=0)


class LeaseGrants:
    """Owns the grants by lease name, and decides on lease requests.

    :param from_us: nothing is granted before this time on the process's monotonic clock.
    """

    def __init__(self, *, from_us: int) -> None:
        self.from_us = from_us
        self.by_name: dict[str, LeaseGrant] = {}

    def answer(self, *, request: LeaseRequest, now_us: int) -> Status:
        """Grants, renews or releases a lease.

        REFUSED: another holder has it, it is too long, or `from_us` is not reached. Releasing always answers OK.
        """
        if request.length_us == 0:
            self._release(request=request)
            return Status.OK
        if not self._may_grant(request=request, now_us=now_us):
            return Status.REFUSED
        self.by_name[request.lease] = LeaseGrant(holder=request.holder, until_us=now_us + request.length_us)
        return Status.OK

    def _release(self, *, request: LeaseRequest) -> None:
        """Ends a lease, if the requester holds it."""
        if self.by_name.get(request.lease, NO_GRANT).holder == request.holder:
            self.by_name.pop(request.lease, None)

    def _may_grant(self, *, request: LeaseRequest, now_us: int) -> bool:
        grant = self.by_name.get(request.lease, NO_GRANT)
        available = grant.until_us <= now_us or grant.holder == request.holder
        return available and now_us >= self.from_us and request.length_us <= MAX_LEASE_US
