"""Steps for the encoding of relay records, plans, announcements, primary assignments and proxy tables."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from behave import given, then

from cinderstair.config.service_plan import (
    DIGEST_BYTES,
    AcceptedVersion,
    Consistency,
    DatabaseRoute,
    Service,
    ServicePlan,
    plan_version,
    read_service_plan,
)
from cinderstair.consensus.ballot import Ballot
from cinderstair.failover.proxy_addresses import ProxyAddress, ProxyAddresses, read_proxy_addresses
from cinderstair.failover.proxy_ids import ProxyId, ProxyIds, read_proxy_ids
from cinderstair.failover.service_primary import PrimaryState, ServicePrimary, read_service_primary
from cinderstair.membership.announcement import GONE, STATES, Announcement, read_announcement
from cinderstair.membership.pooled_sample import PooledSample, ReportedSample, WantedSample
from cinderstair.membership.relay_record import (
    RelayAnswer,
    RelayedBackend,
    RelayedValue,
    RelayQuestion,
    read_relay_answer,
    read_relay_question,
)
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.position import Position
from cinderstair.runtime.unpacker import Unpacker

EDGES_32 = (0, 1, 2**31, 2**32 - 1)
EDGES_64 = (0, 1, 2**32, 2**63, 2**64 - 1)
TEXTS = ("", "a", "s-1", "Überfahrt", "\U0001f6f6", "x" * 300, " \r\n\0")


def text(rng: random.Random) -> str:
    return rng.choice(TEXTS) + str(rng.randrange(3))


def u32(rng: random.Random) -> int:
    return rng.choice(EDGES_32) if rng.random() < 0.5 else rng.getrandbits(32)


def u64(rng: random.Random) -> int:
    return rng.choice(EDGES_64) if rng.random() < 0.5 else rng.getrandbits(64)


def announcement(rng: random.Random) -> Announcement:
    return Announcement(
        name=text(rng),
        number=u64(rng),
        service=text(rng),
        address=text(rng),
        site=text(rng),
        state=rng.choice(STATES),
        is_primary=rng.random() < 0.5,
        capacity=u32(rng),
    )


def plan(rng: random.Random) -> ServicePlan:
    routes = [
        DatabaseRoute(
            database=f"{text(rng)}{n}",
            service=text(rng),
            consistency=rng.choice(list(Consistency)),
            time_limit_us=u64(rng),
            rank=u32(rng),
            max_age_us=u64(rng),
        )
        for n in range(rng.randrange(5))
    ]
    services = [
        Service(name=f"{text(rng)}{n}", link_cap=u32(rng), confirmations=u32(rng)) for n in range(rng.randrange(4))
    ]
    accepted = tuple(
        AcceptedVersion(version=u64(rng), digest=rng.randbytes(DIGEST_BYTES)) for _ in range(rng.randrange(6))
    )
    return ServicePlan(
        version=u64(rng),
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        idle_transaction_limit_us=u64(rng),
        document=rng.randbytes(rng.randrange(80)),
        accepted=accepted,
    )


def primary(rng: random.Random) -> ServicePrimary:
    return ServicePrimary(
        term=u64(rng),
        primary=text(rng),
        state=rng.choice(list(PrimaryState)),
        fence=Position(u64(rng), u64(rng)),
        ready_in_us=u64(rng),
        planned=rng.random() < 0.5,
    )


def question(rng: random.Random) -> RelayQuestion:
    return RelayQuestion(
        proxy=text(rng),
        site=text(rng),
        source=u64(rng),
        revision=u64(rng),
        suspected=tuple(text(rng) for _ in range(rng.randrange(4))),
        samples=tuple(
            ReportedSample(
                service=text(rng), term=u64(rng), moment_us=u64(rng), position=Position(u64(rng), u64(rng))
            )
            for _ in range(rng.randrange(4))
        ),
        wanted=tuple(WantedSample(service=text(rng), revision=u64(rng)) for _ in range(rng.randrange(4))),
        brief=rng.random() < 0.5,
    )


def answer(rng: random.Random) -> RelayAnswer:
    return RelayAnswer(
        source=u64(rng),
        revision=u64(rng),
        age_us=u64(rng),
        full=rng.random() < 0.5,
        values=tuple(
            RelayedValue(key=text(rng), ballot=Ballot(u64(rng), u64(rng)), value=rng.randbytes(rng.randrange(50)))
            for _ in range(rng.randrange(4))
        ),
        backends=tuple(
            RelayedBackend(announcement=announcement(rng), silent=rng.random() < 0.5) for _ in range(rng.randrange(4))
        ),
        controllers=tuple(text(rng) for _ in range(rng.randrange(4))),
        answered_us=u64(rng),
        samples=tuple(
            PooledSample(
                service=text(rng),
                term=u64(rng),
                age_us=u64(rng),
                position=Position(u64(rng), u64(rng)),
                revision=u64(rng),
            )
            for _ in range(rng.randrange(4))
        ),
        ask=tuple(text(rng) for _ in range(rng.randrange(4))),
        site=text(rng),
    )


def proxy_ids(rng: random.Random) -> ProxyIds:
    return ProxyIds(names=tuple(ProxyId(n, text(rng)) for n in range(rng.randrange(5))))


def proxy_addresses(rng: random.Random) -> ProxyAddresses:
    return ProxyAddresses(
        addresses={text(rng): ProxyAddress(site=text(rng), records=text(rng)) for _ in range(rng.randrange(5))}
    )


def packed(record: Any) -> bytes:
    packer = Packer()
    record.write(packer=packer)
    return packer.bytes()


def unpacked_announcement(data: bytes) -> Announcement:
    unpacker = Unpacker(data=data)
    found = read_announcement(unpacker=unpacker)
    unpacker.done()
    return found


def encoded(record: Any) -> bytes:
    return record.bytes()


@dataclass(frozen=True, kw_only=True)
class RecordKind:
    """Generates, encodes and decodes random records of one kind.

    `seed` is part of the random seed. `empty_is_read` is whether an empty encoding is valid.
    """

    seed: str
    make: Callable[[random.Random], Any]
    write: Callable[[Any], bytes]
    read: Callable[[bytes], Any]
    empty_is_read: bool = False


RECORD_KINDS = {
    "announcements": RecordKind(seed="announcements", make=announcement, write=packed, read=unpacked_announcement),
    "service plans": RecordKind(
        seed="service plans", make=plan, write=encoded, read=lambda data: read_service_plan(data=data)
    ),
    "service primaries": RecordKind(
        seed="service leads", make=primary, write=encoded, read=lambda data: read_service_primary(data=data)
    ),
    "relay questions": RecordKind(
        seed="relay questions",
        make=question,
        write=packed,
        read=lambda data: read_relay_question(unpacker=Unpacker(data=data)),
    ),
    "relay answers": RecordKind(
        seed="relay answers", make=answer, write=encoded, read=lambda data: read_relay_answer(data=data)
    ),
    "proxy ids": RecordKind(
        seed="slots", make=proxy_ids, write=encoded, read=lambda data: read_proxy_ids(data=data), empty_is_read=True
    ),
    "proxy addresses": RecordKind(
        seed="places", make=proxy_addresses, write=encoded, read=lambda data: read_proxy_addresses(data=data)
    ),
}


@given("{count:d} {records} from a seed")
def given_records(context: Any, count: int, records: str) -> None:
    context.kind = RECORD_KINDS[records]
    context.rng = random.Random(f"records/{context.kind.seed}")
    context.records = [context.kind.make(context.rng) for _ in range(count)]


@then("each is decoded to the record that was encoded")
def then_round_trip(context: Any) -> None:
    for record in context.records:
        data = context.kind.write(record)
        found = context.kind.read(data)
        assert found == record, (found, record)
        assert context.kind.write(found) == data


@then("each truncated encoding, and each with an extra byte, is refused with a ValueError")
def then_truncated(context: Any) -> None:
    for record in context.records[:12]:
        data = context.kind.write(record)
        broken = [data[:end] for end in range(len(data))] + [data + b"\0"]
        # an empty encoding stands for proxy ids that were never assigned
        for each in broken[1:] if context.kind.empty_is_read else broken:
            try:
                found = context.kind.read(each)
            except ValueError:
                continue
            raise AssertionError(f"read from {len(each)} of {len(data)} bytes: {found}")


@then("each encoding with changed bytes is decoded or refused with a ValueError")
def then_changed(context: Any) -> None:
    refused = 0
    for record in context.records:
        for _ in range(10):
            data = bytearray(context.kind.write(record))
            for _ in range(context.rng.randrange(1, 4)):
                data[context.rng.randrange(len(data))] = context.rng.choice([0, 1, 255, context.rng.randrange(256)])
            try:
                context.kind.read(bytes(data))
            except ValueError:
                refused += 1
    assert refused > len(context.records), refused


@then("random bytes are decoded or refused with a ValueError")
def then_random_bytes(context: Any) -> None:
    for _ in range(2_000):
        try:
            context.kind.read(context.rng.randbytes(context.rng.randrange(1, 120)))
        except ValueError:
            continue


@then("version {version:d} is read from the first 8 bytes, and 0 from an empty encoding")
def then_version(context: Any, version: int) -> None:
    data = ServicePlan(version=version).bytes()
    assert plan_version(data=data[:8]) == plan_version(data=data) == version
    assert plan_version(data=b"") == 0


@then("a plan encoded without its document lacks only the document and the accepted versions")
def then_without_document(context: Any) -> None:
    for record in context.records:
        found = read_service_plan(data=record.bytes(with_document=False))
        assert found.document == b"" and found.accepted == ()
        assert {**vars(found), "document": record.document, "accepted": record.accepted} == vars(record)


@then("a deregistration is newer than any other announcement of the same backend, regardless of their numbers")
def then_order(context: Any) -> None:
    for record in context.records:
        deregistered = Announcement(**{**vars(record), "state": GONE, "number": 1})
        other = Announcement(**{**vars(record), "state": STATES[0], "number": 2**64 - 1})
        assert deregistered.order > other.order
