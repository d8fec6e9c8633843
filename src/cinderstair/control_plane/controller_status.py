"""What a controller knows at one moment, as typed values."""

from dataclasses import dataclass

from ..failover.service_primary import ServicePrimary
from ..failover.shard_state import ShardState
from ..membership.announcement import Announcement
from ..membership.member import Standing
from .proxy_contact import ProxyContact


@dataclass(frozen=True, kw_only=True)
class VoterStatus:
    """One voter of the register; `standing` is None where the membership does not know it."""

    name: str
    address: str
    standing: Standing | None


@dataclass(frozen=True, kw_only=True)
class QuorumStatus:
    """The voters of the register, and what they can bear.

    `present` counts the voters that are alive, `most` those that there are to be. `losses_borne` is negative without
    a majority. `short_for_us` says for how long voters have been missing, None where none are.
    """

    voters: tuple[VoterStatus, ...]
    present: int
    most: int
    epoch: int
    losses_borne: int
    short_for_us: int | None
    standbys: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class ServiceStatus:
    """A service's primary; `blocked_reason` says why it can't be moved, and is empty where it can."""

    name: str
    primary: ServicePrimary
    blocked_reason: str


@dataclass(frozen=True, kw_only=True)
class BackendStatus:
    """A backend's newest heartbeat, and whether it has been silent for too long since."""

    announcement: Announcement
    silent: bool


@dataclass(frozen=True, kw_only=True)
class ControllerStatus:
    """A snapshot of one controller. `quorum` is None while no roster is known, `plan_version` before any plan."""

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
