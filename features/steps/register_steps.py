"""Steps for the register and its leases."""

import asyncio
from typing import Any

from behave import given, then, when
from common import new_world
from expression import Error, Ok

from cinderstair.consensus.ballot import Ballot
from cinderstair.consensus.cell import Cell
from cinderstair.consensus.lease import Lease
from cinderstair.consensus.register import Register
from cinderstair.consensus.roster import Roster, Voter
from cinderstair.consensus.voter_replacement import VoterReplacement, without
from cinderstair.runtime.errors import CinderstairError, ErrorCode
from cinderstair.runtime.message_types import MessageType
from cinderstair.runtime.protocol_versions import split_version_header
from cinderstair.simulation.virtual_loop import SimProcess


@given("5 register replicas and {count:d} proposers, with seed {seed:d}")
def given_register_replicas(context: Any, count: int, seed: int) -> None:
    world = new_world(context=context, seed=seed, http_proxies=0)
    for name in world.register_replica_names:
        world.start(name=name)
    world.await_that(
        test=lambda: all(
            world.register_replica(name=n).roster is not None
            for n in world.register_replica_names
            if n in world.roles
        )
        and len(world.roles) == 5,
        within_us=20_000_000,
        what="a roster",
    )
    seeds = world.settings(name="vault-0").seeds
    context.processes = [SimProcess(name=f"proposer-{number}") for number in range(count)]
    context.registers = [
        Register(ctx=world._context(name=process.name, process=process), seeds=seeds) for process in context.processes
    ]


async def add_all(*, register: Register, times: int, log: list[tuple[str, int]]) -> None:
    for _ in range(times):
        result = await register.change(key="counter", decide=lambda data: Ok(b"%d" % (int(data or b"0") + 1)))
        if result.is_ok():
            log.append(("done", int(result.ok.value)))
        else:
            log.append(("unsure" if result.error.code == ErrorCode.REGISTER_UNSURE else "denied", 0))
        read = await register.read(key="counter")
        if read.is_ok():
            log.append(("read", int(read.ok.value or b"0")))
        await register.ctx.sleep(duration_us=register.ctx.rng.randrange(20_000, 120_000))


def inject_fault(*, world: Any, what: str) -> None:
    name = world.rng.choice(world.register_replica_names)
    if what == "register replicas killed":
        world.kill(name=name)
        world.advance(for_us=600_000)
        world.start(name=name)
    elif what == "register replicas frozen":
        world.freeze(name=name)
        world.advance(for_us=1_500_000)
        world.thaw(name=name)
    elif what == "register replicas partitioned":
        world.cut(ones=[name], others=[f"proposer-{n}" for n in range(4)], both=world.rng.random() < 0.5)
        world.advance(for_us=900_000)
        world.heal()
    elif what == "lost answers":
        for other in world.register_replica_names[:2]:
            world.cut(ones=[other], others=["proposer-0", "proposer-1"], both=False)
        world.advance(for_us=300_000)
        world.heal()
    world.advance(for_us=300_000)


@when("each proposer increments a counter 25 times with {what}")
def when_add(context: Any, what: str) -> None:
    world = context.world
    context.logs = [[] for _ in context.registers]
    tasks = [
        world.network.run_at(process=process, work=add_all(register=register, times=25, log=log))
        for process, register, log in zip(context.processes, context.registers, context.logs, strict=True)
    ]
    while not all(task.done() for task in tasks):
        inject_fault(world=world, what=what)
    assert not any(task.exception() for task in tasks)


@then("the counter includes every acknowledged increment and no refused one")
def then_counter(context: Any) -> None:
    final = int(context.world.run(work=context.registers[0].read(key="counter")).ok.value)
    done = [value for log in context.logs for word, value in log if word == "done"]
    unsure = sum(word == "unsure" for log in context.logs for word, _ in log)
    # each acknowledged increment writes another value, so no value may occur twice
    assert len(set(done)) == len(done)
    assert len(done) <= final <= len(done) + unsure, (len(done), final, unsure)
    assert len(done) > 60, len(done)


@then("no proposer reads a lower value than one it has read or written before")
def then_monotonic(context: Any) -> None:
    for log in context.logs:
        highest = 0
        for word, value in log:
            if word in ("done", "read"):
                assert value >= highest, (word, value, highest)
                highest = value


@when("a value is accepted only by vault-0 and read by a majority that includes it")
def when_minority(context: Any) -> None:
    world = context.world
    acceptor = world.register_replica(name="vault-0").acceptor
    ballot = Ballot(5, 99)
    acceptor.state.cells["lonely"] = Cell(promised=ballot, accepted=ballot, value=b"x")
    register = context.registers[0]
    world.run(work=register.find_roster())
    world.cut(ones=["vault-3", "vault-4"], others=["proposer-0"])
    context.first = world.run(work=register.read(key="lonely"))
    world.heal()


@then("every later read returns that value after vault-0 was killed")
def then_completed(context: Any) -> None:
    assert context.first.ok.value == b"x"
    context.world.kill(name="vault-0")
    for _ in range(3):
        assert context.world.run(work=context.registers[0].read(key="lonely")).ok.value == b"x"


async def keep_acquiring(*, lease: Lease) -> None:
    while True:
        await lease.try_acquire()
        await lease.ctx.sleep(duration_us=400_000)


@when("all proposers request one lease for 60 seconds, while register replicas restart and holders freeze")
def when_all_request(context: Any) -> None:
    world = context.world
    leases = [Lease(ctx=register.ctx, register=register, name="lease") for register in context.registers]
    for process, register, lease in zip(context.processes, context.registers, leases, strict=True):
        world.run(work=register.find_roster())
        world.network.run_at(process=process, work=keep_acquiring(lease=lease))
    context.held = []
    frozen: SimProcess | None = None
    for step in range(600):
        world.advance(for_us=100_000)
        context.held.append(sum(lease.held for lease in leases))
        if step % 50 == 25:
            name = world.rng.choice(world.register_replica_names)
            world.kill(name=name)
            world.start(name=name)
        if step % 100 == 60:
            holders = [process for process, lease in zip(context.processes, leases, strict=True) if lease.held]
            if frozen is not None:
                world.loop.thaw(process=frozen)
            frozen = holders[0] if holders else None
            if frozen is not None:
                world.loop.freeze(process=frozen)


@then("the lease never has two holders, and is held at least half of the time")
def then_one_holder(context: Any) -> None:
    assert max(context.held) == 1, max(context.held)
    assert sum(context.held) > len(context.held) // 2, sum(context.held)


@when("vault-0 restarts with a blank disk while vault-1 is frozen")
def when_blank(context: Any) -> None:
    world = context.world
    context.ident = world.register_replica(name="vault-0").me.ident
    context.epoch = world.register_replica(name="vault-2").roster.epoch
    world.freeze(name="vault-1")
    world.kill(name="vault-0")
    world.disks["vault-0"].wipe()
    world.start(name="vault-0")
    world.advance(for_us=15_000_000)


@then("vault-0 adopts the roster of the others and founds none")
def then_no_second_roster(context: Any) -> None:
    mine, others = context.world.register_replica(name="vault-0"), context.world.register_replica(name="vault-2")
    assert mine.me.ident != context.ident
    assert mine.roster.epoch == others.roster.epoch == context.epoch + 2, (mine.roster, others.roster)
    assert {v.ident for v in mine.roster.voters} == {v.ident for v in others.roster.voters}


async def remove_voter(*, register: Register, name: str) -> Any:
    await register.find_roster()
    ident = next(voter.ident for voter in register.roster.voters if voter.name == name)
    return await register.change_roster(alter=lambda current: without(roster=current, ident=ident))


@when("vault-0 is removed while the roster change that removes vault-1 rewrites the keys")
def when_overtaken(context: Any) -> None:
    world, (first, second) = context.world, context.registers
    change = second.change

    async def overtaken(**arguments: Any) -> Any:
        result = await change(**arguments)
        second.change = change
        # in operation the answer of any register replica with the newer roster has this effect
        assert (await remove_voter(register=first, name="vault-0")).is_ok()
        second.learn_roster(roster=first.roster)
        return result

    second.change = overtaken
    context.result = world.run(work=remove_voter(register=second, name="vault-1"))


@then("the second change is refused with versionTaken, and only vault-0 is missing from the roster")
def then_overtaken(context: Any) -> None:
    assert context.result.is_error() and context.result.error.code == ErrorCode.VERSION_TAKEN, context.result
    world, register = context.world, context.registers[0]
    assert world.run(work=register.find_roster())
    names = [voter.name for voter in register.roster.voters]
    assert names == ["vault-1", "vault-2", "vault-3", "vault-4"], names


def hold_requests(*, register: Register, test: Any) -> list[tuple[str, bytes]]:
    """Drops and collects the requests that pass the test; their senders get wireUnsure."""
    held: list[tuple[str, bytes]] = []
    request = register.ctx.net.request

    async def request_or_hold(*, address: str, body: bytes, wait_us: int) -> Any:
        if test(body):
            held.append((address, body))
            return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason="held back"))
        return await request(address=address, body=body, wait_us=wait_us)

    register.ctx.net.request = request_or_hold
    return held


def is_lease_release(body: bytes) -> bool:
    kind, length = split_version_header(data=body).body[0], int.from_bytes(body[-8:], "big")
    return kind == MessageType.LEASE and length == 0


@when("a lease is released and granted again, and the release arrives after that")
def when_late_release(context: Any) -> None:
    world, (first, second) = context.world, context.registers
    for register in (first, second):
        world.run(work=register.find_roster())
    context.leases = [Lease(ctx=register.ctx, register=register, name="lease") for register in (first, second)]
    # register replicas that have just started don't grant leases yet
    world.advance(for_us=5_000_000)
    request = first.ctx.net.request
    late = hold_requests(register=first, test=is_lease_release)
    assert world.run(work=context.leases[0].try_acquire())
    world.run(work=context.leases[0].drop())
    world.run(work=context.leases[0].try_acquire())
    assert len(late) >= 5
    for address, body in list(late):
        world.run(work=request(address=address, body=body, wait_us=500_000))


@then("exactly one of the two holds the lease after the other has requested it too")
def then_exactly_one_holder(context: Any) -> None:
    context.world.run(work=context.leases[1].try_acquire())
    assert sum(lease.held for lease in context.leases) == 1


@when("a lease is released while the answers to its request are in flight")
def when_released_in_flight(context: Any) -> None:
    world, register = context.world, context.registers[0]
    world.run(work=register.find_roster())
    world.advance(for_us=5_000_000)
    context.lease = Lease(ctx=register.ctx, register=register, name="lease")

    async def both() -> None:
        await asyncio.gather(context.lease.try_acquire(), context.lease.drop())

    world.run(work=both())


@when("two of five register replicas grant a lease, and a roster of three is learned meanwhile")
def when_smaller_roster(context: Any) -> None:
    world, register = context.world, context.registers[0]
    world.run(work=register.find_roster())
    world.advance(for_us=5_000_000)
    world.cut(ones=["vault-2", "vault-3", "vault-4"], others=["proposer-0"])
    context.lease = Lease(ctx=register.ctx, register=register, name="lease")
    poll = register.poll

    async def polled(**arguments: Any) -> Any:
        answers = await poll(**arguments)
        roster = register.roster
        register.learn_roster(roster=Roster(epoch=roster.epoch + 2, voters=roster.voters[2:]))
        return answers

    register.poll = polled
    world.run(work=context.lease.try_acquire())


@then("it is not held")
def then_not_held(context: Any) -> None:
    assert not context.lease.held


@when("a lease is granted by register replicas 0 to 2, replicas 0 and 1 are killed, and their replacement begins")
def when_two_removed(context: Any) -> None:
    world, (holder, contender, changer) = context.world, context.registers
    for register in (holder, contender):
        world.run(work=register.find_roster())
    context.leases = [Lease(ctx=register.ctx, register=register, name="lease") for register in (holder, contender)]
    world.advance(for_us=5_000_000)
    world.cut(ones=["vault-3", "vault-4"], others=["proposer-0"])
    assert world.run(work=context.leases[0].try_acquire())
    # a running register replica would rejoin the roster at once
    for name in ("vault-0", "vault-1"):
        world.kill(name=name)
    assert world.run(work=remove_voter(register=changer, name="vault-0")).is_ok()
    change = changer.change_roster

    async def once(**arguments: Any) -> Any:
        # the process that replaces a voter may end between the two roster changes
        changer.change_roster = None
        return await change(**arguments)

    changer.change_roster = once
    enters = Voter(ident=77, name="vault-9", address="10.0.0.99:7100")
    voter_replacement = VoterReplacement(ctx=changer.ctx, register=changer)
    world.network.run_at(
        process=context.processes[2],
        work=voter_replacement.replace_voter(leaves="vault-1", enters=enters, max_voters=5),
    )
    world.advance(for_us=1_000_000)
    world.run(work=contender.find_roster())
