"""The table of places: where each booth stands, and where other booths reach it."""

from dataclasses import dataclass, field

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

# why: a key of its own, since a daemon of an earlier version can't read a slot table of another shape
PLACES_KEY = "places"


@dataclass(frozen=True, kw_only=True)
class BoothPlace:
    """`records` is the address at which a booth takes records of other booths; empty where it takes none."""

    site: str
    records: str = ""


@dataclass(frozen=True, kw_only=True)
class BoothPlaces:
    places: dict[str, BoothPlace] = field(default_factory=dict)

    def bytes(self) -> bytes:
        def write(packer: Packer, entry: tuple[str, BoothPlace]) -> None:
            packer.text(value=entry[0]).text(value=entry[1].site).text(value=entry[1].records)

        return Packer().many(values=sorted(self.places.items()), each=write).bytes()


def read_booth_places(*, data: bytes) -> BoothPlaces:
    """Raises ValueError where the bytes are none."""
    unpacker = Unpacker(data=data)
    entries = unpacker.many(each=lambda u: (u.text(), BoothPlace(site=u.text(), records=u.text())))
    unpacker.done()
    return BoothPlaces(places=dict(entries))
