"""What a guildhall knows, for an operator to read."""

from typing import TYPE_CHECKING

from ..failover.shard_state import ShardPhase, ShardState

if TYPE_CHECKING:
    from .guildhall import Guildhall

SEEN_US = 10_000_000


def describe(*, state: ShardState) -> str:
    """The shard map that stands, and the one on its way."""
    places = ", ".join(f"{database} at {service}" for database, service in sorted(state.current.places.items()))
    words = f"map {state.current.version}: {places or 'all as planned'}"
    return words if state.phase == ShardPhase.steady else f"{words}; {state.phase.name}: {state.following.version}"


def status_text(*, guildhall: "Guildhall") -> str:
    """A line each thing; HELD and QUIET say what can't go on, and why."""
    ctx, duty, now_us = guildhall.ctx, guildhall.duty, guildhall.ctx.now_us()
    view, plan = guildhall.view, guildhall.duty.plan
    age = f"knows the register as of {(now_us - view.as_of_us) // 1_000} ms ago"
    withdrawn = f" (withdrawn: {guildhall.shards.reason})" if guildhall.shards.reason else ""
    lines = [
        f"{ctx.name}: {age}{'' if view.current else ', NOT CURRENT: no majority of vaults answers'}",
        f"configuration: {'none yet' if plan is None else plan.version}",
        f"{describe(state=guildhall.shards.state)}{withdrawn}",
        *_vaults(guildhall=guildhall),
    ]
    for service, lead in sorted(duty.leads.items()):
        held = f"; HELD: {duty.reasons[service]}" if duty.reasons.get(service) else ""
        lines.append(f"service {service}: {lead.state.name} on {lead.primary}, term {lead.term}{held}")
    for name, heard in sorted(guildhall.news.best.items()):
        marks = (" and leads" if heard.beat.leads else "") + (", QUIET" if guildhall.news.quiet(name=name) else "")
        lines.append(f"backend {name} of {heard.beat.service}: {heard.beat.state}{marks}")
    for booth, age_us, _, vote in sorted(guildhall.relay.seen(within_us=SEEN_US)):
        lines.append(f"booth {booth}: asked {age_us // 1_000} ms ago{f', {vote.name}' if vote else ''}")
    leases = {"promotions": duty.lease, "slots": guildhall.slots.lease, "shards": guildhall.shards.lease}
    lines += [f"holds the duty of {name}" for name, lease in leases.items() if lease.held]
    lines += [f"counter {name} {count}" for name, count in ctx.counters.snapshot().items()]
    return "\n".join(lines)


def _vaults(*, guildhall: "Guildhall") -> list[str]:
    """Each voter, how many more may be lost, and who would take the place of one."""
    vault = guildhall.vault
    if vault.roster is None:
        return ["votes: no roster is known"]
    lines = []
    for voter in vault.roster.voters:
        standing = None if vault.crowd is None else vault.crowd.standing(name=voter.name)
        lines.append(f"vault {voter.name} at {voter.address}: {'unknown' if standing is None else standing.name}")
    present, losses = len(vault.present()), vault.losses_borne()
    short = ""
    if vault.short_since_us is not None:
        seconds = (guildhall.ctx.now_us() - vault.short_since_us) // 1_000_000
        short = f", VOTES MISSING for {seconds} s"
    borne = f"bears the loss of {losses} more" if losses >= 0 else "NO MAJORITY"
    standbys = ", ".join(vault.standbys()) or "nobody"
    lines.append(
        f"votes: {present} of {vault.most}, epoch {vault.roster.epoch}, {borne}{short}; standing by: {standbys}"
    )
    return lines
