"""What a backend says of itself every second or so."""

from dataclasses import dataclass

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

READY, EMPTYING, STARTING = "ready", "emptying", "starting"
STATES = (READY, EMPTYING, STARTING)


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Beats of one backend are ordered by its incarnation, then by their own number."""

    name: str
    incarnation: int
    number: int
    site: str
    state: str
    leads: bool
    term: int
    position: int

    @property
    def order(self) -> tuple[int, int]:
        return self.incarnation, self.number

    def write(self, *, packer: Packer) -> None:
        packer.text(value=self.name).u64(value=self.incarnation).u64(value=self.number)
        packer.text(value=self.site).u8(value=STATES.index(self.state)).u8(value=int(self.leads))
        packer.u64(value=self.term).u64(value=self.position)


def read_heartbeat(*, unpacker: Unpacker) -> Heartbeat:
    name, incarnation, number = unpacker.text(), unpacker.u64(), unpacker.u64()
    site, state, leads = unpacker.text(), unpacker.u8(), unpacker.u8()
    if state >= len(STATES) or leads > 1:
        raise ValueError("no such state")
    return Heartbeat(
        name=name,
        incarnation=incarnation,
        number=number,
        site=site,
        state=STATES[state],
        leads=bool(leads),
        term=unpacker.u64(),
        position=unpacker.u64(),
    )


def heartbeat_from_json(*, value: object) -> Heartbeat:
    """A heartbeat from a backend's JSON; ValueError names the field that is wrong."""
    if not isinstance(value, dict):
        raise ValueError("a heartbeat is an object")
    texts = {"name": "", "site": "", "state": ""}
    numbers = {"incarnation": 0, "number": 0, "term": 0, "position": 0}
    for field in texts:
        if not isinstance(value.get(field), str) or not 0 < len(value[field]) <= 63:
            raise ValueError(f"{field}: a short text is needed")
        texts[field] = value[field]
    for field in numbers:
        number = value.get(field, 0)
        if not isinstance(number, int) or isinstance(number, bool) or not 0 <= number < 2**63:
            raise ValueError(f"{field}: a whole number is needed")
        numbers[field] = number
    if texts["state"] not in STATES:
        raise ValueError(f"state: one of {', '.join(STATES)}")
    if not isinstance(value.get("leads", False), bool):
        raise ValueError("leads: true or false is needed")
    return Heartbeat(
        name=texts["name"],
        site=texts["site"],
        state=texts["state"],
        leads=value.get("leads", False),
        incarnation=numbers["incarnation"],
        number=numbers["number"],
        term=numbers["term"],
        position=numbers["position"],
    )
