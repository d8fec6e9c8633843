"""Steps for trials on the simulated platform, and for the seeded bugs that its checkers must detect."""

import json
import random
import re
from typing import Any

from behave import then, when

from cinderstair.config.service_plan import PLAN_KEY, plan_version
from cinderstair.consensus.roster import read_roster, read_voter, write_voter
from cinderstair.consensus.store import MAX_LOG_BYTES, Store
from cinderstair.control_plane.status_text import status_text
from cinderstair.runtime.message_types import MessageType
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.unpacker import Unpacker
from cinderstair.simulation.platformsim.platform_trials import run_trial
from cinderstair.simulation.platformsim.platform_world import PlatformWorld
from cinderstair.simulation.platformsim.repository import add_adapter_to_path
from cinderstair.simulation.platformsim.seeded_bugs import switched_in
from cinderstair.simulation.platformsim.shard_trials import MOVED_DATABASES, TARGET, await_map, propose
from cinderstair.simulation.sim_disk import SimDisk


def play(*, context: Any, trial: str, first: int, last: int, fault: str) -> None:
    """Runs a trial with each seed; an empty `fault` patches no bug in."""
    context.trial, context.results = trial, []
    for seed in range(first, last + 1):
        with switched_in(name=fault):
            context.results.append((seed, run_trial(name=trial, seed=seed)))


def wrong(*, context: Any) -> list[str]:
    """The failures of all runs, with their seeds."""
    return [f"seed {seed}: {line}" for seed, result in context.results for line in result.wrong]


@when("platform trial {trial} runs with seeds {first:d} to {last:d}")
def when_trial(context: Any, trial: str, first: int, last: int) -> None:
    play(context=context, trial=trial, first=first, last=last, fault="")


@when("platform trial {trial} runs with seed {seed:d} and the seeded bug {fault}")
def when_fault(context: Any, trial: str, seed: int, fault: str) -> None:
    play(context=context, trial=trial, first=seed, last=seed, fault=fault)


@when("platform trial {trial} runs with seed {seed:d} and no clients")
def when_no_clients(context: Any, trial: str, seed: int) -> None:
    context.results = [(seed, run_trial(name=trial, seed=seed, clients=0))]


@then("the run fails because rule {rule} was never checked")
def then_never_checked(context: Any, rule: str) -> None:
    found = wrong(context=context)
    assert any(f"rule {rule} was never checked" in line for line in found), found[:5]


@then("no rule reports a breach, and each was checked")
def then_no_breach(context: Any) -> None:
    assert not wrong(context=context), wrong(context=context)[:5]


@then("at least {share:d} percent of the operations are served")
def then_served(context: Any, share: int) -> None:
    for seed, result in context.results:
        assert result.served * 100 >= share * result.attempted, (
            seed,
            result.served,
            result.attempted,
            result.answers,
        )


@then('rule {rule} reports a breach with "{words}"')
def then_breach(context: Any, rule: str, words: str) -> None:
    found = wrong(context=context)
    assert any(f" {rule}: " in line and words in line for line in found), found[:5]


@then("another run with the same seed has the same result")
def then_same(context: Any) -> None:
    for seed, result in context.results:
        again = run_trial(name=context.trial, seed=seed)
        assert (again.checks, again.served, again.attempted) == (result.checks, result.served, result.attempted), seed


@when("map version {version:d} is applied on a serving simulated platform")
def when_serves(context: Any, version: int) -> None:
    add_adapter_to_path()
    context.world = PlatformWorld(seed=1)
    context.worlds.append(context.world)
    context.world.begin()
    assert not propose(world=context.world, version=version)
    await_map(world=context.world, version=version)


@then(
    "a controller's status lists register replicas, services, backends, proxies, leases and map version {version:d}"
)
def then_status(context: Any, version: int) -> None:
    world = context.world
    texts = [status_text(status=world.roles[name].controller.status()) for name in world.controllers]
    for text in texts:
        assert f"map {version}: ledger0-primary at ledger1" in text and "NOT CURRENT" not in text, text
        for name in [*world.controllers, *world.backends, *world.services]:
            assert f" {name}" in f"\n{text}".replace("\n", "\n "), (name, text)
        assert "votes: 3 of 3, epoch 1, tolerates the loss of 1 more; standbys: nobody" in text, text
    together = "\n".join(texts)
    assert all(f"proxy {name}: asked" in together for name in world.proxies), together
    assert "holds the lease promotions" in together and "holds the lease slots" in together, together


def requested(*, context: Any, at: int, handler: str, body: bytes) -> tuple[str, str]:
    """A controller's answer to an operator's request: error kind, empty on success, and text."""
    controller = context.world.roles[context.world.controllers[at]].controller
    answer = Unpacker(
        data=context.world.run(work=getattr(controller.shard_map_handler, handler)(Unpacker(data=body)))
    )
    return answer.text(), answer.text()


def shard_map_document(*, version: int, places: dict[str, str]) -> bytes:
    """A shard map as an operator sends it; `places` maps databases to services."""
    return Packer().blob(value=json.dumps({"version": version, "places": places}, indent=1).encode()).bytes()


@when("an operator of a serving simulated platform makes a dry run of map version {version:d}")
def when_plans(context: Any, version: int) -> None:
    add_adapter_to_path()
    context.world = PlatformWorld(seed=1)
    context.worlds.append(context.world)
    context.world.begin()
    context.shard_map_document = shard_map_document(version=version, places=dict.fromkeys(MOVED_DATABASES, TARGET))
    context.planned = requested(context=context, at=0, handler="_on_dry_run", body=context.shard_map_document)


@then("the dry run lists the moves and the expected write pause, and changes nothing")
def then_dry_run(context: Any) -> None:
    kind, words = context.planned
    lines = words.splitlines()
    assert not kind and lines[:2] == [f"{name}: from ledger0 to ledger1" for name in sorted(MOVED_DATABASES)], words
    found = re.match(r"writes of moving databases wait about (\d+) ms .*, (\d+) ms with a proxy silent", lines[2])
    assert found is not None and "all 3 proxies heard" in lines[2], words
    context.expected_pause_us = int(found[1]) * 1_000
    assert context.expected_pause_us < int(found[2]) * 1_000, words
    context.world.advance(for_ms=1_000)
    assert requested(context=context, at=1, handler="_on_shard_map", body=Packer().blob(value=b"").bytes())[
        1
    ].startswith("map 0: no database is placed by a shard map")


@then("a map with an unknown service or database is refused with its line, by dry run and proposal alike")
def then_unknown_refused(context: Any) -> None:
    body = shard_map_document(version=4, places={MOVED_DATABASES[0]: "nobody", "nowhere": TARGET})
    for handler in ("_on_dry_run", "_on_shard_map"):
        kind, words = requested(context=context, at=1, handler=handler, body=body)
        assert kind == "brokenConfiguration", (kind, words)
        lines = words.splitlines()
        assert lines[0].startswith("line 4: ") and "'nobody' is no service" in lines[0], words
        assert lines[1].startswith("line 5: ") and "'nowhere' is no database" in lines[1], words


@when("the operator proposes the map and polls its progress until it is complete")
def when_proposes(context: Any) -> None:
    assert requested(context=context, at=2, handler="_on_shard_map", body=context.shard_map_document) == (
        "",
        "proposed to the proxies",
    )
    context.seen = []

    def ends() -> bool:
        words = requested(context=context, at=0, handler="_on_progress", body=b"")[1]
        context.seen.append(words)
        return words == "steady: map 4"

    context.world.await_that(test=ends, within_ms=8_000, description="it is done")


@then("the proxies apply map version {version:d}, and writes waited no longer than the dry run expected")
def then_applied(context: Any, version: int) -> None:
    await_map(world=context.world, version=version)
    for words in ("proposed: map 4 after 0; of 3 proxies 3 agrees", "closing: map 4 after 0; of 3 proxies"):
        assert any(each.startswith(words) for each in context.seen), context.seen
    coordinators = [context.world.roles[name].controller.shards for name in context.world.controllers]
    took_us = [coordinator.closing_us for coordinator in coordinators if coordinator.closing_us is not None]
    assert len(took_us) == 1 and context.expected_pause_us // 4 <= took_us[0] <= context.expected_pause_us, (
        took_us,
        context.expected_pause_us,
    )


@then("a map that omits a moved database is refused")
def then_omission_refused(context: Any) -> None:
    body = shard_map_document(version=5, places={MOVED_DATABASES[0]: TARGET})
    kind, words = requested(context=context, at=0, handler="_on_shard_map", body=body)
    assert kind == "brokenConfiguration" and f"'{MOVED_DATABASES[1]}' is lost" in words, (kind, words)


@then("abandoning the completed change is refused")
def then_abandon_refused(context: Any) -> None:
    body = Packer().u64(value=5).bytes()
    kind, words = requested(context=context, at=0, handler="_on_abandon", body=body)
    assert kind == "versionOld" and "map 4 stands" in words, (kind, words)


@when("a controller of a serving simulated platform is lost for good")
def when_controller_lost(context: Any) -> None:
    add_adapter_to_path()
    context.world = world = PlatformWorld(seed=1)
    context.worlds.append(world)
    world.begin()
    world.remove_controller(name="guildhall-0")
    world.advance(for_ms=12_000)


@when("an empty controller replaces it")
def when_takes_place(context: Any) -> None:
    world = context.world
    world.add_controller(name="guildhall-9", zone=world.zones["guildhall-1"])
    world.advance(for_ms=8_000)


@then('each controller reports its votes as "{words}"')
def then_votes(context: Any, words: str) -> None:
    world = context.world
    for name in world.controllers:
        text = status_text(status=world.roles[name].controller.status())
        (line,) = [line for line in text.splitlines() if line.startswith("votes:")]
        assert re.search(words, line), (name, line)


@then("each controller has counted samples with missing votes")
def then_counted_missing(context: Any) -> None:
    world = context.world
    for name in world.controllers:
        assert world.contexts[name].counters.counts["vault.votesMissing"], name


@when("a simulated platform starts while one of its three seeds is unreachable")
def when_begins_short(context: Any) -> None:
    add_adapter_to_path()
    context.world = world = PlatformWorld(seed=1)
    context.worlds.append(world)
    world.network.unreachable.add("guildhall-2")
    context.absent = [world.controllers.pop(2)]
    world.begin()
    world.advance(for_ms=3_000)


@when("the missing seed starts")
def when_starts_late(context: Any) -> None:
    world = context.world
    world.controllers += context.absent
    for name in context.absent:
        world.start(name=name)
    world.advance(for_ms=4_000)


# -- hundreds of changes --


@when("a controller of a serving simulated platform has no power while {count:d} configurations are confirmed")
def when_configurations_missed(context: Any, count: int) -> None:
    add_adapter_to_path()
    context.world = world = PlatformWorld(seed=1)
    context.worlds.append(world)
    world.begin()
    context.away, *context.remaining = world.controllers
    world.power_off(name=context.away)
    world.controller_addresses.remove(world.address(name=context.away, port="control"))
    context.sizes = []
    for number in range(count):
        body = world.configuration(version=10 + 2 * number, extra=(f"extra-{number % 7}",))
        assert world.run(work=world.operator.put(body=body)) == 200
        context.sizes.append([sum(map(len, world.disks[name].files.values())) for name in context.remaining])
    context.newest = 10 + 2 * (count - 1)


@then("from the {number:d}th configuration on no disk has grown by more than a log's length")
def then_bounded(context: Any, number: int) -> None:
    early = [max(sizes) for sizes in zip(*context.sizes[:number], strict=True)]
    late = [max(sizes) for sizes in zip(*context.sizes, strict=True)]
    assert all(b - a <= MAX_LOG_BYTES for a, b in zip(early, late, strict=True)), (early, late)
    assert max(late) <= 4 * MAX_LOG_BYTES, late


@when("the controller's power returns")
def when_power_again(context: Any) -> None:
    context.world.power_on(name=context.away)


@then("within {wait_ms:d} ms it votes, knows the newest configuration, and holds it on its disk")
def then_caught_up(context: Any, wait_ms: int) -> None:
    world = context.world
    world.advance(for_ms=wait_ms)
    controller = world.roles[context.away].controller
    assert controller.register_replica.is_voter and controller.view.current
    assert controller.service_failover.plan.version == context.newest, controller.service_failover.plan.version
    # of a copy, since to open a store turns its slots over
    disk = SimDisk(rng=random.Random(0))
    disk.files = dict(world.disks[context.away].files)
    state = Store(disk=disk).open().ok.state
    assert plan_version(data=state.cells[PLAN_KEY].value) == context.newest


# -- many standbys --


@when("{count:d} empty controllers join a serving simulated platform as standbys")
def when_stand_by(context: Any, count: int) -> None:
    add_adapter_to_path()
    context.world = world = PlatformWorld(seed=1)
    context.worlds.append(world)
    world.begin()
    for number in range(count):
        world.add_controller(name=f"standby-{number}", zone=world.zones["guildhall-0"])
    world.advance(for_ms=15_000)


def watching_standbys(*, world: PlatformWorld) -> list[str]:
    """The controllers without a vote that watch the voters for a vacancy."""
    register_replicas = {name: world.roles[name].controller.register_replica for name in world.controllers}
    return [
        name
        for name, register_replica in register_replicas.items()
        if register_replica.watches_for_vacancy() and not register_replica.is_voter
    ]


@then("{count:d} standbys watch for a vacancy")
def then_watching(context: Any, count: int) -> None:
    found = watching_standbys(world=context.world)
    assert len(found) == count, found


@then("a join request is answered with the roster alone")
def then_roster_alone(context: Any) -> None:
    world = context.world
    asking, requested = (world.roles[name].controller.register_replica for name in ("standby-0", "guildhall-0"))
    packer = Packer()
    write_voter(packer=packer, voter=asking.me)
    answer = Unpacker(
        data=world.run(work=requested.dispatcher.handlers[MessageType.JOIN_REQUEST](Unpacker(data=packer.bytes())))
    )
    answer.u8()
    assert read_roster(data=answer.blob()) == requested.roster
    assert answer.many(each=lambda u: read_voter(unpacker=u)) == []


@when("the standbys that watch are lost for good")
def when_watching_lost(context: Any) -> None:
    world = context.world
    for name in watching_standbys(world=world):
        world.remove_controller(name=name)
    world.advance(for_ms=15_000)
