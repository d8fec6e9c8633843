"""What a backend that keeps its own place in the list says of itself: its beats alone make the list."""

from dataclasses import dataclass

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .heartbeat import EMPTYING, READY

GONE = "gone"
STATES = (READY, EMPTYING, GONE)


@dataclass(frozen=True, kw_only=True)
class Announcement:
    """Announcements of one backend are ordered by their own number."""

    name: str
    number: int
    service: str
    address: str
    site: str
    state: str
    leads: bool
    room: int = 0

    @property
    def order(self) -> tuple[int, int]:
        # why: a backend that has gone for good says nothing more, so a late heartbeat must not bring it back
        return int(self.state == GONE), self.number

    def write(self, *, packer: Packer) -> None:
        packer.text(value=self.name).u64(value=self.number).text(value=self.service).text(value=self.address)
        packer.text(value=self.site).u8(value=STATES.index(self.state)).u8(value=int(self.leads))
        packer.u32(value=self.room)


def read_announcement(*, unpacker: Unpacker) -> Announcement:
    """Raises ValueError where the record is none."""
    name, number = unpacker.text(), unpacker.u64()
    service, address, site = unpacker.text(), unpacker.text(), unpacker.text()
    state, leads = unpacker.u8(), unpacker.u8()
    if state >= len(STATES) or leads > 1:
        raise ValueError("no such state")
    return Announcement(
        name=name,
        number=number,
        service=service,
        address=address,
        site=site,
        state=STATES[state],
        leads=bool(leads),
        room=unpacker.u32(),
    )
