"""Real clients that speak with real handlers, each record kept with its answer."""

from collections.abc import Callable

from expression import Ok
from record_format_examples import announcement, roster
from record_format_handlers import (
    ADDRESS,
    EPOCH,
    OTHER_LEASES_US,
    DeskNet,
    FrontEnd,
    control_desk,
    front_end,
    replica_desk,
)
from stage import Stage

from cinderstair.consensus.lease import Lease
from cinderstair.consensus.register import Register
from cinderstair.consensus.register_view import RegisterView
from cinderstair.consensus.roster import Roster
from cinderstair.control_plane.announcer import Announcer
from cinderstair.control_plane.booth_census import BoothCensus
from cinderstair.control_plane.relay import Relay
from cinderstair.failover.booth_places import BoothPlace
from cinderstair.http_frontend.handle import Handle, Tag
from cinderstair.membership.announcement import Announcement, read_announcement
from cinderstair.membership.beat import READY
from cinderstair.membership.crowd import Crowd
from cinderstair.membership.member import Member
from cinderstair.membership.news import News
from cinderstair.pooler.place_teller import PlaceTeller
from cinderstair.pooler.relayed_view import RelayedView
from cinderstair.runtime.context import Context
from cinderstair.runtime.desk import Desk

DARK_ADDRESS = "10.1.0.9:7100"
SECOND_ADDRESS = "10.2.0.2:7200"
PAUSE_US = 1_200_000
WAIT_US = 1_000_000


async def use_register(*, register: Register, lease: Lease) -> None:
    """Everything that a client of the register sends: a write, a read, vectors, a lease, a roster."""
    one_voter = Roster(epoch=EPOCH, voters=roster(epoch=EPOCH).voters[:1])
    assert await register.tell(address=ADDRESS, roster=one_voter)
    await register.ctx.rest(wait_us=OTHER_LEASES_US)
    assert await register.find_roster()
    assert (await register.change(key="plan", decide=lambda _: Ok(b"value"))).is_ok()
    assert (await register.read(key="plan")).ok.value == b"value"
    assert (await register.vector()).is_ok()
    assert (await register.vector()).is_ok()
    assert await lease.seek()
    await lease.drop()


def register_conversation(*, stage: Stage) -> list[tuple[bytes, bytes]]:
    """All records between a client of the register and its only voter."""
    client = stage.context(name="client", seed=3)
    net = DeskNet()
    client.net = net
    net.desks[ADDRESS] = replica_desk(stage=stage)
    register = Register(ctx=client, seeds=(ADDRESS,))
    lease = Lease(ctx=client, register=register, duty="slots", seekers=lambda: 1)
    stage.run(work=use_register(register=register, lease=lease))
    return net.carried


def add_member(*, crowd: Crowd, name: str, role: str, address: str) -> None:
    """Makes a daemon known to another."""
    crowd.members[name] = Member(name=name, role=role, site="far", records=address, http="", incarnation=1)
    crowd.since_us[name] = crowd.ctx.now_us()


class ControlClient:
    """What a control daemon and a pooler ask of a control daemon. Needs a running loop."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        desk = Desk(ctx=ctx)
        me = Member(name="client", role="vault", site="near", records=SECOND_ADDRESS, http="", incarnation=1)
        self.crowd = Crowd(ctx=ctx, desk=desk, me=me, seeds=())
        self.news: News[Announcement] = News(
            ctx=ctx, desk=desk, crowd=self.crowd, read=lambda u: read_announcement(unpacker=u), peers=list
        )
        self.announcer = Announcer(ctx=ctx, desk=desk, news=self.news, voters=lambda: (ADDRESS,))
        relay = Relay(
            ctx=ctx,
            desk=desk,
            view=RegisterView(ctx=ctx, register=Register(ctx=ctx, seeds=())),
            news=self.news,
            guildhalls=tuple,
            on_trouble=lambda name, asker: None,
            shorten=lambda key, value: value,
        )
        self.census = BoothCensus(ctx=ctx, desk=desk, relay=relay, neighbours=lambda: [ADDRESS])
        self.view = RelayedView(ctx=ctx, site="near", seeds=lambda: (ADDRESS,))
        self.teller = PlaceTeller(ctx=ctx, view=self.view, place=BoothPlace(site="near", records=SECOND_ADDRESS))

    async def use(self) -> None:
        """Probes, a backend's word, news, a pull by relay, a place, and what is known of poolers."""
        add_member(crowd=self.crowd, name="replica-1", role="vault", address=ADDRESS)
        await self.crowd.check(name="replica-1")
        assert await self.announcer.spread(announcement=announcement(state=READY))
        await self.news.refresh(peers=(ADDRESS,))
        assert self.news.latest(name="db-1") is not None
        await self.view.pull()
        self.view.asked = ADDRESS
        await self.ctx.rest(wait_us=PAUSE_US)
        self.teller.tend()
        await self.ctx.rest(wait_us=1)
        assert await self.census.gather(every_us=0)
        assert await self.census.gather_places(every_us=0)
        add_member(crowd=self.crowd, name="replica-9", role="vault", address=DARK_ADDRESS)
        await self.crowd.check(name="replica-9")


def control_conversation(*, stage: Stage) -> list[tuple[bytes, bytes]]:
    """All records between a control daemon and what asks it."""
    desk = control_desk(stage=stage)
    ctx = stage.context(name="client", seed=3)
    net = DeskNet()
    ctx.net = net
    net.desks[ADDRESS] = desk
    client = stage.call(call=lambda: ControlClient(ctx=ctx))
    stage.run(work=client.use())
    return net.carried


async def use_sessions(*, ctx: Context, first: FrontEnd, second: FrontEnd) -> None:
    """A session is copied, vouched for, sought, offered to the other front end, and ended."""
    add_member(crowd=first.crowd, name="front-2", role="stall", address=SECOND_ADDRESS)
    await first.crowd.check(name="front-2")
    await ctx.rest(wait_us=1)
    held = first.sessions.add(database="orders")
    assert held is not None
    assert await first.keeper.keep(session=held, until_us=ctx.now_us() + WAIT_US)
    await ctx.rest(wait_us=PAUSE_US)
    await first.handover.find(handle=Handle("front-9.00ee", Tag(2, "00c0ffee")))
    second.ready.draining = True
    assert await first.handover.hand_all() == 1
    first.sessions.close(session=held)
    await ctx.rest(wait_us=1)


def session_conversation(*, stage: Stage) -> list[tuple[bytes, bytes]]:
    """All records from one front end to another."""
    ctx, other = stage.context(name="front-1", seed=3), stage.context(name="front-2", seed=4)
    net = DeskNet()
    ctx.net = net
    me = Member(name="front-1", role="stall", site="near", records=ADDRESS, http="", incarnation=1)
    peer = Member(name="front-2", role="stall", site="far", records=SECOND_ADDRESS, http="", incarnation=1)
    first = stage.call(call=lambda: front_end(ctx=ctx, me=me))
    second = stage.call(call=lambda: front_end(ctx=other, me=peer))
    net.desks[SECOND_ADDRESS] = second.desk
    stage.run(work=use_sessions(ctx=ctx, first=first, second=second))
    return net.carried


CONVERSATIONS: dict[str, Callable[..., list[tuple[bytes, bytes]]]] = {
    "register": register_conversation,
    "control": control_conversation,
    "sessions": session_conversation,
}
