"""A snapshot of a controller's state, as typed values."""

from dataclasses import dataclass

from ..failover.service_primary import ServicePrimary
from ..failover.shard_state import ShardState
from ..membership.announcement import Announcement
from ..membership.member import Standing
from .proxy_contact import ProxyContact


@dataclass(frozen=True, kw_only=True)
class VoterStatus:
    """One voter of the register; `standing` is None if the membership does not list it."""

    name: str
    address: str
    standing: Standing | None


@dataclass(frozen=True, kw_only=True)
class QuorumStatus:
    """The voters of the register and how many of them may still fail.

    :ivar alive_count: voters that are alive
    :ivar target_count: how many voters the deployment is meant to have
    :ivar tolerable_losses: how many more voters may fail; negative without a majority
    :ivar votes_missing_us: how long voters have been missing; None if none are
    :ivar standbys: names of the replicas that may replace a lost voter
    """

    voters: tuple[VoterStatus, ...]
    alive_count: int
    target_count: int
    epoch: int
    tolerable_losses: int
    votes_missing_us: int | None
    standbys: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class ServiceStatus:
    """A service's primary; `blocked_reason` says what blocks a failover, and is empty if nothing does."""

    name: str
    primary: ServicePrimary
    blocked_reason: str


@dataclass(frozen=True, kw_only=True)
class BackendStatus:
    """A backend's newest heartbeat, and whether that is too old."""

    announcement: Announcement
    silent: bool


@dataclass(frozen=True, kw_only=True)
class ControllerStatus:
    """A snapshot of one controller.

    :ivar register_age_us: how old the controller's view of the register is
    :ivar current: whether that view is recent enough to act on
    :ivar plan_version: version of the configuration in force; None before the first
    :ivar withdrawn_reason: why the last shard map proposal was withdrawn; empty if it was not
    :ivar quorum: None while no roster is known
    """

    name: str
    register_age_us: int
    current: bool
    plan_version: int | None
    shard_state: ShardState
    withdrawn_reason: str
    quorum: QuorumStatus | None
    services: tuple[ServiceStatus, ...]
    backends: tuple[BackendStatus, ...]
    proxies: tuple[ProxyContact, ...]
    leases_held: tuple[str, ...]
    counters: dict[str, int]
