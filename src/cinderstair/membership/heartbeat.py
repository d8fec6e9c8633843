"""The heartbeat that a backend sends to an HTTP proxy about once a second."""

from dataclasses import dataclass
from typing import Any, NamedTuple

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

READY, EMPTYING, STARTING = "ready", "emptying", "starting"
STATES = (READY, EMPTYING, STARTING)
MAX_TEXT_LENGTH = 63
NUMBER_LIMIT = 2**63


class HeartbeatOrder(NamedTuple):
    """The order of one backend's heartbeats: by epoch, then by number."""

    epoch: int
    number: int


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """One heartbeat; those of one backend are ordered by incarnation, then by number.

    `is_primary` is whether the backend reports itself primary of `term`; `position` is the end of its log.
    """

    name: str
    incarnation: int
    number: int
    site: str
    state: str
    is_primary: bool
    term: int
    position: int

    @property
    def order(self) -> HeartbeatOrder:
        """Greater for the later one of two heartbeats of one backend."""
        return HeartbeatOrder(epoch=self.incarnation, number=self.number)

    def write(self, *, packer: Packer) -> None:
        """Appends the encoded record."""
        packer.text(value=self.name).u64(value=self.incarnation).u64(value=self.number)
        packer.text(value=self.site).u8(value=STATES.index(self.state)).u8(value=int(self.is_primary))
        packer.u64(value=self.term).u64(value=self.position)


def read_heartbeat(*, unpacker: Unpacker) -> Heartbeat:
    """Reads a heartbeat. Raises ValueError if it is malformed."""
    name, incarnation, number = unpacker.text(), unpacker.u64(), unpacker.u64()
    site, state, is_primary = unpacker.text(), unpacker.u8(), unpacker.u8()
    if state >= len(STATES) or is_primary > 1:
        raise ValueError(f"heartbeat: state {state} or primary flag {is_primary} is out of range")
    return Heartbeat(
        name=name,
        incarnation=incarnation,
        number=number,
        site=site,
        state=STATES[state],
        is_primary=bool(is_primary),
        term=unpacker.u64(),
        position=unpacker.u64(),
    )


def heartbeat_from_json(*, value: object) -> Heartbeat:
    """Reads a heartbeat from decoded JSON. Raises ValueError, which names the first invalid field."""
    if not isinstance(value, dict):
        raise ValueError("a heartbeat is an object")
    # the order of these checks decides which invalid field is named
    name, site, state = (_text_field(value=value, field=field) for field in ("name", "site", "state"))
    incarnation, number, term, position = (
        _number_field(value=value, field=field) for field in ("incarnation", "number", "term", "position")
    )
    if state not in STATES:
        raise ValueError(f"state: one of {', '.join(STATES)}")
    return Heartbeat(
        name=name,
        site=site,
        state=state,
        is_primary=_flag_field(value=value, field="leads"),
        incarnation=incarnation,
        number=number,
        term=term,
        position=position,
    )


def _text_field(*, value: dict[str, Any], field: str) -> str:
    text = value.get(field)
    if not isinstance(text, str) or not 0 < len(text) <= MAX_TEXT_LENGTH:
        raise ValueError(f"{field}: a short text is needed")
    return text


def _number_field(*, value: dict[str, Any], field: str) -> int:
    number = value.get(field, 0)
    if not isinstance(number, int) or isinstance(number, bool) or not 0 <= number < NUMBER_LIMIT:
        raise ValueError(f"{field}: a whole number is needed")
    return number


def _flag_field(*, value: dict[str, Any], field: str) -> bool:
    flag = value.get(field, False)
    if not isinstance(flag, bool):
        raise ValueError(f"{field}: true or false is needed")
    return flag
