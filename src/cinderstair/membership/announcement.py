"""The heartbeat by which a backend registers its address with the controllers."""

from dataclasses import dataclass

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .heartbeat import EMPTYING, READY, HeartbeatOrder

GONE = "gone"
STATES = (READY, EMPTYING, GONE)


@dataclass(frozen=True, kw_only=True)
class Announcement:
    """One announcement; `number` orders the announcements of one backend.

    `is_primary` is whether the backend reports itself primary of its service. `capacity` is its room for connections;
    0 if it does not report one.
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
        # a deregistered backend sends no further announcements, so a delayed one must not register it again
        return HeartbeatOrder(epoch=int(self.state == GONE), number=self.number)

    def write(self, *, packer: Packer) -> None:
        """Appends the encoded record."""
        packer.text(value=self.name).u64(value=self.number).text(value=self.service).text(value=self.address)
        packer.text(value=self.site).u8(value=STATES.index(self.state)).u8(value=int(self.is_primary))
        packer.u32(value=self.capacity)


def read_announcement(*, unpacker: Unpacker) -> Announcement:
    """Reads an announcement. Raises ValueError if it is malformed."""
    name, number = unpacker.text(), unpacker.u64()
    service, address, site = unpacker.text(), unpacker.text(), unpacker.text()
    state, is_primary = unpacker.u8(), unpacker.u8()
    if state >= len(STATES) or is_primary > 1:
        raise ValueError(f"announcement: state {state} or primary flag {is_primary} is out of range")
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
