"""Keeps in the register which backends may confirm commits of each service."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from expression import Ok, Result

from ..consensus.lease import Lease
from ..consensus.register import Register
from ..consensus.register_view import RegisterView
from ..membership.announcement import GONE, Announcement
from ..membership.heartbeat import EMPTYING
from ..runtime.context import Context
from ..runtime.errors import CinderstairError
from .compare_and_set import compare_and_set
from .recorded_replicas import (
    REPLICAS_PREFIX,
    RecordedReplica,
    RecordedReplicas,
    read_recorded_replicas,
    recorded_replicas_key,
)
from .service_members import FORGET_US, ServiceMembers

# How long a deregistration that was heard may take to be recorded, in microseconds.
RECORD_WAIT_US = 5_000_000


@dataclass(frozen=True, kw_only=True)
class UnheardReplica:
    """A recorded backend of which this controller has no recent heartbeat.

    :param expired: whether it has been silent so long that a failover must not wait for it.
    """

    announcement: Announcement
    expired: bool


class ReplicaRecords:
    """Owns this controller's copy of the records, and writes them while it holds the failover lease.

    Heartbeats are kept in memory only. A controller that has just started, or all of them after a common failure,
    would otherwise not know of a replica that is silent, down, or has deregistered, and leave it out of a fence.

    Invariant: a backend that was recorded stays so until it has exited and another replica has every commit that it
    confirmed, or until it has been unreachable and silent for `FORGET_US`.
    """

    def __init__(
        self, *, ctx: Context, register: Register, view: RegisterView, lease: Lease, members: ServiceMembers
    ) -> None:
        self.ctx = ctx
        self.register = register
        self.view = view
        self.lease = lease
        self.members = members
        self.records: dict[str, RecordedReplicas] = {}
        # services whose record is being written
        self.writing: set[str] = set()
        view.changes.subscribe(self._changed)

    def _changed(self, key: str) -> None:
        found = self.view.known.get(key)
        if found is None or not found.value or not key.startswith(REPLICAS_PREFIX):
            return
        service = key.removeprefix(REPLICAS_PREFIX)
        record = self.records[service] = read_recorded_replicas(data=found.value)
        for entry in record.entries:
            if entry.departed:
                # No heartbeat of it follows, so a controller that has just started learns of it here.
                self.members.heartbeat_table.receive(heartbeat=_announcement(service=service, entry=entry))

    def _entries(self, *, service: str) -> tuple[RecordedReplica, ...]:
        return self.records.get(service, RecordedReplicas()).entries

    def recorded(self, *, name: str) -> Announcement | None:
        """What is recorded of a backend of any service; None if it is not on record."""
        for service, record in self.records.items():
            for entry in record.entries:
                if entry.name == name:
                    return _announcement(service=service, entry=entry)
        return None

    def find(self, *, service: str, name: str) -> Announcement | None:
        """A backend's last announcement, else what is recorded of it; None if it is not known at all."""
        heard = self.members.latest(name=name)
        # a controller that did not know a backend has only its name from its deregistration
        if heard is not None and heard.address:
            return heard
        entries = (each for each in self._entries(service=service) if each.name == name)
        return next((_announcement(service=service, entry=each) for each in entries), None)

    def unheard(self, *, service: str) -> list[UnheardReplica]:
        """The recorded backends that no recent heartbeat or deregistration names, sorted by name."""
        listed = self.members.of_service(service=service)
        named = {each.name for each in (*listed, *self.members.deregistered(service=service))}
        # A replacement at the same address has the log of the backend that it replaced.
        replaced = {each.address for each in listed}
        return [
            UnheardReplica(
                announcement=_announcement(service=service, entry=each),
                expired=self.members.silent_us(name=each.name) >= FORGET_US,
            )
            for each in self._entries(service=service)
            if each.name not in named and (each.departed or each.address not in replaced)
        ]

    def update(self, *, service: str, primary: str, settled: Iterable[str]) -> bool:
        """Writes the record in the background if it does not name what is known now.

        :param primary: the assigned primary.
        :param settled: the deregistered backends that need not be recorded any longer.
        :returns: whether the record names the assigned primary, or never will since the primary is not known.
        """
        new = self._wanted(service=service, primary=primary, settled=frozenset(settled))
        if new != self.records.get(service, RecordedReplicas()) and service not in self.writing:
            self.writing.add(service)
            self.ctx.spawn(work=self._write(service=service, new=new), name="replicas.record")
        known = any(each.is_primary for each in new.entries)
        return not known or self.settled_primary(service=service) == primary

    def settled_primary(self, *, service: str) -> str:
        """The primary of the last settled assignment, by the record; empty if it names none."""
        primaries = [each.name for each in self._entries(service=service) if each.is_primary]
        return primaries[0] if len(primaries) == 1 else ""

    def keeps_departure(self, *, service: str, name: str) -> bool:
        """Whether a deregistered backend is on record, or may not be recorded yet.

        One that the record does not name any more was settled, possibly by an earlier lease holder.
        """
        recorded = any(each.name == name for each in self._entries(service=service))
        return recorded or self.members.heartbeat_table.age_us(name=name) < RECORD_WAIT_US

    def _wanted(self, *, service: str, primary: str, settled: frozenset[str]) -> RecordedReplicas:
        listed = self.members.of_service(service=service)
        departed = [
            each
            for each in self.members.deregistered(service=service)
            if each.name not in settled and self.keeps_departure(service=service, name=each.name)
        ]
        # The assigned primary's address tells which backend has taken over its log, also after all controllers
        # have restarted.
        assigned = [
            _announcement(service=service, entry=each)
            for each in self._entries(service=service)
            if each.name == primary
        ]
        unheard = [each.announcement for each in self.unheard(service=service)]
        known = {each.name: each for each in (*assigned, *unheard, *listed, *departed)}
        entries = (
            RecordedReplica(name=name, address=each.address, is_primary=name == primary, departed=each.state == GONE)
            for name, each in sorted(known.items())
        )
        return RecordedReplicas(entries=tuple(entries))

    async def record_departure(self, *, announcement: Announcement) -> bool:
        """Records that a backend has deregistered; every controller may, with or without the lease.

        :returns: whether that is written, or the backend's service is not known.
        """
        service, name = announcement.service, announcement.name
        if not service:
            return True
        if any(each.name == name and each.departed for each in self._entries(service=service)):
            return True

        def decide(current: bytes) -> Result[bytes, CinderstairError]:
            record = read_recorded_replicas(data=current) if current else RecordedReplicas()
            return Ok(_with_departure(record=record, name=name, address=announcement.address).bytes())

        key = recorded_replicas_key(service=service)
        result = await self.register.change(key=key, decide=decide)
        self.view.apply_own_write(key=key, result=result)
        return result.is_ok()

    async def forget(self, *, service: str, names: Iterable[str]) -> bool:
        """Removes backends from the record; whether that is written."""
        dropped = frozenset(names)
        entries = tuple(each for each in self._entries(service=service) if each.name not in dropped)
        return await self._set(service=service, new=RecordedReplicas(entries=entries))

    async def _write(self, *, service: str, new: RecordedReplicas) -> None:
        try:
            await self._set(service=service, new=new)
        finally:
            self.writing.discard(service)

    async def _set(self, *, service: str, new: RecordedReplicas) -> bool:
        if not self.lease.held:
            return False
        old = self.records.get(service)
        accepted = (b"" if old is None else old.bytes(), new.bytes())
        result = await compare_and_set(
            register=self.register,
            view=self.view,
            key=recorded_replicas_key(service=service),
            unchanged=lambda current: current in accepted,
            new=new.bytes(),
            conflict="the record of replicas was changed concurrently",
        )
        return result.is_ok()


def _with_departure(*, record: RecordedReplicas, name: str, address: str) -> RecordedReplicas:
    """The record with a backend as departed; it is added if it is missing."""
    entries = {each.name: each for each in record.entries}
    known = entries.get(name, RecordedReplica(name=name, address=address))
    entries[name] = replace(known, departed=True)
    return RecordedReplicas(entries=tuple(entries[each] for each in sorted(entries)))


def _announcement(*, service: str, entry: RecordedReplica) -> Announcement:
    """What is known of a recorded backend: it is not chosen as a successor where a ready one has as much."""
    return Announcement(
        name=entry.name,
        number=0,
        service=service,
        address=entry.address,
        site="",
        state=GONE if entry.departed else EMPTYING,
        is_primary=entry.is_primary,
    )
