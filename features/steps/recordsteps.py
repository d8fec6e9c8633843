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
from cinderstair.failover.booth_places import BoothPlace, BoothPlaces, read_booth_places
from cinderstair.failover.service_lead import LeadState, ServiceLead, read_service_lead
from cinderstair.failover.slots import Slots, read_slots
from cinderstair.membership.announcement import GONE, STATES, Announcement, read_announcement
from cinderstair.membership.pooled_sample import PooledSample, ToldSample, WantedSample
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


def text(luck: random.Random) -> str:
    return luck.choice(TEXTS) + str(luck.randrange(3))


def u32(luck: random.Random) -> int:
    return luck.choice(EDGES_32) if luck.random() < 0.5 else luck.getrandbits(32)


def u64(luck: random.Random) -> int:
    return luck.choice(EDGES_64) if luck.random() < 0.5 else luck.getrandbits(64)


def announcement(luck: random.Random) -> Announcement:
    return Announcement(
        name=text(luck),
        number=u64(luck),
        service=text(luck),
        address=text(luck),
        site=text(luck),
        state=luck.choice(STATES),
        leads=luck.random() < 0.5,
        room=u32(luck),
    )


def plan(luck: random.Random) -> ServicePlan:
    routes = [
        DatabaseRoute(
            database=f"{text(luck)}{n}",
            service=text(luck),
            consistency=luck.choice(list(Consistency)),
            time_limit_us=u64(luck),
            rank=u32(luck),
            max_age_us=u64(luck),
        )
        for n in range(luck.randrange(5))
    ]
    services = [
        Service(name=f"{text(luck)}{n}", link_cap=u32(luck), confirmations=u32(luck))
        for n in range(luck.randrange(4))
    ]
    accepted = tuple(
        AcceptedVersion(version=u64(luck), digest=luck.randbytes(DIGEST_BYTES)) for _ in range(luck.randrange(6))
    )
    return ServicePlan(
        version=u64(luck),
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        rest_limit_us=u64(luck),
        document=luck.randbytes(luck.randrange(80)),
        accepted=accepted,
    )


def lead(luck: random.Random) -> ServiceLead:
    return ServiceLead(
        term=u64(luck),
        primary=text(luck),
        state=luck.choice(list(LeadState)),
        fence=Position(u64(luck), u64(luck)),
        ready_in_us=u64(luck),
        planned=luck.random() < 0.5,
    )


def question(luck: random.Random) -> RelayQuestion:
    return RelayQuestion(
        booth=text(luck),
        site=text(luck),
        source=u64(luck),
        edition=u64(luck),
        troubled=tuple(text(luck) for _ in range(luck.randrange(4))),
        samples=tuple(
            ToldSample(
                service=text(luck), term=u64(luck), moment_us=u64(luck), position=Position(u64(luck), u64(luck))
            )
            for _ in range(luck.randrange(4))
        ),
        wanted=tuple(WantedSample(service=text(luck), edition=u64(luck)) for _ in range(luck.randrange(4))),
        brief=luck.random() < 0.5,
    )


def answer(luck: random.Random) -> RelayAnswer:
    return RelayAnswer(
        source=u64(luck),
        edition=u64(luck),
        age_us=u64(luck),
        whole=luck.random() < 0.5,
        values=tuple(
            RelayedValue(
                key=text(luck), ballot=Ballot(u64(luck), u64(luck)), value=luck.randbytes(luck.randrange(50))
            )
            for _ in range(luck.randrange(4))
        ),
        backends=tuple(
            RelayedBackend(announcement=announcement(luck), quiet=luck.random() < 0.5)
            for _ in range(luck.randrange(4))
        ),
        guildhalls=tuple(text(luck) for _ in range(luck.randrange(4))),
        answered_us=u64(luck),
        samples=tuple(
            PooledSample(
                service=text(luck),
                term=u64(luck),
                age_us=u64(luck),
                position=Position(u64(luck), u64(luck)),
                edition=u64(luck),
            )
            for _ in range(luck.randrange(4))
        ),
        ask=tuple(text(luck) for _ in range(luck.randrange(4))),
        site=text(luck),
    )


def slots(luck: random.Random) -> Slots:
    return Slots(names=tuple((n, text(luck)) for n in range(luck.randrange(5))))


def places(luck: random.Random) -> BoothPlaces:
    return BoothPlaces(
        places={text(luck): BoothPlace(site=text(luck), records=text(luck)) for _ in range(luck.randrange(5))}
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
    "service leads": (lead, lambda r: r.bytes(), lambda data: read_service_lead(data=data)),
    "relay questions": (question, packed, lambda data: read_relay_question(unpacker=Unpacker(data=data))),
    "relay answers": (answer, lambda r: r.bytes(), lambda data: read_relay_answer(data=data)),
    "slots": (slots, lambda r: r.bytes(), lambda data: read_slots(data=data)),
    "places": (places, lambda r: r.bytes(), lambda data: read_booth_places(data=data)),
}


@given("{count:d} {records} from a seed")
def given_records(context: Any, count: int, records: str) -> None:
    context.make, context.write, context.read = RECORDS[records]
    context.luck = random.Random(f"records/{records}")
    context.records = [context.make(context.luck) for _ in range(count)]


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
            for _ in range(context.luck.randrange(1, 4)):
                data[context.luck.randrange(len(data))] = context.luck.choice(
                    [0, 1, 255, context.luck.randrange(256)]
                )
            try:
                context.read(bytes(data))
            except ValueError:
                refused += 1
    assert refused > len(context.records), refused


@then("noise is refused with a ValueError")
def then_noise(context: Any) -> None:
    for _ in range(2_000):
        try:
            context.read(context.luck.randbytes(context.luck.randrange(1, 120)))
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
