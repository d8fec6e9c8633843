"""Steps for service failover: a simulated cluster of backends, controllers and their register."""

import asyncio
import logging
import re
from collections.abc import Callable
from typing import Any

from behave import given, then, when
from cluster_stage import VIEW_EXPIRY_US, Cluster, ControllerStage, new_controller, new_stage, put
from expression import Error
from stage import plan

from cinderstair.config.service_plan import PLAN_KEY
from cinderstair.failover.reachability_votes import ReachabilityVotes
from cinderstair.failover.service_primary import (
    PREFIX,
    PrimaryState,
    ServicePrimary,
    read_service_primary,
    service_primary_key,
)
from cinderstair.pooler.relayed_view import LEASE_US
from cinderstair.runtime.errors import CinderstairError, ErrorCode
from cinderstair.runtime.position import Position


@given('a service with primary "{primary}", replicas "{replicas}" and {confirmations:d} required confirmations')
def given_service(context: Any, confirmations: int, primary: str, replicas: str) -> None:
    new_stage(context=context)
    names = (primary, *replicas.split(", "))
    context.cluster = Cluster(stage=context.stage, names=names, at=Position(3, 100), confirmations=confirmations)
    put(context=context, key=PLAN_KEY, value=plan(confirmations=confirmations).bytes())
    new_controller(context=context).start_failover(cluster=context.cluster)


@given("the failover lease is held and the assignment is settled")
@when("the failover lease is held and the assignment is settled")
def given_settled_assignment(context: Any) -> None:
    wait_for(context=context, test=lambda: assignment_of(context=context) is not None, within_us=5_000_000)
    assignment = assignment_of(context=context)
    assert assignment is not None and assignment.state == PrimaryState.settled
    context.stage.advance(for_us=2_500_000)
    context.cluster.writing = True
    context.stage.advance(for_us=100_000)


def assignment_of(*, context: Any) -> ServicePrimary | None:
    found = context.store.values.get(service_primary_key(service="s"))
    return None if found is None else read_service_primary(data=found.value)


def wait_for(*, context: Any, test: Callable[[], bool], within_us: int) -> int:
    began_us = context.stage.now_us
    while not test():
        assert context.stage.now_us - began_us < within_us, f"not within {within_us} us"
        context.stage.advance(for_us=10_000)
    return context.stage.now_us - began_us


def states_written(*, context: Any) -> list[str]:
    assignments = [
        read_service_primary(data=value) for _, key, value in context.store.writes if key.startswith("service/")
    ]
    return [f"{each.state.name} {each.primary} {each.term}" for each in assignments]


@when("the second controller acquires the failover lease, and its reads of the register fail")
def when_reads_nothing(context: Any) -> None:
    first, second = context.controller_stages

    async def missed() -> Any:
        return Error(CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="the read was lost"))

    context.read = second.register.vector
    second.register.vector = missed
    context.written = len(context.store.writes)
    first.register.cut = True
    context.store.leases.clear()
    wait_for(context=context, test=lambda: second.service_failover.lease.held, within_us=900_000)
    context.stage.advance(for_us=50_000)


@then("it holds the failover lease, its view counts as current, and it writes nothing")
def then_writes_nothing(context: Any) -> None:
    second = context.controller_stages[1]
    assert second.service_failover.lease.held and second.view.current
    assert len(context.store.writes) == context.written, context.store.writes[context.written :]


@when("the reads of the second controller succeed again")
def when_reads_again(context: Any) -> None:
    context.controller_stages[1].register.vector = context.read
    context.stage.advance(for_us=1_500_000)


@then("it allocates a fence number, and then confirms the assignment")
def then_confirms(context: Any) -> None:
    keys = [key for _, key, _ in context.store.writes[context.written :]]
    assert keys[:2] == ["promotion.fence", "service/s"], keys


@then('the deregistration of "{name}" is settled: {words}')
def then_deregistration_settled(context: Any, name: str, words: str) -> None:
    unsettled = [
        each.name for each in context.controller_stages[0].service_failover.deregistrations.unsettled(service="s")
    ]
    assert (name not in unsettled) == (words == "yes"), unsettled


@when('"{name}" is suspected')
def when_suspected(context: Any, name: str) -> None:
    for controller in context.controller_stages:
        context.stage.call(call=lambda controller=controller: controller.service_failover.suspect(name=name))


@given("proxies that {answer} notices of an assignment, and acknowledge commits by their views")
def given_proxies(context: Any, answer: str) -> None:
    cluster = context.cluster
    cluster.proxies_answer = answer != "do not answer"
    cluster.one_proxy_silent = answer == "answer, but for one,"

    def acknowledge(name: str) -> bool:
        written = [
            (at_us, read_service_primary(data=value))
            for at_us, key, value in context.store.writes
            if key.startswith(PREFIX)
        ]
        assignment = written[-1][1]
        if assignment.state != PrimaryState.moving:
            return assignment.primary == name
        moving_us = next(at_us for at_us, each in written if each.state == PrimaryState.moving)
        views_expired = context.stage.now_us - moving_us >= LEASE_US
        return written[0][1].primary == name and not cluster.proxies_notified and not views_expired

    cluster.proxies_acknowledge = acknowledge


class LogRecorder(logging.Handler):
    """Keeps the lines that it gets, each with its level before it."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(f"{record.levelname} {record.getMessage()}")


@given("the log of the controllers is recorded")
def given_log_recorded(context: Any) -> None:
    context.recorder = LogRecorder()
    for controller in context.controller_stages:
        log = controller.ctx.log
        log.setLevel(logging.INFO)
        log.addHandler(context.recorder)
        context.add_cleanup(log.removeHandler, context.recorder)


@then('a log line matches "{pattern}"')
def then_log_line(context: Any, pattern: str) -> None:
    assert any(re.search(pattern, line) for line in context.recorder.lines), context.recorder.lines


@then('the controllers counted "{counter}" {count:d} times')
def then_counted(context: Any, counter: str, count: int) -> None:
    found = sum(each.ctx.counters.counts[counter] for each in context.controller_stages)
    assert found == count, found


@given("proxies report positions {beyond:d} beyond what was confirmed")
def given_reported_beyond(context: Any, beyond: int) -> None:
    context.cluster.reported_beyond = beyond


@then("the proxies were notified {count:d} times")
def then_notified(context: Any, count: int) -> None:
    assert context.cluster.proxies_notified == count, context.cluster.proxies_notified


@then("the promotion was requested {least_ms:d} to {most_ms:d} ms after the assignment was moving")
def then_requested_after(context: Any, least_ms: int, most_ms: int) -> None:
    moving_us = next(
        at_us
        for at_us, key, value in context.store.writes
        if key.startswith(PREFIX) and read_service_primary(data=value).state == PrimaryState.moving
    )
    took_us = context.cluster.calls[0][0] - moving_us
    assert least_ms * 1_000 <= took_us <= most_ms * 1_000, took_us


@given("{reached:d} of {requested:d} other controllers reach the backend")
def given_votes(context: Any, requested: int, reached: int) -> None:
    for controller in context.controller_stages:
        controller.votes = ReachabilityVotes(reachable=reached, answered=requested)


@when("the controllers run for {wait_ms:d} ms")
def when_controllers_pass(context: Any, wait_ms: int) -> None:
    context.stage.advance(for_us=wait_ms * 1_000)


@then('"{name}" is primary and the assignment is settled within {most_ms:d} ms')
def then_settled_on(context: Any, name: str, most_ms: int) -> None:
    def settled() -> bool:
        assignment = assignment_of(context=context)
        return assignment is not None and assignment.primary == name and assignment.state == PrimaryState.settled

    wait_for(context=context, test=settled, within_us=most_ms * 1_000)
    assert context.cluster.backends[name].is_primary
    context.stage.advance(for_us=1_200_000)


@then("the assignment is settled on another backend within {most_ms:d} ms")
def then_settled_elsewhere(context: Any, most_ms: int) -> None:
    def settled() -> bool:
        assignment = assignment_of(context=context)
        return assignment is not None and assignment.primary != "a" and assignment.state == PrimaryState.settled

    wait_for(context=context, test=settled, within_us=most_ms * 1_000)
    context.stage.advance(for_us=1_200_000)


@then('the assignments written were "{words}"')
def then_assignment_went(context: Any, words: str) -> None:
    found = ", ".join(states_written(context=context))
    assert found == words, found


@then('the promotions requested were "{words}"')
def then_promoted(context: Any, words: str) -> None:
    found = ", ".join(f"{name} with fence {fence}" for _, name, fence in context.cluster.calls) or "none"
    assert found == words, found


@then("no acknowledged commit is lost")
def then_none_lost(context: Any) -> None:
    assert not context.cluster.lost, context.cluster.lost


@then("commits are acknowledged again")
def then_acknowledged(context: Any) -> None:
    before = context.cluster.acknowledged
    context.stage.advance(for_us=100_000)
    assert context.cluster.acknowledged > before


@then("exactly one backend is primary, and no replica is paused")
def then_one_primary(context: Any) -> None:
    up = [each for each in context.cluster.backends.values() if each.up]
    assert sum(each.is_primary for each in up) == 1, [(each.name, each.is_primary) for each in up]
    assert not any(each.paused for each in up), [each.name for each in up if each.paused]


@then("all older views expired between the end of the old assignment and the next settled one")
def then_older_views_expired(context: Any) -> None:
    assignments = [
        (at_us, read_service_primary(data=value))
        for at_us, key, value in context.store.writes
        if key.startswith(PREFIX)
    ]
    stopped_us = next(at_us for at_us, assignment in assignments if assignment.state != PrimaryState.settled)
    assert assignments[-1][1].state == PrimaryState.settled, assignments
    assert assignments[-1][0] - stopped_us >= VIEW_EXPIRY_US, assignments


@then('"{name}" stepped down at least {least_ms:d} ms after the assignment was closing')
def then_closed_first(context: Any, name: str, least_ms: int) -> None:
    closing_us = next(
        at_us
        for at_us, key, value in context.store.writes
        if key.startswith("service/") and read_service_primary(data=value).state == PrimaryState.closing
    )
    stepped_us = context.cluster.backends[name].stepped_us
    assert stepped_us - closing_us >= least_ms * 1_000, (stepped_us, closing_us)


@when("the replicas are paused")
def when_paused(context: Any) -> None:
    replicas = [each for each in context.cluster.backends.values() if not each.is_primary]
    wait_for(context=context, test=lambda: any(each.paused for each in replicas), within_us=10_000_000)


@then("each paused replica was resumed, after the assignment was confirmed by a write")
def then_resumed(context: Any) -> None:
    writes = states_written(context=context)
    assert len(writes) >= 2 and writes[-1].split()[1:] == writes[0].split()[1:], writes
    for each in context.cluster.backends.values():
        if any(entry.startswith("pause") for entry in each.log):
            assert each.log[-1] == "resume", (each.name, each.log)


@then('the requests to "{name}" were "{words}"')
def then_requests(context: Any, name: str, words: str) -> None:
    found = ", ".join(context.cluster.backends[name].log) or "none"
    assert found == words, found


@then('"{name}" was paused before the promotion was requested')
def then_paused_first(context: Any, name: str) -> None:
    paused_us = context.cluster.backends[name].paused_us
    assert 0 < paused_us < context.cluster.calls[0][0], (paused_us, context.cluster.calls)


@then('the assignment is {state} on "{name}"')
def then_assignment_is(context: Any, state: str, name: str) -> None:
    assignment = assignment_of(context=context)
    assert assignment is not None and (assignment.state.name, assignment.primary) == (state, name), assignment


@given("another controller competes for the failover lease")
def given_another(context: Any) -> None:
    new_controller(context=context).start_failover(cluster=context.cluster)
    for backend in context.cluster.backends.values():
        context.stage.call(call=lambda backend=backend: context.cluster.send_heartbeat(backend=backend))


@when("all controllers are restarted")
def when_controllers_restart(context: Any) -> None:
    """Kills all controllers, and starts as many that have received no heartbeat."""
    killed = list(context.controller_stages)
    for controller in killed:
        controller.kill()
    context.cluster.heartbeat_listeners.clear()
    context.controller_stages.clear()
    for number in range(len(killed)):
        restarted = ControllerStage(context=context, name=f"restarted-{number + 1}", number=100 + number)
        context.controller_stages.append(restarted)
        restarted.start_failover(cluster=context.cluster)


@when('another holder has written "{name}" as primary of term {term:d}')
def when_written(context: Any, name: str, term: int) -> None:
    assignment = ServicePrimary(term=term, primary=name, state=PrimaryState.settled)
    put(context=context, key=service_primary_key(service="s"), value=assignment.bytes())
    context.written = assignment
    for each in context.cluster.backends.values():
        each.is_primary = each.name == name
        each.term = term
        context.stage.call(call=lambda each=each: context.cluster.send_heartbeat(backend=each))


@when('the promotion of "{name}" is requested')
def when_promotion_requested(context: Any, name: str) -> None:
    wait_for(
        context=context, test=lambda: any(call[1] == name for call in context.cluster.calls), within_us=8_000_000
    )


@then("the settled primary is the one that was promoted last")
def then_settled_on_last_promoted(context: Any) -> None:
    assignment = assignment_of(context=context)
    assert assignment is not None and assignment.state == PrimaryState.settled, assignment
    terms = {each.name: each.term for each in context.cluster.backends.values() if each.is_primary}
    assert terms.get(assignment.primary) == max(terms.values()), (assignment, terms)


@when("the assignment is closing")
def when_assignment_closing(context: Any) -> None:
    def closing() -> bool:
        assignment = assignment_of(context=context)
        return assignment is not None and assignment.state == PrimaryState.closing

    wait_for(context=context, test=closing, within_us=2_000_000)


@when("the assignment is moving")
def when_assignment_moving(context: Any) -> None:
    def moving() -> bool:
        assignment = assignment_of(context=context)
        return assignment is not None and assignment.state == PrimaryState.moving

    wait_for(context=context, test=moving, within_us=2_000_000)


@then("that assignment is unchanged for {wait_ms:d} ms")
def then_stands(context: Any, wait_ms: int) -> None:
    for _ in range(wait_ms // 10):
        assert assignment_of(context=context) == context.written, assignment_of(context=context)
        context.stage.advance(for_us=10_000)


@when("the holder of the failover lease is killed {moment}")
def when_holder_dies(context: Any, moment: str) -> None:
    def moving() -> bool:
        assignment = assignment_of(context=context)
        return assignment is not None and assignment.state == PrimaryState.moving

    def paused() -> bool:
        return any(each.paused for each in context.cluster.backends.values())

    def closing() -> bool:
        assignment = assignment_of(context=context)
        return assignment is not None and assignment.state == PrimaryState.closing

    tests: dict[str, Callable[[], bool]] = {
        "when the assignment is closing": closing,
        "when the old primary has stepped down": lambda: any(
            each.stepped_us for each in context.cluster.backends.values()
        ),
        "when the replicas are paused": paused,
        "when the assignment is moving": moving,
        "when the platform has been asked to promote": lambda: bool(context.cluster.calls),
        "when another backend is primary": lambda: any(
            each.is_primary and each.term > 3 for each in context.cluster.backends.values()
        ),
    }
    test = tests[moment]

    # Polls on every iteration of the loop, since the interval between two writes is shorter than a step.
    async def watch() -> None:
        for _ in range(60_000):
            if test():
                return
            await asyncio.sleep(0.0005)
        raise AssertionError(moment)

    context.stage.run(work=watch())
    holder = next(controller for controller in context.controller_stages if controller.service_failover.lease.held)
    holder.kill()


@when("the holder of the failover lease is cut off from the register")
def when_holder_cut(context: Any) -> None:
    holder = next(controller for controller in context.controller_stages if controller.service_failover.lease.held)
    holder.register.cut = True


@then("the two holders used different fence numbers, in ascending order")
def then_fences(context: Any) -> None:
    fences = [fence for _, _, fence in context.cluster.calls]
    assert fences == sorted(fences) and len(set(fences)) == 2, fences


@then("no controller has crashed")
def then_no_controller_crashed(context: Any) -> None:
    assert not context.stage.crashes, context.stage.crashes
    for controller in context.controller_stages:
        assert not controller.ctx.counters.counts["internal.crashes"], controller.ctx.name
