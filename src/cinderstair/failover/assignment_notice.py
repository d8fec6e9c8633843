"""The messages by which a lease holder makes a new primary assignment known to all controllers and proxies."""

from dataclasses import dataclass

from ..membership.relay_record import RelayedValue, read_relayed_value
from ..runtime.packer import Packer
from ..runtime.position import START, Position
from ..runtime.unpacker import Unpacker
from .service_primary import PREFIX


@dataclass(frozen=True, kw_only=True)
class AssignmentNotice:
    """A service's assignment, with the ballot under which the register accepted it."""

    value: RelayedValue

    @property
    def service(self) -> str:
        """The name of the service."""
        return self.value.key.removeprefix(PREFIX)

    def write(self, *, packer: Packer) -> Packer:
        """Appends the encoded notice."""
        self.value.write(packer=packer)
        return packer


def read_assignment_notice(*, unpacker: Unpacker) -> AssignmentNotice:
    """Reads a notice. Raises ValueError if it is malformed, followed by other bytes, or not of an assignment."""
    notice = AssignmentNotice(value=read_relayed_value(unpacker))
    unpacker.done()
    if not notice.value.key.startswith(PREFIX):
        raise ValueError(f"{notice.value.key} is not the key of an assignment")
    return notice


@dataclass(frozen=True, kw_only=True)
class ControllerReceipt:
    """A controller's answer: it relays the assignment from now on.

    :param proxies: the proxies that asked it for state so recently that their views may still be current.
    """

    proxies: tuple[str, ...]

    def bytes(self) -> bytes:
        """The encoded receipt."""
        return Packer().many(values=self.proxies, each=lambda p, name: p.text(value=name)).bytes()


def read_controller_receipt(*, data: bytes) -> ControllerReceipt:
    """Decodes a receipt. Raises ValueError if it is malformed."""
    unpacker = Unpacker(data=data)
    receipt = ControllerReceipt(proxies=tuple(unpacker.many(each=lambda u: u.text())))
    unpacker.done()
    return receipt


@dataclass(frozen=True, kw_only=True)
class ProxyReceipt:
    """A proxy's answer: it acts on the assignment from now on.

    :param running_us: how long the proxy's process has been running; it knows nothing of an earlier process.
    :param acknowledged: an upper bound of the positions of the service's log that it has acknowledged to clients;
        START if it has acknowledged none.
    :param acknowledged_ago_us: the time since the last of them.
    :param acknowledged_least: a commit at or after this position was acknowledged before the last promotion; START
        for none.
    :param reached_before: for each of the last commits since then, a position that the log had reached before the
        commit was sent.
    """

    running_us: int
    acknowledged: Position
    acknowledged_ago_us: int
    acknowledged_least: Position = START
    reached_before: tuple[Position, ...] = ()

    @property
    def _extended(self) -> bool:
        """Whether the receipt has more than an earlier release wrote, whose controllers then read it as none."""
        return bool(self.reached_before) or self.acknowledged_least != START

    def bytes(self) -> bytes:
        """The encoded receipt."""
        packer = Packer().u64(value=self.running_us)
        _write_position(packer, self.acknowledged)
        packer.u64(value=self.acknowledged_ago_us)
        if self._extended:
            _write_position(packer, self.acknowledged_least)
            packer.many(values=self.reached_before, each=_write_position)
        return packer.bytes()


def _write_position(packer: Packer, position: Position) -> None:
    packer.u64(value=position.term).u64(value=position.number)


def _read_position(unpacker: Unpacker) -> Position:
    return Position(unpacker.u64(), unpacker.u64())


def read_proxy_receipt(*, data: bytes) -> ProxyReceipt:
    """Decodes a receipt. Raises ValueError if it is malformed."""
    unpacker = Unpacker(data=data)
    receipt = ProxyReceipt(
        running_us=unpacker.u64(),
        acknowledged=_read_position(unpacker),
        acknowledged_ago_us=unpacker.u64(),
        acknowledged_least=_read_position(unpacker) if unpacker.more else START,
        reached_before=tuple(unpacker.many(each=_read_position)) if unpacker.more else (),
    )
    unpacker.done()
    return receipt
