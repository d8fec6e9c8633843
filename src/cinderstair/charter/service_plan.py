"""A configuration by service: which database names lead to which service, and under which promises."""

import zlib
from dataclasses import dataclass, field
from enum import IntEnum

from ..pitch.packer import Packer
from ..pitch.unpacker import Unpacker

PLAN_KEY = "plan"
MOST_BYTES = 32 * 1024 * 1024


class Consistency(IntEnum):
    """What a read must have seen.

    primary: every commit acknowledged before it. bounded: every one older than the age. session: as bounded,
    and every commit of its own session.
    """

    primary = 0
    bounded = 1
    session = 2


@dataclass(frozen=True, kw_only=True)
class DatabaseRoute:
    """Where one database name leads. Rank 0 goes first when there is too much to do."""

    database: str
    service: str
    consistency: Consistency
    time_limit_us: int
    rank: int = 0
    max_age_us: int = 0

    def write(self, *, packer: Packer) -> None:
        packer.text(value=self.database).text(value=self.service).u8(value=self.consistency)
        packer.u64(value=self.time_limit_us).u32(value=self.rank).u64(value=self.max_age_us)


@dataclass(frozen=True, kw_only=True)
class Service:
    """A group of backends that hold the same data: one primary and its copies."""

    name: str
    link_cap: int
    confirmations: int

    def write(self, *, packer: Packer) -> None:
        packer.text(value=self.name).u32(value=self.link_cap).u32(value=self.confirmations)


@dataclass(frozen=True, kw_only=True)
class ServicePlan:
    """What is in force. `document` keeps the operator's own bytes, for reading back."""

    version: int
    routes: dict[str, DatabaseRoute] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    rest_limit_us: int = 0
    document: bytes = b""

    def bytes(self, *, with_document: bool = True) -> bytes:
        packer = Packer().u64(value=self.rest_limit_us)
        packer.many(values=self.routes.values(), each=lambda p, r: r.write(packer=p))
        packer.many(values=self.services.values(), each=lambda p, s: s.write(packer=p))
        body = packer.blob(value=self.document if with_document else b"").bytes()
        # why: a plan goes whole to every vault, and routes are much alike
        return Packer().u64(value=self.version).bytes() + zlib.compress(body)


def _read_route(unpacker: Unpacker) -> DatabaseRoute:
    return DatabaseRoute(
        database=unpacker.text(),
        service=unpacker.text(),
        consistency=Consistency(unpacker.u8()),
        time_limit_us=unpacker.u64(),
        rank=unpacker.u32(),
        max_age_us=unpacker.u64(),
    )


def _read_service(unpacker: Unpacker) -> Service:
    return Service(name=unpacker.text(), link_cap=unpacker.u32(), confirmations=unpacker.u32())


def _inflated(*, data: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(data, MOST_BYTES)
    except zlib.error as error:
        raise ValueError("no plan") from error
    # why: a few bytes may swell to gigabytes, and what is cut short or followed by more is no plan of ours
    if not inflater.eof or inflater.unused_data:
        raise ValueError("no plan")
    return body


def read_service_plan(*, data: bytes) -> ServicePlan:
    """Raises ValueError where the bytes are no plan."""
    version = plan_version(data=data)
    unpacker = Unpacker(data=_inflated(data=data[8:]))
    rest_limit_us = unpacker.u64()
    routes = unpacker.many(each=_read_route)
    services = unpacker.many(each=_read_service)
    document = unpacker.blob()
    unpacker.done()
    return ServicePlan(
        version=version,
        rest_limit_us=rest_limit_us,
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        document=document,
    )


def plan_version(*, data: bytes) -> int:
    """The version alone, without reading the rest; 0 where there is nothing yet."""
    return Unpacker(data=data).u64() if data else 0
