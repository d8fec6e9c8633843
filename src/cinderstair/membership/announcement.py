"""The heartbeat of a backend that registers itself with the controllers by announcing its own address."""

from dataclasses import dataclass

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .heartbeat import EMPTYING, READY, HeartbeatOrder

GONE = "gone"
STATES = (READY, EMPTYING, GONE)


@dataclass(frozen=True, kw_only=True)
class Announcement:
    """One heartbeat; `number` orders the announcements of one backend.

    `is_primary` says whether the backend takes itself for its service's primary. `capacity` is how many calls it has
    room for, 0 where it does not say.
    """

    name: str
    number: int
    service: str
    address: str
    site: str
    state: str
    is_primary: bool
    capacity: int = 0

    @property
    def order(self) -> HeartbeatOrder:
        """Greater for the later one of two announcements of one backend."""
        # a deregistered backend sends nothing more, so a delayed heartbeat must not bring it back
        return HeartbeatOrder(epoch=int(self.state == GONE), number=self.number)

    def write(self, *, packer: Packer) -> None:
        """Appends the record's fields in their order on the wire."""
        packer.text(value=self.name).u64(value=self.number).text(value=self.service).text(value=self.address)
        packer.text(value=self.site).u8(value=STATES.index(self.state)).u8(value=int(self.is_primary))
        packer.u32(value=self.capacity)


def read_announcement(*, unpacker: Unpacker) -> Announcement:
    """Raises ValueError where the record is none."""
    name, number = unpacker.text(), unpacker.u64()
    service, address, site = unpacker.text(), unpacker.text(), unpacker.text()
    state, is_primary = unpacker.u8(), unpacker.u8()
    if state >= len(STATES) or is_primary > 1:
        raise ValueError(f"state {state} or leads {is_primary} is out of range")
    return Announcement(
        name=name,
        number=number,
        service=service,
        address=address,
        site=site,
        state=STATES[state],
        is_primary=bool(is_primary),
        capacity=unpacker.u32(),
    )
