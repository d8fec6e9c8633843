"""The service plan: which service each database name is routed to, with which guarantees."""

import hashlib
import zlib
from dataclasses import dataclass, field, replace
from enum import IntEnum
from itertools import accumulate, pairwise

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

#: Register key of the plan in force.
PLAN_KEY = "plan"
MAX_PLAN_BYTES = 32 * 1024 * 1024
# short, because digests don't compress and are sent to every register replica with each change
DIGEST_BYTES = 4
#: How many acknowledged versions keep their digest in the plan.
MAX_ACCEPTED = 256
VERSION_MODULUS = 2**64
#: The version is stored uncompressed before the compressed remainder.
VERSION_BYTES = 8


class Consistency(IntEnum):
    """Which commits a read must observe.

    primary: every commit acknowledged before the read. bounded: every commit older than the maximum age.
    session: as bounded, and every commit of the read's own session.
    """

    primary = 0
    bounded = 1
    session = 2


@dataclass(frozen=True, kw_only=True)
class DatabaseRoute:
    """The route of one database name.

    :ivar time_limit_us: how long one statement may take
    :ivar rank: priority under overload; 0 is served first
    :ivar max_age_us: maximum staleness of a read under `bounded` and `session`
    """

    database: str
    service: str
    consistency: Consistency
    time_limit_us: int
    rank: int = 0
    max_age_us: int = 0

    def write(self, *, packer: Packer) -> None:
        """Appends the fields in wire order."""
        packer.text(value=self.database).text(value=self.service).u8(value=self.consistency)
        packer.u64(value=self.time_limit_us).u32(value=self.rank).u64(value=self.max_age_us)


@dataclass(frozen=True, kw_only=True)
class Service:
    """A group of backends that hold the same data: one primary and its replicas.

    :ivar link_cap: maximum number of connections to each of its backends
    :ivar confirmations: how many replicas must confirm a commit
    """

    name: str
    link_cap: int
    confirmations: int

    def write(self, *, packer: Packer) -> None:
        """Appends the fields in wire order."""
        packer.text(value=self.name).u32(value=self.link_cap).u32(value=self.confirmations)


@dataclass(frozen=True, kw_only=True)
class AcceptedVersion:
    """A version that was acknowledged, and the digest of the document that it stands for."""

    version: int
    digest: bytes


def _write_accepted(*, packer: Packer, accepted: tuple[AcceptedVersion, ...]) -> None:
    # the differences between versions are stored together, since they are similar and compress well
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
        raise ValueError(
            f"service plan has {len(parts)} digests for {len(steps) + 1} versions, or one not of {DIGEST_BYTES} bytes"
        )
    return tuple(
        AcceptedVersion(version=version, digest=part) for version, part in zip(versions, parts, strict=False)
    )


@dataclass(frozen=True, kw_only=True)
class ServicePlan:
    """The configuration in force.

    :ivar routes: by database
    :ivar services: by name
    :ivar idle_transaction_limit_us: idle time after which an open transaction is ended; 0 for no limit
    :ivar document: the operator's document, returned unchanged when it is read back
    :ivar accepted: the last acknowledged versions in order of acknowledgement, including this one. A version that was
        superseded before it came into force is listed too, so that its number can't be reused for other content
    """

    version: int
    routes: dict[str, DatabaseRoute] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    idle_transaction_limit_us: int = 0
    document: bytes = b""
    accepted: tuple[AcceptedVersion, ...] = ()

    @property
    def digest(self) -> bytes:
        """A digest of the document, `DIGEST_BYTES` long."""
        return hashlib.blake2b(self.document, digest_size=DIGEST_BYTES).digest()

    def as_successor_of(self, *, current: "ServicePlan | None") -> "ServicePlan":
        """This plan with the accepted versions of `current`, which it replaces, and its own."""
        before = self if current is None else replace(self, accepted=current.accepted)
        return before.with_accepted(other=self)

    def with_accepted(self, *, other: "ServicePlan") -> "ServicePlan":
        """This plan, which stays in force, with another plan's version recorded as acknowledged."""
        noted = AcceptedVersion(version=other.version, digest=other.digest)
        return replace(self, accepted=(*self.accepted, noted)[-MAX_ACCEPTED:])

    def digest_of(self, *, version: int) -> bytes | None:
        """The digest of the document acknowledged under a version; None if unknown or no longer listed."""
        if version == self.version:
            return self.digest
        return next((each.digest for each in self.accepted if each.version == version), None)

    def bytes(self, *, with_document: bool = True) -> bytes:
        """The plan in its stored form; for proxies, without the document and the digests."""
        packer = Packer().u64(value=self.idle_transaction_limit_us)
        packer.many(values=self.routes.values(), each=lambda p, r: r.write(packer=p))
        packer.many(values=self.services.values(), each=lambda p, s: s.write(packer=p))
        packer.blob(value=self.document if with_document else b"")
        _write_accepted(packer=packer, accepted=self.accepted if with_document else ())
        body = packer.bytes()
        # compressed, because a plan is sent whole to every register replica and its routes are similar
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
        raise ValueError(f"service plan can't be decompressed: {error}") from error
    # the limit guards against a small input that decompresses to gigabytes
    if not inflater.eof or inflater.unused_data:
        raise ValueError(f"service plan is truncated, has trailing bytes or exceeds {MAX_PLAN_BYTES} bytes")
    return body


def read_service_plan(*, data: bytes) -> ServicePlan:
    """Decodes the result of ServicePlan.bytes; raises ValueError for malformed bytes."""
    version = plan_version(data=data)
    unpacker = Unpacker(data=_decompressed(data=data[VERSION_BYTES:]))
    idle_transaction_limit_us = unpacker.u64()
    routes = unpacker.many(each=_read_route)
    services = unpacker.many(each=_read_service)
    document = unpacker.blob()
    # plans written by versions without digests end here
    accepted = _read_accepted(unpacker=unpacker) if unpacker.more else ()
    unpacker.done()
    return ServicePlan(
        version=version,
        idle_transaction_limit_us=idle_transaction_limit_us,
        routes={route.database: route for route in routes},
        services={service.name: service for service in services},
        document=document,
        accepted=accepted,
    )


def plan_version(*, data: bytes) -> int:
    """The version, read without decompressing the plan; 0 if there is no plan yet."""
    return Unpacker(data=data).u64() if data else 0
