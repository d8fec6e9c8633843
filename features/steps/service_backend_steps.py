"""Steps that change the backends of a simulated service: crashes, departures, replacements, and how they answer."""

from typing import Any

from behave import given, when
from stage import announcement

from cinderstair.membership.announcement import GONE
from cinderstair.membership.heartbeat import EMPTYING
from cinderstair.runtime.position import Position


@when('"{name}" crashes')
@given('"{name}" crashes')
def when_crashes(context: Any, name: str) -> None:
    context.cluster.backends[name].up = False
    context.crashed_us = context.stage.now_us


@when('"{name}" is restarted')
def when_back(context: Any, name: str) -> None:
    backend = context.cluster.backends[name]
    backend.up = True
    context.cluster.send_heartbeat(backend=backend)


@when('"{name}" announces the state emptying')
def when_emptying(context: Any, name: str) -> None:
    backend = context.cluster.backends[name]
    backend.standing = EMPTYING
    context.stage.call(call=lambda: context.cluster.send_heartbeat(backend=backend))
    context.began_us = context.stage.now_us


@when('"{name}" deregisters, and {ends}')
def when_says_deregistration(context: Any, name: str, ends: str) -> None:
    backend = context.cluster.backends[name]
    backend.standing = GONE
    context.stage.call(call=lambda: context.cluster.send_heartbeat(backend=backend))
    backend.heartbeats = False
    backend.up = ends != "exits"


@when('"{name}" ends')
def when_ends(context: Any, name: str) -> None:
    context.cluster.backends[name].up = False


@when('"{name}" receives again')
def when_receives(context: Any, name: str) -> None:
    context.cluster.backends[name].paused = False


@when('"{name}" crashes, and returns as "{other}" at its address with its log')
def when_returns_renamed(context: Any, name: str, other: str) -> None:
    crashed = context.cluster.backends[name]
    crashed.up = False
    replica = context.cluster.add_replica(name=other)
    replica.at, replica.address, replica.heartbeats = crashed.at, crashed.address, True
    context.stage.call(call=lambda: context.cluster.send_heartbeat(backend=replica))


@when('"{name}" crashes, and returns as primary "{other}" at {place} address')
@when('"{name}" returns as primary "{other}" at {place} address')
def when_primary_returns_renamed(context: Any, name: str, other: str, place: str) -> None:
    """A backend takes over a crashed primary's log, role and term under a new name."""
    crashed = context.cluster.backends[name]
    crashed.up = False
    successor = context.cluster.add_replica(name=other)
    successor.at, successor.term, successor.heartbeats = crashed.at, crashed.term, True
    successor.is_primary, crashed.is_primary = True, False
    if place == "its":
        successor.address = crashed.address
    context.stage.call(call=lambda: context.cluster.send_heartbeat(backend=successor))


@when('an empty replica "{other}" takes the address of "{name}"')
def when_replaced_empty(context: Any, other: str, name: str) -> None:
    """A planned replacement of a replica begins without a log."""
    replica = context.cluster.add_replica(name=other)
    replica.at, replica.address, replica.heartbeats = Position(0, 0), context.cluster.backends[name].address, True
    context.stage.call(call=lambda: context.cluster.send_heartbeat(backend=replica))


@when('"{name}" receives nothing any more')
def when_receives_nothing(context: Any, name: str) -> None:
    context.cluster.backends[name].receives = False


@when('"{name}" restarts, which ends its pause')
def when_replica_restarts(context: Any, name: str) -> None:
    replica = context.cluster.backends[name]
    replica.paused, replica.held = False, 0


@given('"{name}" can\'t be paused')
@when('"{name}" can\'t be paused')
def given_not_pausable(context: Any, name: str) -> None:
    context.cluster.backends[name].pausable = False


@given('"{name}" is {reach} to the controllers')
@when('"{name}" is {reach} to the controllers')
def given_reach(context: Any, name: str, reach: str) -> None:
    context.cluster.backends[name].reach = {"unreachable": "no", "silent": "silent", "reachable": "yes"}[reach]


@when('replica "{name}" starts, and its heartbeats reach {whom}')
def when_replica_starts(context: Any, name: str, whom: str) -> None:
    replica = context.cluster.add_replica(name=name)
    if whom == "another controller":
        replica.number += 1
        heartbeat = announcement(name=name, number=replica.number)
        context.controller_stages[0].heartbeats_elsewhere.append(heartbeat)
        return

    def send() -> None:
        replica.heartbeats = True
        context.cluster.send_heartbeat(backend=replica)

    delay_us = 0 if whom == "the lease holder" else int(whom.split()[-2]) * 1_000
    context.stage.call(call=lambda: context.stage.loop.call_later(delay_us / 1_000_000, send))


@when('"{name}" sends no more heartbeats')
def when_heartbeats_stop(context: Any, name: str) -> None:
    context.cluster.backends[name].heartbeats = False


@given('"{name}" is {behind:d} positions behind')
def given_behind(context: Any, name: str, behind: int) -> None:
    backend = context.cluster.backends[name]
    backend.paused, backend.at = True, Position(backend.at.term, backend.at.number - behind)


@given('"{name}" is {behind:d} positions behind, and catches up {wait_ms:d} ms after the primary stepped down')
def given_follows(context: Any, name: str, behind: int, wait_ms: int) -> None:
    given_behind(context=context, name=name, behind=behind)
    context.cluster.backends[name].follows_us = wait_ms * 1_000


@given('"{name}" does not step down')
def given_not_stepping(context: Any, name: str) -> None:
    context.cluster.backends[name].steps_down = False


@given('the platform says that "{name}" is not running')
def given_refused(context: Any, name: str) -> None:
    context.cluster.refuses.add(name)


@given('"{name}" never becomes primary')
def given_never(context: Any, name: str) -> None:
    context.cluster.backends[name].promotable = False
