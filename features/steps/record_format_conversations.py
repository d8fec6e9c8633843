"""Conversations of real clients with real handlers, recorded as pairs of record and answer."""

from collections.abc import Callable

from cluster_stage import FakeDepartureRecord
from expression import Ok
from record_format_examples import announcement, roster
from record_format_handlers import (
    ADDRESS,
    EPOCH,
    OTHER_LEASES_US,
    DispatcherNet,
    HttpProxy,
    control_dispatcher,
    http_proxy,
    replica_dispatcher,
)
from stage import Stage

from cinderstair.consensus.lease import Lease
from cinderstair.consensus.register import Register
from cinderstair.consensus.register_view import RegisterView
from cinderstair.consensus.roster import Roster
from cinderstair.control_plane.announcer import Announcer
from cinderstair.control_plane.proxy_census import ProxyCensus
from cinderstair.control_plane.relay import Relay
from cinderstair.failover.proxy_addresses import ProxyAddress
from cinderstair.http_frontend.session_token import SessionToken, Tag
from cinderstair.membership.announcement import Announcement, read_announcement
from cinderstair.membership.heartbeat import READY
from cinderstair.membership.heartbeat_table import HeartbeatTable
from cinderstair.membership.member import Member
from cinderstair.membership.membership import Membership
from cinderstair.pooler.address_announcer import AddressAnnouncer
from cinderstair.pooler.relayed_view import RelayedView
from cinderstair.runtime.context import Context
from cinderstair.runtime.dispatcher import Dispatcher

UNREACHABLE_ADDRESS = "10.1.0.9:7100"
SECOND_ADDRESS = "10.2.0.2:7200"
TIMER_PAUSE_US = 1_200_000
WAIT_US = 1_000_000


async def exercise_register(*, register: Register, lease: Lease) -> None:
    """Sends all record types of a register client: a roster, a write, a read, two vectors and a lease."""
    one_voter = Roster(epoch=EPOCH, voters=roster(epoch=EPOCH).voters[:1])
    assert await register.send_roster(address=ADDRESS, roster=one_voter)
    await register.ctx.sleep(duration_us=OTHER_LEASES_US)
    assert await register.find_roster()
    assert (await register.change(key="plan", decide=lambda _: Ok(b"value"))).is_ok()
    assert (await register.read(key="plan")).ok.value == b"value"
    assert (await register.vector()).is_ok()
    assert (await register.vector()).is_ok()
    assert await lease.try_acquire()
    await lease.drop()


def register_conversation(*, stage: Stage) -> list[tuple[bytes, bytes]]:
    """Returns the exchanges between a client of the register and the only voter."""
    client = stage.context(name="client", seed=3)
    net = DispatcherNet()
    client.net = net
    net.dispatchers[ADDRESS] = replica_dispatcher(stage=stage)
    register = Register(ctx=client, seeds=(ADDRESS,))
    lease = Lease(ctx=client, register=register, name="slots", contenders=lambda: 1)
    stage.run(work=exercise_register(register=register, lease=lease))
    return net.exchanges


def add_member(*, membership: Membership, name: str, role: str, address: str) -> None:
    """Adds a daemon to another daemon's membership."""
    membership.members[name] = Member(name=name, role=role, site="far", records=address, http="", incarnation=1)
    membership.state_since_us[name] = membership.ctx.now_us()


class ControlClient:
    """The components of controllers and proxies that send records to a controller. Needs a running loop."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        dispatcher = Dispatcher(ctx=ctx)
        me = Member(name="client", role="vault", site="near", records=SECOND_ADDRESS, http="", incarnation=1)
        self.membership = Membership(ctx=ctx, dispatcher=dispatcher, me=me, seeds=())
        self.heartbeat_table: HeartbeatTable[Announcement] = HeartbeatTable(
            ctx=ctx,
            dispatcher=dispatcher,
            membership=self.membership,
            read=lambda u: read_announcement(unpacker=u),
            peers=list,
        )
        self.announcer = Announcer(
            ctx=ctx,
            dispatcher=dispatcher,
            heartbeat_table=self.heartbeat_table,
            voters=lambda: (ADDRESS,),
            departure_record=FakeDepartureRecord(),
        )
        relay = Relay(
            ctx=ctx,
            dispatcher=dispatcher,
            view=RegisterView(ctx=ctx, register=Register(ctx=ctx, seeds=())),
            heartbeat_table=self.heartbeat_table,
            controllers=tuple,
            on_link_failure=lambda name, asker: None,
            shorten=lambda key, value: value,
        )
        self.census = ProxyCensus(ctx=ctx, dispatcher=dispatcher, relay=relay, peers=lambda: [ADDRESS])
        self.view = RelayedView(ctx=ctx, site="near", seeds=lambda: (ADDRESS,))
        self.address_announcer = AddressAnnouncer(
            ctx=ctx, view=self.view, address=ProxyAddress(site="near", records=SECOND_ADDRESS)
        )

    async def use(self) -> None:
        """Sends probes, an announcement, a heartbeat query, a relay request, a proxy address and queries for proxies.

        The last probe goes to an unreachable member, which makes the client ask the controller to probe it.
        """
        add_member(membership=self.membership, name="replica-1", role="vault", address=ADDRESS)
        await self.membership.check(name="replica-1")
        assert await self.announcer.replicate(announcement=announcement(state=READY))
        await self.heartbeat_table.refresh(peers=(ADDRESS,))
        assert self.heartbeat_table.latest(name="db-1") is not None
        await self.view.pull()
        self.view.controller = ADDRESS
        await self.ctx.sleep(duration_us=TIMER_PAUSE_US)
        self.address_announcer.on_timer()
        await self.ctx.sleep(duration_us=1)
        assert await self.census.gather(every_us=0)
        assert await self.census.gather_addresses(every_us=0)
        add_member(membership=self.membership, name="replica-9", role="vault", address=UNREACHABLE_ADDRESS)
        await self.membership.check(name="replica-9")


def control_conversation(*, stage: Stage) -> list[tuple[bytes, bytes]]:
    """Returns the exchanges between a controller and its clients."""
    dispatcher = control_dispatcher(stage=stage)
    ctx = stage.context(name="client", seed=3)
    net = DispatcherNet()
    ctx.net = net
    net.dispatchers[ADDRESS] = dispatcher
    client = stage.call(call=lambda: ControlClient(ctx=ctx))
    stage.run(work=client.use())
    return net.exchanges


async def exercise_sessions(*, ctx: Context, first: HttpProxy, second: HttpProxy) -> None:
    """Replicates a session, refreshes its replica, looks up a session, hands the session over, and closes it."""
    add_member(membership=first.membership, name="front-2", role="stall", address=SECOND_ADDRESS)
    await first.membership.check(name="front-2")
    await ctx.sleep(duration_us=1)
    held = first.sessions.add(database="orders")
    assert held is not None
    assert await first.session_replicator.replicate(session=held, until_us=ctx.now_us() + WAIT_US)
    await ctx.sleep(duration_us=TIMER_PAUSE_US)
    await first.handover.find(handle=SessionToken("front-9.00ee", Tag(2, "00c0ffee")))
    second.ready.draining = True
    assert await first.handover.hand_over_all() == 1
    first.sessions.close(session=held)
    await ctx.sleep(duration_us=1)


def session_conversation(*, stage: Stage) -> list[tuple[bytes, bytes]]:
    """Returns the exchanges from one HTTP proxy to another."""
    ctx, other = stage.context(name="front-1", seed=3), stage.context(name="front-2", seed=4)
    net = DispatcherNet()
    ctx.net = net
    me = Member(name="front-1", role="stall", site="near", records=ADDRESS, http="", incarnation=1)
    peer = Member(name="front-2", role="stall", site="far", records=SECOND_ADDRESS, http="", incarnation=1)
    first = stage.call(call=lambda: http_proxy(ctx=ctx, me=me))
    second = stage.call(call=lambda: http_proxy(ctx=other, me=peer))
    net.dispatchers[SECOND_ADDRESS] = second.dispatcher
    stage.run(work=exercise_sessions(ctx=ctx, first=first, second=second))
    return net.exchanges


CONVERSATIONS: dict[str, Callable[..., list[tuple[bytes, bytes]]]] = {
    "register": register_conversation,
    "control": control_conversation,
    "sessions": session_conversation,
}
