"""Steps for the records of the relay, the plan, the announcements and the leads."""

import random
from collections.abc import Callable
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
        leads=rng.random() < 0.5,
        room=u32(rng),
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
        rest_limit_us=u64(rng),
        document=rng.randbytes(rng.randrange(80)),
        accepted=accepted,
    )


def lead(rng: random.Random) -> ServicePrimary:
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
        edition=u64(rng),
        troubled=tuple(text(rng) for _ in range(rng.randrange(4))),
        samples=tuple(
            ReportedSample(
                service=text(rng), term=u64(rng), moment_us=u64(rng), position=Position(u64(rng), u64(rng))
            )
            for _ in range(rng.randrange(4))
        ),
        wanted=tuple(WantedSample(service=text(rng), edition=u64(rng)) for _ in range(rng.randrange(4))),
        brief=rng.random() < 0.5,
    )


def answer(rng: random.Random) -> RelayAnswer:
    return RelayAnswer(
        source=u64(rng),
        edition=u64(rng),
        age_us=u64(rng),
        whole=rng.random() < 0.5,
        values=tuple(
            RelayedValue(key=text(rng), ballot=Ballot(u64(rng), u64(rng)), value=rng.randbytes(rng.randrange(50)))
            for _ in range(rng.randrange(4))
        ),
        backends=tuple(
            RelayedBackend(announcement=announcement(rng), quiet=rng.random() < 0.5) for _ in range(rng.randrange(4))
        ),
        controllers=tuple(text(rng) for _ in range(rng.randrange(4))),
        answered_us=u64(rng),
        samples=tuple(
            PooledSample(
                service=text(rng),
                term=u64(rng),
                age_us=u64(rng),
                position=Position(u64(rng), u64(rng)),
                edition=u64(rng),
            )
            for _ in range(rng.randrange(4))
        ),
        ask=tuple(text(rng) for _ in range(rng.randrange(4))),
        site=text(rng),
    )


def proxy_ids(rng: random.Random) -> ProxyIds:
    return ProxyIds(names=tuple(ProxyId(n, text(rng)) for n in range(rng.randrange(5))))


def places(rng: random.Random) -> ProxyAddresses:
    return ProxyAddresses(
        places={text(rng): ProxyAddress(site=text(rng), records=text(rng)) for _ in range(rng.randrange(5))}
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


RECORDS: dict[str, tuple[Callable[[random.Random], Any], Callable[[Any], bytes], Callable[[bytes], Any]]] = {
    "announcements": (announcement, packed, unpacked_announcement),
    "service plans": (plan, lambda r: r.bytes(), lambda data: read_service_plan(data=data)),
    "service leads": (lead, lambda r: r.bytes(), lambda data: read_service_primary(data=data)),
    "relay questions": (question, packed, lambda data: read_relay_question(unpacker=Unpacker(data=data))),
    "relay answers": (answer, lambda r: r.bytes(), lambda data: read_relay_answer(data=data)),
    "slots": (proxy_ids, lambda r: r.bytes(), lambda data: read_proxy_ids(data=data)),
    "places": (places, lambda r: r.bytes(), lambda data: read_proxy_addresses(data=data)),
}


@given("{count:d} {records} from a seed")
def given_records(context: Any, count: int, records: str) -> None:
    context.make, context.write, context.read = RECORDS[records]
    context.rng = random.Random(f"records/{records}")
    context.records = [context.make(context.rng) for _ in range(count)]


@then("each is read as it was written")
def then_round_trip(context: Any) -> None:
    for record in context.records:
        data = context.write(record)
        found = context.read(data)
        assert found == record, (found, record)
        assert context.write(found) == data


@then("each that is cut short anywhere, or has a byte too many, is refused with a ValueError")
def then_cut(context: Any) -> None:
    for record in context.records[:12]:
        data = context.write(record)
        broken = [data[:end] for end in range(len(data))] + [data + b"\0"]
        # why: nothing at all stands for slots that were never dealt
        for each in broken if context.read is not RECORDS["slots"][2] else broken[1:]:
            try:
                found = context.read(each)
            except ValueError:
                continue
            raise AssertionError(f"read from {len(each)} of {len(data)} bytes: {found}")


@then("each with bytes changed is read or refused with a ValueError")
def then_changed(context: Any) -> None:
    refused = 0
    for record in context.records:
        for _ in range(10):
            data = bytearray(context.write(record))
            for _ in range(context.rng.randrange(1, 4)):
                data[context.rng.randrange(len(data))] = context.rng.choice([0, 1, 255, context.rng.randrange(256)])
            try:
                context.read(bytes(data))
            except ValueError:
                refused += 1
    assert refused > len(context.records), refused


@then("noise is refused with a ValueError")
def then_noise(context: Any) -> None:
    for _ in range(2_000):
        try:
            context.read(context.rng.randbytes(context.rng.randrange(1, 120)))
        except ValueError:
            continue


@then("a version of {version:d} is read from the first bytes alone, and 0 from none")
def then_version(context: Any, version: int) -> None:
    data = ServicePlan(version=version).bytes()
    assert plan_version(data=data[:8]) == plan_version(data=data) == version
    assert plan_version(data=b"") == 0


@then("without its document a plan is the same but for that and what was acknowledged")
def then_short(context: Any) -> None:
    for record in context.records:
        found = read_service_plan(data=record.bytes(with_document=False))
        assert found.document == b"" and found.accepted == ()
        assert {**vars(found), "document": record.document, "accepted": record.accepted} == vars(record)


@then("what a backend said when it went for good stands against whatever it said before or after")
def then_order(context: Any) -> None:
    for record in context.records:
        gone = Announcement(**{**vars(record), "state": GONE, "number": 1})
        other = Announcement(**{**vars(record), "state": STATES[0], "number": 2**64 - 1})
        assert gone.order > other.order
