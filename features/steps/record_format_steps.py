"""Steps that check records and register values against those that an earlier version wrote.

They are in `features/compatibility/data/record_format.json`, in hexadecimal and by the names of the examples.
"""

import asyncio
import json
from pathlib import Path
from typing import Any

from behave import given, then, when
from cluster_stage import Cluster, new_controller, new_stage, put
from record_format_conversations import CONVERSATIONS
from record_format_examples import all_examples
from record_format_handlers import DIALOGUES, handler_answers
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
# a free lease is acquired within this time
LEASE_ACQUIRED_US = 10_000_000
FRAME_NUMBER = 0x0102030405060708
FRAME_BODY = b"a record"


def recorded(*, part: str) -> Any:
    """Loads one part of the recorded data."""
    return json.loads(DATA.read_text())[part]


def renamed_message_type(*, name: str) -> str:
    """Returns a message type's current name in counters, given the recorded one; `renamed.json` lists renames."""
    names = json.loads((DATA.parent / "renamed.json").read_text())["names"]
    prefix = "records.answered."
    return names.get(prefix + name, prefix + name).removeprefix(prefix)


def register_keys() -> dict[str, str]:
    """Returns the register keys by the recorded names of their contents."""
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
    """Returns the lease names by the recorded names of their purposes."""
    return {
        "shards": shard_map_coordinator.SHARD_MAP_LEASE,
        "promotion": service_failover.SERVICE_FAILOVER_LEASE,
        "slots of front ends": proxy_id_reclaimer.PROXY_ID_LEASE,
        "slots of poolers": proxy_id_assigner.PROXY_ID_LEASE,
        "windows": window_scheduler.WINDOW_LEASE,
        "database leads": database_failover.DATABASE_FAILOVER_LEASE,
    }


def without_later_probes(*, exchanges: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Keeps the first probe of each protocol version; the number of later ones depends on the probe interval."""
    probed: set[int] = set()
    remaining = []
    for request, answer in exchanges:
        version, body = split_version_header(data=request)
        if body[0] == MessageType.PROBE and version in probed:
            continue
        if body[0] == MessageType.PROBE:
            probed.add(version)
        remaining.append((request, answer))
    return remaining


def encoded_frame() -> bytes:
    """Encodes a record as it is sent over TCP."""
    return encode_frame(number=FRAME_NUMBER, body=FRAME_BODY)


def next_fence(*, context: Any, before: bytes) -> bytes:
    """Returns the fence that a new holder of the promotion lease writes, given the stored one."""
    new_stage(context=context)
    cluster = Cluster(stage=context.stage, names=("db-1", "db-2"), at=Position(3, 100), confirmations=1)
    put(context=context, key=PLAN_KEY, value=plan(confirmations=1).bytes())
    put(context=context, key=service_failover.FENCE_KEY, value=before)
    new_controller(context=context).start_failover(cluster=cluster)
    context.stage.advance(for_us=LEASE_ACQUIRED_US)
    return context.store.values[service_failover.FENCE_KEY].value


@given("the recorded examples")
def given_examples(context: Any) -> None:
    context.recorded = recorded(part="examples")


@then("there is one for each example of the tests, {count:d} in all")
def then_complete(context: Any, count: int) -> None:
    assert context.recorded.keys() == all_examples().keys(), context.recorded.keys() ^ all_examples().keys()
    assert len(context.recorded) == count, len(context.recorded)


@then("each recorded example is decoded to the value of its example")
def then_read(context: Any) -> None:
    for name, example in all_examples().items():
        found = example.decode(bytes.fromhex(context.recorded[name]))
        assert found == example.value, (name, found, example.value)


@then("each recorded example, decoded and encoded again, has the same bytes")
def then_written_again(context: Any) -> None:
    for name, example in all_examples().items():
        found = example.encode(example.decode(bytes.fromhex(context.recorded[name])))
        assert found.hex() == context.recorded[name], (name, found.hex())


@then("each example's value is encoded to the recorded bytes")
def then_written(context: Any) -> None:
    for name, example in all_examples().items():
        found = example.encode(example.value)
        assert found.hex() == context.recorded[name], (name, found.hex())


@given('the recorded dialogue with a "{daemon}"')
def given_dialogue(context: Any, daemon: str) -> None:
    context.dialogue = DIALOGUES[daemon]
    context.recorded = recorded(part="dialogues")[daemon]


@then("its requests are encoded to the recorded bytes, {count:d} in all")
def then_requests(context: Any, count: int) -> None:
    built = [(request.name, request.data.hex()) for request in context.dialogue.requests()]
    expected = [(each["name"], each["request"]) for each in context.recorded]
    assert built == expected, (built, expected)
    assert len(expected) == count, len(expected)


@then("the handler answers the recorded requests with the recorded bytes")
def then_answers(context: Any) -> None:
    request_data = [bytes.fromhex(each["request"]) for each in context.recorded]
    found = handler_answers(stage=Stage(context=context), dialogue=context.dialogue, request_data=request_data)
    for each, answer in zip(context.recorded, found, strict=True):
        assert answer.hex() == each["answer"], (each["name"], answer.hex(), each["answer"])


@when('the recorded conversation "{subject}" is repeated by real clients and handlers')
def when_conversation(context: Any, subject: str) -> None:
    context.recorded = recorded(part="conversations")[subject]
    context.exchanges = without_later_probes(exchanges=CONVERSATIONS[subject](stage=Stage(context=context)))


@then("the sent records and their answers have the recorded bytes, {count:d} in all")
def then_conversation(context: Any, count: int) -> None:
    expected = [(each["request"], each["answer"]) for each in context.recorded]
    found = [(request.hex(), answer.hex()) for request, answer in context.exchanges]
    assert found == expected, (found, expected)
    assert len(expected) == count, len(expected)


@then("the message types have the recorded numbers and names in counters")
def then_message_types(context: Any) -> None:
    expected = {number: renamed_message_type(name=name) for number, name in recorded(part="wire kinds").items()}
    found = {str(int(member)): member.counter_name for member in MessageType}
    assert found == expected, found


@then("each protocol version has the recorded message types")
def then_message_types_by_version(context: Any) -> None:
    found = {str(version): sorted(types) for version, types in MESSAGE_TYPES_BY_VERSION.items()}
    assert found == recorded(part="wire kinds by version"), found


@then("the error kinds have the recorded spelling, {count:d} in all")
def then_error_kinds(context: Any, count: int) -> None:
    expected = recorded(part="error kinds")
    assert len(expected) == count, len(expected)
    assert sorted(kind.value for kind in ErrorCode) == sorted(expected), {kind.value for kind in ErrorCode} ^ set(
        expected
    )
    assert all(ErrorCode(spelling).value == spelling for spelling in expected)


@then("the register keys are the recorded ones")
def then_keys(context: Any) -> None:
    assert register_keys() == recorded(part="register keys"), register_keys()


@then("the lease names are the recorded ones")
def then_leases(context: Any) -> None:
    assert lease_names() == recorded(part="lease names"), lease_names()


@then("the next holder of the promotion lease increments the recorded fence to the recorded next one")
def then_fence(context: Any) -> None:
    expected = recorded(part="promotion fence")
    found = next_fence(context=context, before=bytes.fromhex(expected["before"]))
    assert found.hex() == expected["after"], found.hex()


@then("the recorded configuration document is accepted as version {version:d}")
def then_configuration(context: Any, version: int) -> None:
    checked = check_configuration(raw=bytes.fromhex(recorded(part="documents")["configuration"]))
    assert checked.is_ok() and checked.ok.version == version, checked


@then("the recorded shard map document is accepted as version {version:d}")
def then_shard_document(context: Any, version: int) -> None:
    checked = check_shard_map(raw=bytes.fromhex(recorded(part="documents")["shards"]))
    assert checked.is_ok() and checked.ok.version == version, checked


@then("the recorded service configuration without digests is decoded as version {version:d}")
def then_plan_without_digests(context: Any, version: int) -> None:
    found = read_service_plan(data=bytes.fromhex(recorded(part="documents")["service configuration without digests"]))
    assert (found.version, found.accepted, found.document) == (version, (), b'{"version": 9}'), found
    assert len(found.routes) == 3 and len(found.services) == 2, found


@then("the recorded frame is read from a connection, and written with the same bytes")
def then_frame(context: Any) -> None:
    expected = bytes.fromhex(recorded(part="frame"))

    async def read() -> tuple[int, bytes]:
        reader = asyncio.StreamReader()
        reader.feed_data(expected)
        return await read_frame(reader=reader)

    assert Stage(context=context).run(work=read()) == (FRAME_NUMBER, FRAME_BODY)
    assert encoded_frame() == expected, encoded_frame().hex()


@then("the recorded version headers and version rejection are read and written with the same bytes")
def then_version_headers(context: Any) -> None:
    expected = recorded(part="marks")
    protocol_versions = Stage(context=context).ctx.protocol_versions
    assert split_version_header(data=bytes.fromhex(expected["version 2"])) == (2, FRAME_BODY)
    assert add_version_header(version=2, body=FRAME_BODY).hex() == expected["version 2"]
    assert split_version_header(data=bytes.fromhex(expected["version 1"])) == (1, FRAME_BODY)
    assert add_version_header(version=1, body=FRAME_BODY).hex() == expected["version 1"]
    assert version_rejection(protocol_versions=protocol_versions).hex() == expected["denial"]
