"""What a controller knows, for an operator to read."""

from typing import TYPE_CHECKING

from ..failover.shard_state import ShardPhase, ShardState

if TYPE_CHECKING:
    from .controller import Controller

SEEN_US = 10_000_000


def describe(*, state: ShardState) -> str:
    """The shard map that stands, and the one on its way."""
    places = ", ".join(f"{database} at {service}" for database, service in sorted(state.current.places.items()))
    words = f"map {state.current.version}: {places or 'all as planned'}"
    return words if state.phase == ShardPhase.steady else f"{words}; {state.phase.name}: {state.following.version}"


def status_text(*, controller: "Controller") -> str:
    """A line each thing; HELD and QUIET say what can't go on, and why."""
    ctx, duty, now_us = controller.ctx, controller.duty, controller.ctx.now_us()
    view, plan = controller.view, controller.duty.plan
    age = f"knows the register as of {(now_us - view.as_of_us) // 1_000} ms ago"
    withdrawn = f" (withdrawn: {controller.shards.reason})" if controller.shards.reason else ""
    lines = [
        f"{ctx.name}: {age}{'' if view.current else ', NOT CURRENT: no majority of register_replicas answers'}",
        f"configuration: {'none yet' if plan is None else plan.version}",
        f"{describe(state=controller.shards.state)}{withdrawn}",
        *_register_replicas(controller=controller),
    ]
    for service, lead in sorted(duty.primaries.items()):
        held = f"; HELD: {duty.reasons[service]}" if duty.reasons.get(service) else ""
        lines.append(f"service {service}: {lead.state.name} on {lead.primary}, term {lead.term}{held}")
    for name, heard in sorted(controller.heartbeat_table.best.items()):
        marks = (" and leads" if heard.heartbeat.leads else "") + (
            ", QUIET" if controller.heartbeat_table.quiet(name=name) else ""
        )
        lines.append(f"backend {name} of {heard.heartbeat.service}: {heard.heartbeat.state}{marks}")
    for proxy, age_us, _, vote in sorted(controller.relay.seen(within_us=SEEN_US)):
        lines.append(f"proxy {proxy}: asked {age_us // 1_000} ms ago{f', {vote.name}' if vote else ''}")
    leases = {"promotions": duty.lease, "slots": controller.proxy_ids.lease, "shards": controller.shards.lease}
    lines += [f"holds the duty of {name}" for name, lease in leases.items() if lease.held]
    lines += [f"counter {name} {count}" for name, count in ctx.counters.snapshot().items()]
    return "\n".join(lines)


def _register_replicas(*, controller: "Controller") -> list[str]:
    """Each voter, how many more may be lost, and who would take the place of one."""
    register_replica = controller.register_replica
    if register_replica.roster is None:
        return ["votes: no roster is known"]
    lines = []
    for voter in register_replica.roster.voters:
        standing = (
            None if register_replica.membership is None else register_replica.membership.standing(name=voter.name)
        )
        lines.append(
            f"register replica {voter.name} at {voter.address}: {'unknown' if standing is None else standing.name}"
        )
    present, losses = len(register_replica.present()), register_replica.losses_borne()
    short = ""
    if register_replica.short_since_us is not None:
        seconds = (controller.ctx.now_us() - register_replica.short_since_us) // 1_000_000
        short = f", VOTES MISSING for {seconds} s"
    borne = f"bears the loss of {losses} more" if losses >= 0 else "NO MAJORITY"
    standbys = ", ".join(register_replica.standbys()) or "nobody"
    lines.append(
        f"votes: {present} of {register_replica.most}, epoch {register_replica.roster.epoch}, {borne}{short}; "
        f"standing by: {standbys}"
    )
    return lines
