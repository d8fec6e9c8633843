"""What a proxy asks of a controller, and what it is told: all that changed since it last asked."""

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
    """`source` and `edition` say what the asker has; a source of 0 asks for everything.

    `vote` is what the proxy says of the shard map that was proposed in that turn. `samples` are told to this source
    alone, by whose clock their moments are; `wanted` are those that the proxy would be told. A `brief` question is
    about the age and the source alone.
    """

    proxy: str
    site: str
    source: int = 0
    edition: int = 0
    troubled: tuple[str, ...] = ()
    turn: int = 0
    vote: Vote = Vote.silent
    samples: tuple[ReportedSample, ...] = ()
    wanted: tuple[WantedSample, ...] = ()
    brief: bool = False

    def write(self, *, packer: Packer) -> Packer:
        packer.text(value=self.proxy).text(value=self.site).u64(value=self.source).u64(value=self.edition)
        packer.many(values=self.troubled, each=lambda p, name: p.text(value=name))
        packer.u64(value=self.turn).u8(value=self.vote)
        packer.many(values=self.samples, each=lambda p, sample: sample.write(packer=p))
        packer.many(values=self.wanted, each=lambda p, want: want.write(packer=p))
        return packer.u8(value=int(self.brief))


def read_relay_question(*, unpacker: Unpacker) -> RelayQuestion:
    question = RelayQuestion(
        proxy=unpacker.text(),
        site=unpacker.text(),
        source=unpacker.u64(),
        edition=unpacker.u64(),
        troubled=tuple(unpacker.many(each=lambda u: u.text())),
        turn=unpacker.u64(),
        vote=Vote(unpacker.u8()),
        samples=tuple(unpacker.many(each=read_reported_sample)),
        wanted=tuple(unpacker.many(each=read_wanted_sample)),
        brief=bool(unpacker.u8()),
    )
    unpacker.done()
    return question


@dataclass(frozen=True, kw_only=True)
class RelayedValue:
    key: str
    ballot: Ballot
    value: bytes


@dataclass(frozen=True, kw_only=True)
class RelayedBackend:
    announcement: Announcement
    quiet: bool


@dataclass(frozen=True, kw_only=True)
class RelayAnswer:
    """`age_us` is how old the controller's own knowledge of the register is, by its own clock.

    `answered_us` is what that clock says at the answer. `ask` names the services whose primaries the asker is to ask
    for their positions. `site` is told to brief questions alone.
    """

    source: int
    edition: int
    age_us: int
    whole: bool
    values: tuple[RelayedValue, ...] = ()
    backends: tuple[RelayedBackend, ...] = ()
    controllers: tuple[str, ...] = ()
    answered_us: int = 0
    samples: tuple[PooledSample, ...] = ()
    ask: tuple[str, ...] = ()
    site: str = ""

    def bytes(self) -> bytes:
        packer = Packer().u64(value=self.source).u64(value=self.edition).u64(value=self.age_us)
        packer.u8(value=int(self.whole))

        def write_value(p: Packer, entry: RelayedValue) -> None:
            entry.ballot.write(packer=p.text(value=entry.key))
            p.blob(value=entry.value)

        def write_backend(p: Packer, entry: RelayedBackend) -> None:
            entry.announcement.write(packer=p)
            p.u8(value=int(entry.quiet))

        packer.many(values=self.values, each=write_value).many(values=self.backends, each=write_backend)
        packer.many(values=self.controllers, each=lambda p, a: p.text(value=a)).u64(value=self.answered_us)
        packer.many(values=self.samples, each=lambda p, sample: sample.write(packer=p))
        return packer.many(values=self.ask, each=lambda p, name: p.text(value=name)).text(value=self.site).bytes()


def read_relay_answer(*, data: bytes) -> RelayAnswer:
    """Raises ValueError where the bytes are none."""
    unpacker = Unpacker(data=data)
    source, edition, age_us, whole = unpacker.u64(), unpacker.u64(), unpacker.u64(), bool(unpacker.u8())
    values = unpacker.many(each=lambda u: RelayedValue(key=u.text(), ballot=read_ballot(unpacker=u), value=u.blob()))
    backends = unpacker.many(
        each=lambda u: RelayedBackend(announcement=read_announcement(unpacker=u), quiet=bool(u.u8()))
    )
    controllers = unpacker.many(each=lambda u: u.text())
    answered_us, samples = unpacker.u64(), unpacker.many(each=read_pooled_sample)
    ask, site = unpacker.many(each=lambda u: u.text()), unpacker.text()
    unpacker.done()
    return RelayAnswer(
        source=source,
        edition=edition,
        age_us=age_us,
        whole=whole,
        values=tuple(values),
        backends=tuple(backends),
        controllers=tuple(controllers),
        answered_us=answered_us,
        samples=tuple(samples),
        ask=tuple(ask),
        site=site,
    )
