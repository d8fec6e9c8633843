"""Steps that hold records and register values against those that an earlier version wrote.

All of them are in `features/compatibility/data/record_format.json`, as hex under names of their own.
"""

import asyncio
import json
from pathlib import Path
from typing import Any

from behave import given, then, when
from cluster_stage import Cluster, new_controller, new_stage, put
from record_format_conversations import CONVERSATIONS
from record_format_examples import all_examples
from record_format_handlers import DIALOGUES, answers
from stage import Stage, plan

from cinderstair.config.check import check_configuration
from cinderstair.config.configuration import CONFIGURATION_KEY
from cinderstair.config.service_plan import PLAN_KEY, read_service_plan
from cinderstair.config.shard_map import check_shard_map
from cinderstair.consensus.roster import ROSTER_KEY
from cinderstair.control_plane import proxy_id_assigner
from cinderstair.failover import (
    database_failover,
    proxy_id_reclaimer,
    service_failover,
    shard_map_coordinator,
    window_scheduler,
)
from cinderstair.failover.database_primary import database_primary_key
from cinderstair.failover.proxy_addresses import PROXY_ADDRESSES_KEY
from cinderstair.failover.proxy_ids import PROXY_IDS_KEY
from cinderstair.failover.service_primary import service_primary_key
from cinderstair.failover.shard_state import SHARDS_KEY
from cinderstair.maintenance.window_states import WINDOWS_KEY
from cinderstair.runtime.errors import ErrorCode
from cinderstair.runtime.message_types import MESSAGE_TYPES_BY_VERSION, MessageType
from cinderstair.runtime.position import Position
from cinderstair.runtime.protocol_versions import add_version_header, split_version_header, version_rejection
from cinderstair.runtime.record_frame import encode_frame, read_frame

DATA = Path(__file__).resolve().parents[1] / "compatibility" / "data" / "record_format.json"
# a duty that nobody holds is taken within this time
TAKEN_US = 10_000_000
FRAME_NUMBER = 0x0102030405060708
FRAME_BODY = b"a record"


def frozen(*, part: str) -> Any:
    """One part of the frozen data."""
    return json.loads(DATA.read_text())[part]


def renamed_message_type(*, name: str) -> str:
    """Today's name of a message type in counters, where `renamed.json` lists another than the frozen one."""
    names = json.loads((DATA.parent / "renamed.json").read_text())["names"]
    prefix = "records.answered."
    return names.get(prefix + name, prefix + name).removeprefix(prefix)


def register_keys() -> dict[str, str]:
    """The keys under which values are kept, by what they hold."""
    return {
        "voter list": ROSTER_KEY,
        "configuration document": CONFIGURATION_KEY,
        "service configuration": PLAN_KEY,
        "slot table": PROXY_IDS_KEY,
        "place table": PROXY_ADDRESSES_KEY,
        "shard state": SHARDS_KEY,
        "window stages": WINDOWS_KEY,
        "promotion fence": service_failover.FENCE_KEY,
        "lead of the database 'orders'": database_primary_key(database="orders"),
        "lead of the service 'alpha'": service_primary_key(service="alpha"),
    }


def lease_names() -> dict[str, str]:
    """The names under which duties are leased, by the duty."""
    return {
        "shards": shard_map_coordinator.SHARD_MAP_LEASE,
        "promotion": service_failover.SERVICE_FAILOVER_LEASE,
        "slots of front ends": proxy_id_reclaimer.PROXY_ID_LEASE,
        "slots of poolers": proxy_id_assigner.PROXY_ID_LEASE,
        "windows": window_scheduler.WINDOW_LEASE,
        "database leads": database_failover.DATABASE_FAILOVER_LEASE,
    }


def without_later_probes(*, carried: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Keeps the first probe of each version: the later ones hang on the intervals at which they are sent."""
    probed: set[int] = set()
    kept = []
    for request, answer in carried:
        version, body = split_version_header(data=request)
        if body[0] == MessageType.PROBE and version in probed:
            continue
        if body[0] == MessageType.PROBE:
            probed.add(version)
        kept.append((request, answer))
    return kept


def framed() -> bytes:
    """A record as it goes over TCP."""
    return encode_frame(number=FRAME_NUMBER, body=FRAME_BODY)


def fence_after(*, context: Any, before: bytes) -> bytes:
    """The fence that the next holder of the duty of promotions writes."""
    new_stage(context=context)
    cluster = Cluster(stage=context.stage, names=("db-1", "db-2"), at=Position(3, 100), confirmations=1)
    put(context=context, key=PLAN_KEY, value=plan(confirmations=1).bytes())
    put(context=context, key=service_failover.FENCE_KEY, value=before)
    new_controller(context=context).start_failover(cluster=cluster)
    context.stage.advance(for_us=TAKEN_US)
    return context.store.values[service_failover.FENCE_KEY].value


@given("the frozen record examples")
def given_examples(context: Any) -> None:
    context.frozen = frozen(part="examples")


@then("there is one for every example that the tests make, {count:d} in all")
def then_complete(context: Any, count: int) -> None:
    assert context.frozen.keys() == all_examples().keys(), context.frozen.keys() ^ all_examples().keys()
    assert len(context.frozen) == count, len(context.frozen)


@then("each frozen example is read as the value that it was made of")
def then_read(context: Any) -> None:
    for name, example in all_examples().items():
        found = example.decode(bytes.fromhex(context.frozen[name]))
        assert found == example.value, (name, found, example.value)


@then("each frozen example, read and written again, has the same bytes")
def then_written_again(context: Any) -> None:
    for name, example in all_examples().items():
        found = example.encode(example.decode(bytes.fromhex(context.frozen[name])))
        assert found.hex() == context.frozen[name], (name, found.hex())


@then("each value that the tests make is written as the frozen bytes")
def then_written(context: Any) -> None:
    for name, example in all_examples().items():
        found = example.encode(example.value)
        assert found.hex() == context.frozen[name], (name, found.hex())


@given('the frozen dialogue with a "{daemon}"')
def given_dialogue(context: Any, daemon: str) -> None:
    context.dialogue = DIALOGUES[daemon]
    context.frozen = frozen(part="dialogues")[daemon]


@then("the frozen dialogue's requests are built with the same bytes, {count:d} in all")
def then_requests(context: Any, count: int) -> None:
    built = [(request.name, request.data.hex()) for request in context.dialogue.requests()]
    kept = [(each["name"], each["request"]) for each in context.frozen]
    assert built == kept, (built, kept)
    assert len(kept) == count, len(kept)


@then("today's handler answers the frozen requests with the same bytes")
def then_answers(context: Any) -> None:
    requested = [bytes.fromhex(each["request"]) for each in context.frozen]
    found = answers(stage=Stage(context=context), dialogue=context.dialogue, requested=requested)
    for each, answer in zip(context.frozen, found, strict=True):
        assert answer.hex() == each["answer"], (each["name"], answer.hex(), each["answer"])


@when('the frozen conversation "{subject}" is held by real clients and real handlers')
def when_conversation(context: Any, subject: str) -> None:
    context.frozen = frozen(part="conversations")[subject]
    context.carried = without_later_probes(carried=CONVERSATIONS[subject](stage=Stage(context=context)))


@then("the records that were sent and their answers have the frozen bytes, {count:d} in all")
def then_conversation(context: Any, count: int) -> None:
    kept = [(each["request"], each["answer"]) for each in context.frozen]
    found = [(request.hex(), answer.hex()) for request, answer in context.carried]
    assert found == kept, (found, kept)
    assert len(kept) == count, len(kept)


@then("the wire kinds have the frozen numbers and the frozen names in counters")
def then_kinds(context: Any) -> None:
    kept = {number: renamed_message_type(name=name) for number, name in frozen(part="wire kinds").items()}
    found = {str(int(member)): member.counter_name for member in MessageType}
    assert found == kept, found


@then("each version of the records has the frozen kinds")
def then_kinds_by_version(context: Any) -> None:
    found = {str(version): sorted(kinds) for version, kinds in MESSAGE_TYPES_BY_VERSION.items()}
    assert found == frozen(part="wire kinds by version"), found


@then("the error kinds are spelled as the frozen ones, {count:d} in all")
def then_errors(context: Any, count: int) -> None:
    kept = frozen(part="error kinds")
    assert len(kept) == count, len(kept)
    assert sorted(kind.value for kind in ErrorCode) == sorted(kept), {kind.value for kind in ErrorCode} ^ set(kept)
    assert all(ErrorCode(spelling).value == spelling for spelling in kept)


@then("the register's keys are the frozen ones")
def then_keys(context: Any) -> None:
    assert register_keys() == frozen(part="register keys"), register_keys()


@then("the names of leases are the frozen ones")
def then_leases(context: Any) -> None:
    assert lease_names() == frozen(part="lease names"), lease_names()


@then("the next holder of the promotion duty counts the frozen fence up to the frozen next one")
def then_fence(context: Any) -> None:
    kept = frozen(part="promotion fence")
    found = fence_after(context=context, before=bytes.fromhex(kept["before"]))
    assert found.hex() == kept["after"], found.hex()


@then("the frozen configuration document is accepted as version {version:d}")
def then_configuration(context: Any, version: int) -> None:
    checked = check_configuration(raw=bytes.fromhex(frozen(part="documents")["configuration"]))
    assert checked.is_ok() and checked.ok.version == version, checked


@then("the frozen shard document is accepted as version {version:d}")
def then_shard_document(context: Any, version: int) -> None:
    checked = check_shard_map(raw=bytes.fromhex(frozen(part="documents")["shards"]))
    assert checked.is_ok() and checked.ok.version == version, checked


@then("the frozen service configuration of before digests were kept is read as version {version:d}")
def then_plan_without_digests(context: Any, version: int) -> None:
    found = read_service_plan(data=bytes.fromhex(frozen(part="documents")["service configuration without digests"]))
    assert (found.version, found.accepted, found.document) == (version, (), b'{"version": 9}'), found
    assert len(found.routes) == 3 and len(found.services) == 2, found


@then("the frozen frame is read from a connection, and written with the same bytes")
def then_frame(context: Any) -> None:
    kept = bytes.fromhex(frozen(part="frame"))

    async def read() -> tuple[int, bytes]:
        reader = asyncio.StreamReader()
        reader.feed_data(kept)
        return await read_frame(reader=reader)

    assert Stage(context=context).run(work=read()) == (FRAME_NUMBER, FRAME_BODY)
    assert framed() == kept, framed().hex()


@then("the frozen marks of a version and of a denial are read and written with the same bytes")
def then_marks(context: Any) -> None:
    kept = frozen(part="marks")
    protocol_versions = Stage(context=context).ctx.protocol_versions
    assert split_version_header(data=bytes.fromhex(kept["version 2"])) == (2, FRAME_BODY)
    assert add_version_header(version=2, body=FRAME_BODY).hex() == kept["version 2"]
    assert split_version_header(data=bytes.fromhex(kept["version 1"])) == (1, FRAME_BODY)
    assert add_version_header(version=1, body=FRAME_BODY).hex() == kept["version 1"]
    assert version_rejection(protocol_versions=protocol_versions).hex() == kept["denial"]
