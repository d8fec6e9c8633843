"""A configuration by service: which database names lead to which service, and under which guarantees."""

import hashlib
import zlib
from dataclasses import dataclass, field, replace
from enum import IntEnum
from itertools import accumulate, pairwise

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

#: The register's key for the plan in force.
PLAN_KEY = "plan"
MAX_PLAN_BYTES = 32 * 1024 * 1024
# Digests can't be compressed, and go with each change to every register replica, so they are short.
DIGEST_BYTES = 4
#: So many of the acknowledged versions are known by their digests.
MAX_ACCEPTED = 256
VERSION_MODULUS = 2**64
#: The version stands uncompressed ahead of the rest.
VERSION_BYTES = 8


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
    """Where one database name leads.

    :ivar time_limit_us: how long one statement may take
    :ivar rank: 0 is served first under overload
    :ivar max_age_us: how old a read may be under `bounded` and `session`
    """

    database: str
    service: str
    consistency: Consistency
    time_limit_us: int
    rank: int = 0
    max_age_us: int = 0

    def write(self, *, packer: Packer) -> None:
        """Appends it to a record."""
        packer.text(value=self.database).text(value=self.service).u8(value=self.consistency)
        packer.u64(value=self.time_limit_us).u32(value=self.rank).u64(value=self.max_age_us)


@dataclass(frozen=True, kw_only=True)
class Service:
    """A group of backends that hold the same data: one primary and its replicas.

    :ivar link_cap: the most connections that each of its backends takes
    :ivar confirmations: how many replicas must confirm a commit
    """

    name: str
    link_cap: int
    confirmations: int

    def write(self, *, packer: Packer) -> None:
        """Appends it to a record."""
        packer.text(value=self.name).u32(value=self.link_cap).u32(value=self.confirmations)


@dataclass(frozen=True, kw_only=True)
class AcceptedVersion:
    """A version that was acknowledged, and the digest of the document that it stands for."""

    version: int
    digest: bytes


def _write_accepted(*, packer: Packer, accepted: tuple[AcceptedVersion, ...]) -> None:
    # Steps from version to version come first and together, since they are much alike and compress well.
    packer.u64(value=accepted[0].version if accepted else 0)
    steps = [after.version - before.version for before, after in pairwise(accepted)]
    packer.many(values=steps, each=lambda p, step: p.u64(value=step % VERSION_MODULUS))
    packer.blob(value=b"".join(each.digest for each in accepted))


def _read_accepted(*, unpacker: Unpacker) -> tuple[AcceptedVersion, ...]:
    first = unpacker.u64()
    steps = unpacker.many(each=lambda u: u.u64())
    digests = unpacker.blob()
    versions = accumulate([first, *steps], lambda version, step: (version + step) % VERSION_MODULUS)
    parts = [digests[at : at + DIGEST_BYTES] for at in range(0, len(digests), DIGEST_BYTES)]
    if len(parts) > len(steps) + 1 or any(len(part) != DIGEST_BYTES for part in parts):
        raise ValueError("digests without versions, or of another length")
    return tuple(
        AcceptedVersion(version=version, digest=part) for version, part in zip(versions, parts, strict=False)
    )


@dataclass(frozen=True, kw_only=True)
class ServicePlan:
    """The configuration in force.

    :ivar routes: by database
    :ivar services: by name
    :ivar rest_limit_us: how long a session may be idle
    :ivar document: the operator's own bytes, for reading back
    :ivar accepted: the last versions that were acknowledged, this one among them, in that order. A version that was
        superseded before it came into force is acknowledged and listed too, so that its number stands for one content
    """

    version: int
    routes: dict[str, DatabaseRoute] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    rest_limit_us: int = 0
    document: bytes = b""
    accepted: tuple[AcceptedVersion, ...] = ()

    @property
    def digest(self) -> bytes:
        """A short digest of the document."""
        return hashlib.blake2b(self.document, digest_size=DIGEST_BYTES).digest()

    def as_successor_of(self, *, current: "ServicePlan | None") -> "ServicePlan":
        """This plan as the one that comes into force after `standing`."""
        before = self if current is None else replace(self, accepted=current.accepted)
        return before.with_accepted(other=self)

    def with_accepted(self, *, other: "ServicePlan") -> "ServicePlan":
        """This plan, which stays in force, with another one noted as acknowledged under its number."""
        noted = AcceptedVersion(version=other.version, digest=other.digest)
        return replace(self, accepted=(*self.accepted, noted)[-MAX_ACCEPTED:])

    def digest_of(self, *, version: int) -> bytes | None:
        """The digest of the document that was acknowledged under a version; None where that is not known."""
        if version == self.version:
            return self.digest
        return next((each.digest for each in self.accepted if each.version == version), None)

    def bytes(self, *, with_document: bool = True) -> bytes:
        """The plan as it stands in the register; proxies get it without the document and the digests."""
        packer = Packer().u64(value=self.rest_limit_us)
        packer.many(values=self.routes.values(), each=lambda p, r: r.write(packer=p))
        packer.many(values=self.services.values(), each=lambda p, s: s.write(packer=p))
        packer.blob(value=self.document if with_document else b"")
        _write_accepted(packer=packer, accepted=self.accepted if with_document else ())
        body = packer.bytes()
        # A plan goes whole to every register replica, and routes are much alike
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


def _decompressed(*, data: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(data, MAX_PLAN_BYTES)
    except zlib.error as error:
        raise ValueError("a plan that can't be decompressed") from error
    # A few bytes may inflate to gigabytes, and no plan is cut short or followed by more.
    if not inflater.eof or inflater.unused_data:
        raise ValueError("a plan that is too large, cut short or followed by other bytes")
    return body


def read_service_plan(*, data: bytes) -> ServicePlan:
    """What ServicePlan.bytes gave; raises ValueError where the bytes are no plan."""
    version = plan_version(data=data)
    unpacker = Unpacker(data=_decompressed(data=data[VERSION_BYTES:]))
    rest_limit_us = unpacker.u64()
    routes = unpacker.many(each=_read_route)
    services = unpacker.many(each=_read_service)
    document = unpacker.blob()
    # What was written before digests were kept ends here.
    accepted = _read_accepted(unpacker=unpacker) if unpacker.more else ()
    unpacker.done()
    return ServicePlan(
        version=version,
        rest_limit_us=rest_limit_us,
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        document=document,
        accepted=accepted,
    )


def plan_version(*, data: bytes) -> int:
    """The version alone, without reading the rest; 0 where there is nothing yet."""
    return Unpacker(data=data).u64() if data else 0
