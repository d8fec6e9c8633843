"""A proxy's poll of a controller, and the answer with the changes since the proxy's last poll."""

from dataclasses import dataclass

from ..consensus.ballot import Ballot, read_ballot
from ..failover.shard_state import Vote
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .announcement import Announcement, read_announcement
from .pooled_sample import (
    PooledSample,
    ReportedSample,
    WantedSample,
    read_pooled_sample,
    read_reported_sample,
    read_wanted_sample,
)


@dataclass(frozen=True, kw_only=True)
class RelayQuestion:
    """A proxy's request for changes.

    `source` and `revision` identify the state that the proxy has; source 0 asks for the full state. `suspected` names
    the backends that the proxy can't reach. `vote` is the vote on the shard map proposal with number `proposal`.
    `samples` have times on the clock of `source`, and are used by it only; `wanted` lists the samples to send. A
    `brief` request asks only for the age, the source and the site.
    """

    proxy: str
    site: str
    source: int = 0
    revision: int = 0
    suspected: tuple[str, ...] = ()
    proposal: int = 0
    vote: Vote = Vote.silent
    samples: tuple[ReportedSample, ...] = ()
    wanted: tuple[WantedSample, ...] = ()
    brief: bool = False

    def write(self, *, packer: Packer) -> Packer:
        """Appends the encoded request."""
        packer.text(value=self.proxy).text(value=self.site).u64(value=self.source).u64(value=self.revision)
        packer.many(values=self.suspected, each=lambda p, name: p.text(value=name))
        packer.u64(value=self.proposal).u8(value=self.vote)
        packer.many(values=self.samples, each=lambda p, sample: sample.write(packer=p))
        packer.many(values=self.wanted, each=lambda p, want: want.write(packer=p))
        return packer.u8(value=int(self.brief))


def read_relay_question(*, unpacker: Unpacker) -> RelayQuestion:
    """Reads a request. Raises ValueError if it is malformed or followed by other bytes."""
    question = RelayQuestion(
        proxy=unpacker.text(),
        site=unpacker.text(),
        source=unpacker.u64(),
        revision=unpacker.u64(),
        suspected=tuple(unpacker.many(each=lambda u: u.text())),
        proposal=unpacker.u64(),
        vote=Vote(unpacker.u8()),
        samples=tuple(unpacker.many(each=read_reported_sample)),
        wanted=tuple(unpacker.many(each=read_wanted_sample)),
        brief=bool(unpacker.u8()),
    )
    unpacker.done()
    return question


@dataclass(frozen=True, kw_only=True)
class RelayedValue:
    """A value of the register, with the ballot under which it was accepted."""

    key: str
    ballot: Ballot
    value: bytes

    def write(self, *, packer: Packer) -> None:
        """Appends the encoded entry."""
        self.ballot.write(packer=packer.text(value=self.key))
        packer.blob(value=self.value)


def read_relayed_value(unpacker: Unpacker) -> RelayedValue:
    """Reads a value. Raises ValueError if it is malformed."""
    return RelayedValue(key=unpacker.text(), ballot=read_ballot(unpacker=unpacker), value=unpacker.blob())


@dataclass(frozen=True, kw_only=True)
class RelayedBackend:
    """A backend's newest announcement, and whether the controller counts the backend as silent."""

    announcement: Announcement
    silent: bool

    def write(self, *, packer: Packer) -> None:
        """Appends the encoded entry."""
        self.announcement.write(packer=packer)
        packer.u8(value=int(self.silent))


def read_relayed_backend(unpacker: Unpacker) -> RelayedBackend:
    """Reads a backend. Raises ValueError if it is malformed."""
    return RelayedBackend(announcement=read_announcement(unpacker=unpacker), silent=bool(unpacker.u8()))


@dataclass(frozen=True, kw_only=True)
class RelayAnswer:
    """A controller's answer.

    `age_us` is the age of the controller's view of the register, and `answered_us` the time of the answer, both on
    the controller's clock. A `full` answer replaces the proxy's state; other answers add to it. `ask` names the
    services whose primaries the proxy should ask for their positions. `site` is the controller's site in answers to
    brief requests, and empty in others.
    """

    source: int
    revision: int
    age_us: int
    full: bool
    values: tuple[RelayedValue, ...] = ()
    backends: tuple[RelayedBackend, ...] = ()
    controllers: tuple[str, ...] = ()
    answered_us: int = 0
    samples: tuple[PooledSample, ...] = ()
    ask: tuple[str, ...] = ()
    site: str = ""

    def bytes(self) -> bytes:
        """The encoded answer."""
        packer = Packer().u64(value=self.source).u64(value=self.revision).u64(value=self.age_us)
        packer.u8(value=int(self.full))
        packer.many(values=self.values, each=lambda p, entry: entry.write(packer=p))
        packer.many(values=self.backends, each=lambda p, entry: entry.write(packer=p))
        packer.many(values=self.controllers, each=lambda p, address: p.text(value=address))
        packer.u64(value=self.answered_us)
        packer.many(values=self.samples, each=lambda p, sample: sample.write(packer=p))
        packer.many(values=self.ask, each=lambda p, service: p.text(value=service))
        return packer.text(value=self.site).bytes()


def read_relay_answer(*, data: bytes) -> RelayAnswer:
    """Decodes an answer. Raises ValueError if it is malformed."""
    unpacker = Unpacker(data=data)
    # keyword arguments are evaluated, and so decoded, in the order written
    answer = RelayAnswer(
        source=unpacker.u64(),
        revision=unpacker.u64(),
        age_us=unpacker.u64(),
        full=bool(unpacker.u8()),
        values=tuple(unpacker.many(each=read_relayed_value)),
        backends=tuple(unpacker.many(each=read_relayed_backend)),
        controllers=tuple(unpacker.many(each=lambda u: u.text())),
        answered_us=unpacker.u64(),
        samples=tuple(unpacker.many(each=read_pooled_sample)),
        ask=tuple(unpacker.many(each=lambda u: u.text())),
        site=unpacker.text(),
    )
    unpacker.done()
    return answer
