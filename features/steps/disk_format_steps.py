"""Steps that hold a register replica's files against those that an earlier version wrote.

The files lie under `features/compatibility/data/disk`, one folder an example, each under the name that it has in a
data folder. The state that they stand for lies beside them as JSON.
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
    """An empty disk in memory."""
    return SimDisk(rng=random.Random(DISK_SEED))


def opened(*, disk: SimDisk) -> Store:
    """The store on a disk that is not damaged."""
    result = Store(disk=disk).open()
    assert result.is_ok(), result
    return result.ok


def roster(*, epoch: int) -> Roster:
    """Three voters; the second epoch has another third one."""
    others = (OTHER_IDENTITIES[0], OTHER_IDENTITIES[epoch])
    voters = [Voter(ident=IDENTITY, name="replica-1", address="10.1.0.1:7100")]
    for number, ident in enumerate(others, start=2):
        voters.append(Voter(ident=ident, name=f"replica-{number}-{ident:x}", address=f"10.1.0.{number}:7100"))
    return Roster(epoch=epoch, voters=tuple(voters))


def plan(*, version: int) -> ServicePlan:
    """A configuration with two services; both its databases have limits of their own."""
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
    """What the register holds under the first roster, by key."""
    assignment = ServicePrimary(term=1, primary="db-1", state=PrimaryState.settled, revision=1)
    return {
        ROSTER_KEY: roster(epoch=1).bytes(),
        PLAN_KEY: plan(version=1).bytes(),
        service_primary_key(service="alpha"): assignment.bytes(),
        PROXY_IDS_KEY: ProxyIds(names=(ProxyId(0, "pooler-1"),)).bytes(),
    }


def later_values() -> dict[str, bytes]:
    """What is written under the second roster, by key."""
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
    """A register replica's vote on a disk in memory; every operation is one record that it is asked."""

    def __init__(self, *, context: Any, disk: SimDisk) -> None:
        self.stage = Stage(context=context)
        self.stage.ctx.disk = disk
        self.disk = disk
        self.round = 0
        self.epoch = 0
        self.acceptor: Acceptor | None = None

    async def start(self) -> None:
        """Opens the disk, as a process does when it starts; a blank disk gets its identity."""
        store = opened(disk=self.disk)
        fresh = store.state.ident == 0
        if fresh:
            store.state.ident = IDENTITY
            store.save(entries=[ident_entry(ident=IDENTITY)])
        self.acceptor = Acceptor(ctx=self.stage.ctx, store=store, fresh=fresh, halt=lambda reason: None)

    def _head(self, *, key: str, ballot: Ballot) -> Packer:
        packer = Packer().u32(value=self.epoch).text(value=key)
        ballot.write(packer=packer)
        return packer

    async def adopt(self, *, epoch: int) -> None:
        """Tells it of a roster."""
        assert self.acceptor is not None
        data = Packer().blob(value=roster(epoch=epoch).bytes()).bytes()
        await self.acceptor.adopt(Unpacker(data=data))
        self.epoch = epoch

    async def promise(self, *, key: str) -> Ballot:
        """Has it promise the next ballot for a key."""
        assert self.acceptor is not None
        self.round += 1
        ballot = Ballot(self.round, PROPOSER)
        data = self._head(key=key, ballot=ballot).bytes()
        answer = await self.acceptor.prepare(Unpacker(data=data))
        assert answer[0] == 0, answer
        return ballot

    async def write(self, *, key: str, value: bytes) -> None:
        """Has it promise and accept a value."""
        assert self.acceptor is not None
        ballot = await self.promise(key=key)
        data = self._head(key=key, ballot=ballot).blob(value=value).bytes()
        answer = await self.acceptor.accept(Unpacker(data=data))
        assert answer[0] == 0, answer


async def run_first_life(*, replica: Replica) -> None:
    """Identity, the roster of epoch 1 and what is written under it."""
    await replica.start()
    await replica.adopt(epoch=1)
    for key, value in first_values().items():
        await replica.write(key=key, value=value)


async def run_second_life(*, replica: Replica) -> None:
    """A restart, the roster of epoch 2, what is written under it, and a promise without a value."""
    await replica.start()
    await replica.write(key=ROSTER_KEY, value=roster(epoch=2).bytes())
    await replica.adopt(epoch=2)
    for key, value in later_values().items():
        await replica.write(key=key, value=value)
    await replica.promise(key=PROMISE_ONLY_KEY)


async def write_complete(*, replica: Replica) -> None:
    """Two lives: both slots and both logs are there, and the first log is sealed."""
    await run_first_life(replica=replica)
    await run_second_life(replica=replica)


async def write_torn_slot(*, replica: Replica) -> None:
    """A third start loses power while it replaces the older slot."""
    await write_complete(replica=replica)
    replica.disk.tear_next = True
    try:
        opened(disk=replica.disk)
    except OSError:
        return
    raise AssertionError("the slot was not torn")


async def write_torn_log(*, replica: Replica) -> None:
    """The last entry of the log is cut short, and was never answered."""
    await write_complete(replica=replica)
    name = newest_log(disk=replica.disk)
    replica.disk.files[name] = replica.disk.files[name][:-9]


async def write_lost_slot(*, replica: Replica) -> None:
    """The slot in use is damaged after the log of the one before it was sealed."""
    await write_complete(replica=replica)
    name = SLOTS[LOGS.index(newest_log(disk=replica.disk))]
    replica.disk.files[name] = replica.disk.files[name][:-1]


async def write_newer_format(*, replica: Replica) -> None:
    """One slot is in a format of which this version knows nothing."""
    await write_complete(replica=replica)
    data = replica.disk.files[SLOTS[1]]
    replica.disk.files[SLOTS[1]] = data[:7] + b"2" + data[8:]


def newest_log(*, disk: SimDisk) -> str:
    """The log that follows the slot with the highest serial number."""
    return max(LOGS, key=lambda name: disk.files[name][8:16])


EXAMPLES = {
    "complete": write_complete,
    "torn_slot": write_torn_slot,
    "torn_log": write_torn_log,
    "lost_slot": write_lost_slot,
    "newer_format": write_newer_format,
}


def written(*, context: Any, example: str) -> dict[str, bytes]:
    """The files that today's code writes for an example, by name."""
    replica = Replica(context=context, disk=new_disk())
    replica.stage.run(work=EXAMPLES[example](replica=replica))
    return dict(replica.disk.files)


def frozen_files(*, example: str) -> dict[str, bytes]:
    """The files that lie in an example's folder, by name."""
    folder = DATA / example
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir()) if path.name != STATE_FILE}


def state_of(*, held: DurableState, torn_bytes: int) -> dict[str, Any]:
    """A replica's state in the plain form that is kept beside the files."""
    cells = {
        key: {
            "promise": [f"{number:016x}" for number in (cell.promised.round, cell.promised.proposer)],
            "vote": [f"{number:016x}" for number in (cell.accepted.round, cell.accepted.proposer)],
            "content": cell.value.hex(),
        }
        for key, cell in sorted(held.cells.items())
    }
    return {
        "identity": f"{held.ident:016x}",
        "membership": held.roster.hex(),
        "registers": cells,
        "cut tail": torn_bytes,
    }


def outcome_of(*, result: Result[Store, CinderstairError]) -> dict[str, Any]:
    """What opening a disk came to, in the plain form that is kept beside the files."""
    if result.is_error():
        return {"refused": result.error.code.value}
    return state_of(held=result.ok.state, torn_bytes=result.ok.torn_bytes)


@given('the frozen disk "{example}"')
def given_frozen_disk(context: Any, example: str) -> None:
    context.example = example
    context.disk = new_disk()
    context.disk.files = frozen_files(example=example)


@given('the frozen disk "{example}" with each of its files in turn marked as format {number:d}')
def given_marked(context: Any, example: str, number: int) -> None:
    context.marked = []
    for name in FILES:
        disk = new_disk()
        disk.files = frozen_files(example=example)
        data = disk.files[name]
        disk.files[name] = data[:6] + f"{number:02d}".encode() + data[8:]
        context.marked.append(disk)


@when("the frozen disk is opened")
def when_opened(context: Any) -> None:
    context.result = Store(disk=context.disk).open()


@then("the frozen disk has both slots and both logs, none of them empty")
def then_all_files(context: Any) -> None:
    assert set(context.disk.files) == {"slot-a", "slot-b", "log-a", "log-b"} == set(FILES), context.disk.files.keys()
    assert all(context.disk.files.values())


@then("the state is that listed beside the frozen files")
def then_listed(context: Any) -> None:
    listed = json.loads((DATA / context.example / STATE_FILE).read_text())
    found = outcome_of(result=context.result)
    assert found == listed, (found, listed)


@then("the frozen state has {count:d} registers, {promised:d} of them with a promise alone")
def then_counted(context: Any, count: int, promised: int) -> None:
    cells = context.result.ok.state.cells
    assert len(cells) == count, cells.keys()
    assert [key for key, cell in cells.items() if not cell.value] == [PROMISE_ONLY_KEY] * promised, cells


@then("the frozen state has more than nothing cut from its log")
def then_cut(context: Any) -> None:
    assert context.result.ok.torn_bytes > 0


@then("the state is that of a store that was opened once more")
def then_opened_again(context: Any) -> None:
    first = context.result.ok
    again = opened(disk=context.disk)
    assert again.serial == first.serial + 1
    assert state_of(held=again.state, torn_bytes=0) == state_of(held=first.state, torn_bytes=0)


@then('the frozen disk is refused with the words "{words}", and not one byte is changed')
def then_refused(context: Any, words: str) -> None:
    assert context.result.is_error() and words in context.result.error.reason, context.result
    assert context.disk.files == frozen_files(example=context.example)


@then('each of these frozen disks is refused with the words "{words}", and not one byte is changed')
def then_each_refused(context: Any, words: str) -> None:
    assert len(context.marked) == len(FILES)
    for disk in context.marked:
        before = dict(disk.files)
        result = Store(disk=disk).open()
        assert result.is_error() and words in result.error.reason, result
        assert disk.files == before


@then("the same operations write the frozen files, byte for byte")
def then_same_bytes(context: Any) -> None:
    found = written(context=context, example=context.example)
    frozen = frozen_files(example=context.example)
    assert found.keys() == frozen.keys(), (found.keys(), frozen.keys())
    for name, data in frozen.items():
        assert found[name] == data, f"{name}: {found[name].hex()} and not {data.hex()}"
