"""Steps that check a register replica's files against files that an earlier version wrote.

`features/compatibility/data/disk` has a folder for each example, with the files of a data folder and, in
`state.json`, the state to which they are read.
"""

import json
import random
from pathlib import Path
from typing import Any

from behave import given, then, when
from expression import Result
from stage import Stage

from cinderstair.config.service_plan import (
    PLAN_KEY,
    AcceptedVersion,
    Consistency,
    DatabaseRoute,
    Service,
    ServicePlan,
)
from cinderstair.config.shard_map import ShardMap
from cinderstair.consensus.acceptor import Acceptor
from cinderstair.consensus.ballot import Ballot
from cinderstair.consensus.durable_state import DurableState, ident_entry
from cinderstair.consensus.roster import ROSTER_KEY, Roster, Voter
from cinderstair.consensus.store import LOGS, SLOTS, Store
from cinderstair.failover.proxy_addresses import PROXY_ADDRESSES_KEY, ProxyAddress, ProxyAddresses
from cinderstair.failover.proxy_ids import PROXY_IDS_KEY, ProxyId, ProxyIds
from cinderstair.failover.service_primary import PrimaryState, ServicePrimary, service_primary_key
from cinderstair.failover.shard_state import SHARDS_KEY, ShardPhase, ShardState
from cinderstair.runtime.errors import CinderstairError
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.position import Position
from cinderstair.runtime.unpacker import Unpacker
from cinderstair.simulation.sim_disk import SimDisk

DATA = Path(__file__).resolve().parents[1] / "compatibility" / "data" / "disk"
FILES = (*SLOTS, *LOGS)
STATE_FILE = "state.json"
IDENTITY = 0x1122334455667788
OTHER_IDENTITIES = (0x2A, 0x2B, 0x2C)
PROPOSER = 0x0102030405060708
DISK_SEED = 11
PROMISE_ONLY_KEY = "service/reports"


def new_disk() -> SimDisk:
    """Creates an empty disk in memory."""
    return SimDisk(rng=random.Random(DISK_SEED))


def open_store(*, disk: SimDisk) -> Store:
    """Opens the store on a disk; fails if it is refused."""
    result = Store(disk=disk).open()
    assert result.is_ok(), result
    return result.ok


def roster(*, epoch: int) -> Roster:
    """Returns a roster of three voters; epoch 2 replaces the third voter of epoch 1."""
    others = (OTHER_IDENTITIES[0], OTHER_IDENTITIES[epoch])
    voters = [Voter(ident=IDENTITY, name="replica-1", address="10.1.0.1:7100")]
    for number, ident in enumerate(others, start=2):
        voters.append(Voter(ident=ident, name=f"replica-{number}-{ident:x}", address=f"10.1.0.{number}:7100"))
    return Roster(epoch=epoch, voters=tuple(voters))


def plan(*, version: int) -> ServicePlan:
    """Returns a configuration with two services and two databases that differ in all limits."""
    routes = [
        DatabaseRoute(
            database="orders",
            service="alpha",
            consistency=Consistency.primary,
            time_limit_us=250_000,
            rank=1,
            max_age_us=0,
        ),
        DatabaseRoute(
            database="reports",
            service="beta",
            consistency=Consistency.bounded,
            time_limit_us=4_000_000,
            rank=2,
            max_age_us=1_500_000,
        ),
    ]
    services = [
        Service(name="alpha", link_cap=40, confirmations=1),
        Service(name="beta", link_cap=8, confirmations=2),
    ]
    return ServicePlan(
        version=version,
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        idle_transaction_limit_us=30_000_000,
        document=f'{{"version": {version}}}'.encode(),
        accepted=(AcceptedVersion(version=version, digest=b"\x01\x02\x03\x04"),),
    )


def first_values() -> dict[str, bytes]:
    """Returns the values written under the roster of epoch 1, by register key."""
    assignment = ServicePrimary(term=1, primary="db-1", state=PrimaryState.settled, revision=1)
    return {
        ROSTER_KEY: roster(epoch=1).bytes(),
        PLAN_KEY: plan(version=1).bytes(),
        service_primary_key(service="alpha"): assignment.bytes(),
        PROXY_IDS_KEY: ProxyIds(names=(ProxyId(0, "pooler-1"),)).bytes(),
    }


def later_values() -> dict[str, bytes]:
    """Returns the values written under the roster of epoch 2, by register key."""
    assignment = ServicePrimary(
        term=2,
        primary="db-2",
        state=PrimaryState.moving,
        fence=Position(1, 4_096),
        ready_in_us=700_000,
        planned=True,
        revision=2,
    )
    proxy_addresses = {
        "pooler-1": ProxyAddress(site="near", records="10.2.0.1:7200"),
        "pooler-2": ProxyAddress(site="far"),
    }
    shards = ShardState(
        phase=ShardPhase.proposed,
        current=ShardMap(version=1, placements={"orders": "alpha"}),
        following=ShardMap(version=2, placements={"orders": "beta"}, agree_percent=75),
        ready_in_us=900_000,
        proposal=3,
        reason="too few agreed",
    )
    return {
        service_primary_key(service="alpha"): assignment.bytes(),
        PROXY_IDS_KEY: ProxyIds(names=(ProxyId(0, "pooler-1"), ProxyId(1, "pooler-2"))).bytes(),
        PROXY_ADDRESSES_KEY: ProxyAddresses(addresses=proxy_addresses).bytes(),
        SHARDS_KEY: shards.bytes(),
    }


class Replica:
    """A register replica's acceptor on a disk in memory; each operation sends it the corresponding records."""

    def __init__(self, *, context: Any, disk: SimDisk) -> None:
        self.stage = Stage(context=context)
        self.stage.ctx.disk = disk
        self.disk = disk
        self.round = 0
        self.epoch = 0
        self.acceptor: Acceptor | None = None

    async def start(self) -> None:
        """Opens the disk as a starting process does; writes the identity to an empty disk."""
        store = open_store(disk=self.disk)
        fresh = store.state.ident == 0
        if fresh:
            store.state.ident = IDENTITY
            store.save(entries=[ident_entry(ident=IDENTITY)])
        self.acceptor = Acceptor(ctx=self.stage.ctx, store=store, fresh=fresh, halt=lambda reason: None)

    def _encode_head(self, *, key: str, ballot: Ballot) -> Packer:
        packer = Packer().u32(value=self.epoch).text(value=key)
        ballot.write(packer=packer)
        return packer

    async def adopt(self, *, epoch: int) -> None:
        """Makes the acceptor adopt the roster of an epoch."""
        assert self.acceptor is not None
        data = Packer().blob(value=roster(epoch=epoch).bytes()).bytes()
        await self.acceptor.adopt(Unpacker(data=data))
        self.epoch = epoch

    async def promise(self, *, key: str) -> Ballot:
        """Makes the acceptor promise the next ballot for a key."""
        assert self.acceptor is not None
        self.round += 1
        ballot = Ballot(self.round, PROPOSER)
        data = self._encode_head(key=key, ballot=ballot).bytes()
        answer = await self.acceptor.prepare(Unpacker(data=data))
        assert answer[0] == 0, answer
        return ballot

    async def write(self, *, key: str, value: bytes) -> None:
        """Makes the acceptor promise and accept a value for a key."""
        assert self.acceptor is not None
        ballot = await self.promise(key=key)
        data = self._encode_head(key=key, ballot=ballot).blob(value=value).bytes()
        answer = await self.acceptor.accept(Unpacker(data=data))
        assert answer[0] == 0, answer


async def run_first_start(*, replica: Replica) -> None:
    """Writes the identity, the roster of epoch 1 and the values under it."""
    await replica.start()
    await replica.adopt(epoch=1)
    for key, value in first_values().items():
        await replica.write(key=key, value=value)


async def run_restart(*, replica: Replica) -> None:
    """Restarts the replica; writes the roster of epoch 2, the values under it, and a promise without a value."""
    await replica.start()
    await replica.write(key=ROSTER_KEY, value=roster(epoch=2).bytes())
    await replica.adopt(epoch=2)
    for key, value in later_values().items():
        await replica.write(key=key, value=value)
    await replica.promise(key=PROMISE_ONLY_KEY)


async def write_complete(*, replica: Replica) -> None:
    """Writes in two process lifetimes, so that both slots and both logs exist and the first log is sealed."""
    await run_first_start(replica=replica)
    await run_restart(replica=replica)


async def write_torn_slot(*, replica: Replica) -> None:
    """Loses power in a third start, while the older slot is replaced."""
    await write_complete(replica=replica)
    replica.disk.tear_next = True
    try:
        open_store(disk=replica.disk)
    except OSError:
        return
    raise AssertionError("the slot was not torn")


async def write_torn_log(*, replica: Replica) -> None:
    """Truncates the last entry of the log, as a power loss does before the entry is acknowledged."""
    await write_complete(replica=replica)
    name = newest_log(disk=replica.disk)
    replica.disk.files[name] = replica.disk.files[name][:-9]


async def write_lost_slot(*, replica: Replica) -> None:
    """Damages the slot in use, after the log of the previous slot was sealed."""
    await write_complete(replica=replica)
    name = SLOTS[LOGS.index(newest_log(disk=replica.disk))]
    replica.disk.files[name] = replica.disk.files[name][:-1]


async def write_newer_format(*, replica: Replica) -> None:
    """Marks one slot as written in format 2, which this version does not support."""
    await write_complete(replica=replica)
    data = replica.disk.files[SLOTS[1]]
    replica.disk.files[SLOTS[1]] = data[:7] + b"2" + data[8:]


def newest_log(*, disk: SimDisk) -> str:
    """Returns the name of the log of the slot with the highest serial number."""
    return max(LOGS, key=lambda name: disk.files[name][8:16])


EXAMPLES = {
    "complete": write_complete,
    "torn_slot": write_torn_slot,
    "torn_log": write_torn_log,
    "lost_slot": write_lost_slot,
    "newer_format": write_newer_format,
}


def write_example(*, context: Any, example: str) -> dict[str, bytes]:
    """Returns the files that the current code writes for an example, by name."""
    replica = Replica(context=context, disk=new_disk())
    replica.stage.run(work=EXAMPLES[example](replica=replica))
    return dict(replica.disk.files)


def recorded_files(*, example: str) -> dict[str, bytes]:
    """Returns the recorded files of an example, by name."""
    folder = DATA / example
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir()) if path.name != STATE_FILE}


def state_form(*, state: DurableState, torn_bytes: int) -> dict[str, Any]:
    """Returns a replica's state in the form of `state.json`."""
    cells = {
        key: {
            "promise": [f"{number:016x}" for number in (cell.promised.round, cell.promised.proposer)],
            "vote": [f"{number:016x}" for number in (cell.accepted.round, cell.accepted.proposer)],
            "content": cell.value.hex(),
        }
        for key, cell in sorted(state.cells.items())
    }
    return {
        "identity": f"{state.ident:016x}",
        "membership": state.roster.hex(),
        "registers": cells,
        "cut tail": torn_bytes,
    }


def open_result_form(*, result: Result[Store, CinderstairError]) -> dict[str, Any]:
    """Returns the result of opening a disk in the form of `state.json`: the state, or the error kind of a refusal."""
    if result.is_error():
        return {"refused": result.error.code.value}
    return state_form(state=result.ok.state, torn_bytes=result.ok.torn_bytes)


@given('the recorded disk "{example}"')
def given_recorded_disk(context: Any, example: str) -> None:
    context.example = example
    context.disk = new_disk()
    context.disk.files = recorded_files(example=example)


@given('copies of the recorded disk "{example}", each with another file marked as format {number:d}')
def given_format_marked(context: Any, example: str, number: int) -> None:
    context.copies = []
    for name in FILES:
        disk = new_disk()
        disk.files = recorded_files(example=example)
        data = disk.files[name]
        disk.files[name] = data[:6] + f"{number:02d}".encode() + data[8:]
        context.copies.append(disk)


@when("the recorded disk is opened")
def when_store_opened(context: Any) -> None:
    context.result = Store(disk=context.disk).open()


@then("the recorded disk has both slots and both logs, none of them empty")
def then_all_files(context: Any) -> None:
    assert set(context.disk.files) == {"slot-a", "slot-b", "log-a", "log-b"} == set(FILES), context.disk.files.keys()
    assert all(context.disk.files.values())


@then("the state equals the state recorded with the files")
def then_state_listed(context: Any) -> None:
    expected = json.loads((DATA / context.example / STATE_FILE).read_text())
    found = open_result_form(result=context.result)
    assert found == expected, (found, expected)


@then("the state has {count:d} registers, {promised:d} of them with a promise and no value")
def then_counted(context: Any, count: int, promised: int) -> None:
    cells = context.result.ok.state.cells
    assert len(cells) == count, cells.keys()
    assert [key for key, cell in cells.items() if not cell.value] == [PROMISE_ONLY_KEY] * promised, cells


@then("the recorded log had a truncated tail")
def then_log_truncated(context: Any) -> None:
    assert context.result.ok.torn_bytes > 0


@then("opening the disk again yields the same state and the next serial number")
def then_opened_again(context: Any) -> None:
    first = context.result.ok
    again = open_store(disk=context.disk)
    assert again.serial == first.serial + 1
    assert state_form(state=again.state, torn_bytes=0) == state_form(state=first.state, torn_bytes=0)


@then('the recorded disk is refused with an error that contains "{words}", and no byte is changed')
def then_refused(context: Any, words: str) -> None:
    assert context.result.is_error() and words in context.result.error.reason, context.result
    assert context.disk.files == recorded_files(example=context.example)


@then('each copy is refused with an error that contains "{words}", and no byte is changed')
def then_each_refused(context: Any, words: str) -> None:
    assert len(context.copies) == len(FILES)
    for disk in context.copies:
        before = dict(disk.files)
        result = Store(disk=disk).open()
        assert result.is_error() and words in result.error.reason, result
        assert disk.files == before


@then("the same operations write the recorded files, byte for byte")
def then_same_bytes(context: Any) -> None:
    found = write_example(context=context, example=context.example)
    recorded = recorded_files(example=context.example)
    assert found.keys() == recorded.keys(), (found.keys(), recorded.keys())
    for name, data in recorded.items():
        assert found[name] == data, f"{name}: {found[name].hex()} and not {data.hex()}"
