"""Steps for the storage of a register replica."""

import random
from typing import Any

from behave import given, then, when
from common import new_world

from cinderstair.consensus.ballot import Ballot
from cinderstair.consensus.cell import Cell
from cinderstair.consensus.durable_state import apply_entry, cell_entry
from cinderstair.consensus.store import LOGS, SLOTS, Store
from cinderstair.simulation.sim_disk import SimDisk


def entry(*, number: int, size: int = 20) -> bytes:
    ballot = Ballot(number + 1, 7)
    return cell_entry(key=f"k{number}", cell=Cell(promised=ballot, accepted=ballot, value=b"v" * size))


def save(*, store: Store, number: int, size: int = 20) -> None:
    """Applies an entry to the state and then saves it, as the acceptor does."""
    data = entry(number=number, size=size)
    apply_entry(state=store.state, entry=data)
    store.save(entries=[data])


def new_disk() -> SimDisk:
    return SimDisk(rng=random.Random(5))


def copied(*, disk: SimDisk) -> SimDisk:
    other = new_disk()
    other.files = dict(disk.files)
    return other


def opened(*, disk: SimDisk) -> Store:
    result = Store(disk=disk).open()
    assert result.is_ok(), result
    return result.ok


@given("a store with {count:d} saved entries")
def given_store(context: Any, count: int) -> None:
    context.disk = new_disk()
    store = opened(disk=context.disk)
    for number in range(count):
        context.before = dict(context.disk.files)
        save(store=store, number=number)


@when("its last append is truncated at every byte")
def when_cut(context: Any) -> None:
    name = next(n for n in LOGS if context.disk.files.get(n) != context.before.get(n))
    whole, old = context.disk.files[name], context.before[name]
    context.found = []
    for length in range(len(old), len(whole) + 1):
        disk = copied(disk=context.disk)
        disk.files[name] = whole[:length]
        context.found.append((length == len(whole), opened(disk=disk).state.cells))


@then("the first 4 entries are always present, and the fifth is complete or absent")
def then_complete(context: Any) -> None:
    for complete, cells in context.found:
        assert [f"k{n}" in cells for n in range(5)] == [True] * 4 + [complete], cells.keys()


@given("stores that crash at every write while {count:d} large entries are saved")
def given_crashes(context: Any, count: int) -> None:
    context.results = []
    crash_at = 0
    while True:
        disk = new_disk()
        store = opened(disk=disk)
        answered, crashed = 0, False
        for number in range(count):
            if disk.syncs >= crash_at:
                disk.tear_next = True
            try:
                save(store=store, number=number, size=4_000)
            except OSError:
                crashed = True
                break
            # a save that switches slots makes several writes; each of them crashes in one run
            answered = number + 1
            if disk.syncs == crash_at - 1:
                disk.tear_next = True
        context.results.append((answered, disk))
        if not crashed:
            break
        crash_at += 1


@then("each store has every entry whose save returned")
def then_answered(context: Any) -> None:
    assert len(context.results) > 400
    for answered, disk in context.results:
        disk.tear_next = False
        cells = opened(disk=disk).state.cells
        assert all(f"k{number}" in cells for number in range(answered)), answered


@given("a store that has switched slots")
def given_switched(context: Any) -> None:
    context.disk = new_disk()
    store = opened(disk=context.disk)
    for number in range(200):
        save(store=store, number=number, size=4_000)
    assert store.serial > 2
    context.store = store


def damage(*, disk: SimDisk, name: str) -> None:
    data = bytearray(disk.files[name])
    data[len(data) // 2] ^= 0x40
    disk.files[name] = bytes(data)


@when("both slots are damaged")
def when_both(context: Any) -> None:
    for name in SLOTS:
        damage(disk=context.disk, name=name)


@when("the slot in use is damaged")
def when_current(context: Any) -> None:
    damage(disk=context.disk, name=SLOTS[context.store.slot])


@when("both slots are gone and the logs remain")
def when_slots_missing(context: Any) -> None:
    for name in SLOTS:
        del context.disk.files[name]


@when("each of its files in turn is given a newer format number")
def when_newer(context: Any) -> None:
    context.newer = []
    for name in (*SLOTS, *LOGS):
        disk = copied(disk=context.disk)
        # each file starts with a magic of 8 bytes, which ends with the format number
        disk.files[name] = disk.files[name].replace(disk.files[name][:8], disk.files[name][:7] + b"2", 1)
        context.newer.append(disk)


@then('opening it fails each time with the words "{words}", and leaves the files unchanged')
def then_unchanged(context: Any, words: str) -> None:
    assert len(context.newer) == 4
    for disk in context.newer:
        before = dict(disk.files)
        result = Store(disk=disk).open()
        assert result.is_error() and words in result.error.reason, result
        assert disk.files == before


@then('opening it fails with the words "{words}"')
def then_fails(context: Any, words: str) -> None:
    result = Store(disk=context.disk).open()
    assert result.is_error() and words in result.error.reason, result


@given("a world with a register replica whose next sync fails")
def given_failing(context: Any) -> None:
    world = new_world(context=context, seed=3)
    world.begin()
    world.disks["vault-1"].fail_next = True


@when("an operator submits a configuration")
def when_submits(context: Any) -> None:
    body = context.world.configuration(version=2)
    context.status, _ = context.world.ask(name="stall-1", method="PUT", path="/v1/configuration", body=body)
    context.world.advance(for_us=1_000_000)


@then('that register replica halts with the words "{words}"')
def then_halted(context: Any, words: str) -> None:
    assert words in context.world.halted.get("vault-1", ""), context.world.halted


@then("the other register replicas accept the configuration")
def then_accepted(context: Any) -> None:
    assert context.status == 200, context.status
