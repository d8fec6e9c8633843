"""The leases that one acceptor has granted. They are kept in memory alone."""

from dataclasses import dataclass

from .messages import LeaseRequest, Status

# no lease is granted for longer, so that a restarted replica knows when all its forgotten grants have ended
MAX_LEASE_US = 2_000_000


@dataclass(frozen=True, kw_only=True)
class LeaseGrant:
    """A lease as one acceptor granted it; `until_us` is of its process's monotonic clock."""

    holder: int
    until_us: int


NO_GRANT = LeaseGrant(holder=0, until_us=0)


class LeaseGrants:
    """Owns the grants by the lease's name.

    :param from_us: nothing is granted before this moment of the process's monotonic clock.
    """

    def __init__(self, *, from_us: int) -> None:
        self.from_us = from_us
        self.by_name: dict[str, LeaseGrant] = {}

    def answer(self, *, request: LeaseRequest, now_us: int) -> Status:
        """Grants, renews or releases a lease. BEATEN: it may not be granted now."""
        if request.length_us == 0:
            self._release(request=request)
            return Status.OK
        if not self._may_grant(request=request, now_us=now_us):
            return Status.BEATEN
        self.by_name[request.lease] = LeaseGrant(holder=request.holder, until_us=now_us + request.length_us)
        return Status.OK

    def _release(self, *, request: LeaseRequest) -> None:
        """Ends a lease; only its holder may do so."""
        if self.by_name.get(request.lease, NO_GRANT).holder == request.holder:
            self.by_name.pop(request.lease, None)

    def _may_grant(self, *, request: LeaseRequest, now_us: int) -> bool:
        grant = self.by_name.get(request.lease, NO_GRANT)
        available = grant.until_us <= now_us or grant.holder == request.holder
        return available and now_us >= self.from_us and request.length_us <= MAX_LEASE_US
