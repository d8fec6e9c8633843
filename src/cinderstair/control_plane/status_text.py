"""Formats a controller's status for operators, one line for each item."""

from .controller_status import BackendStatus, ControllerStatus, QuorumStatus, ServiceStatus
from .proxy_contact import ProxyContact
from .shard_map_text import shard_map_text

US_PER_MS = 1_000
US_PER_S = 1_000_000


def status_text(*, status: ControllerStatus) -> str:
    """One line for each item; HELD marks a service with a blocked failover and its reason, QUIET a silent backend."""
    return "\n".join(
        [
            _register_line(status=status),
            f"configuration: {'none accepted yet' if status.plan_version is None else status.plan_version}",
            _shard_map_line(status=status),
            *_quorum_lines(quorum=status.quorum),
            *(_service_line(service=service) for service in status.services),
            *(_backend_line(backend=backend) for backend in status.backends),
            *(_proxy_line(proxy=proxy) for proxy in status.proxies),
            *(f"holds the lease {name}" for name in status.leases_held),
            *(f"counter {name} {count}" for name, count in status.counters.items()),
        ]
    )


def _register_line(*, status: ControllerStatus) -> str:
    age = f"register view is {status.register_age_us // US_PER_MS} ms old"
    stale = "" if status.current else ", NOT CURRENT: no majority of the register replicas answers"
    return f"{status.name}: {age}{stale}"


def _shard_map_line(*, status: ControllerStatus) -> str:
    withdrawn = f" (withdrawn: {status.withdrawn_reason})" if status.withdrawn_reason else ""
    return f"{shard_map_text(state=status.shard_state)}{withdrawn}"


def _quorum_lines(*, quorum: QuorumStatus | None) -> list[str]:
    """One line for each voter, then how many more may fail and which standbys could replace one."""
    if quorum is None:
        return ["votes: no roster known"]
    lines = [
        f"register replica {voter.name} at {voter.address}: "
        f"{'unknown' if voter.standing is None else voter.standing.name}"
        for voter in quorum.voters
    ]
    missing = (
        "" if quorum.votes_missing_us is None else f", VOTES MISSING for {quorum.votes_missing_us // US_PER_S} s"
    )
    tolerance = (
        f"tolerates the loss of {quorum.tolerable_losses} more" if quorum.tolerable_losses >= 0 else "NO MAJORITY"
    )
    lines.append(
        f"votes: {quorum.alive_count} of {quorum.target_count}, epoch {quorum.epoch}, {tolerance}{missing}; "
        f"standbys: {', '.join(quorum.standbys) or 'nobody'}"
    )
    return lines


def _service_line(*, service: ServiceStatus) -> str:
    held = f"; HELD: {service.blocked_reason}" if service.blocked_reason else ""
    primary = service.primary
    return f"service {service.name}: {primary.state.name} on {primary.primary}, term {primary.term}{held}"


def _backend_line(*, backend: BackendStatus) -> str:
    announcement = backend.announcement
    marks = (", primary" if announcement.is_primary else "") + (", QUIET" if backend.silent else "")
    return f"backend {announcement.name} of {announcement.service}: {announcement.state}{marks}"


def _proxy_line(*, proxy: ProxyContact) -> str:
    vote = f", {proxy.vote.name}" if proxy.vote else ""
    return f"proxy {proxy.name}: asked {proxy.age_us // US_PER_MS} ms ago{vote}"
