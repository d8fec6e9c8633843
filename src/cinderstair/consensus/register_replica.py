"""The register replica daemon: finds the others, founds or learns the roster, and votes."""

import asyncio
from collections.abc import Callable

from expression import Error, Ok, Result

from ..membership.member import Member, Standing
from ..membership.membership import Membership
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.errors import CinderstairError
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.settings import Settings
from ..runtime.unpacker import Unpacker
from .acceptor import ROSTER_KEY, Acceptor
from .register import Register
from .roster import Roster, Voter, read_roster, read_voter, write_voter
from .store import Store, ident_entry
from .succession import Succession
from .voter_watch import VoterWatch

JOIN_REQUEST_PERIOD_US = 250_000
JOIN_REQUEST_WAIT_US = 500_000
ENTER_AFTER_US = 600_000
# a register replica that is not in line greets once in so many turns
QUIET_TURNS = 8
WATCHING_MOST = 2
# a standby counts as there for so long after its last greeting
STANDBY_US = 2_000_000
LEAVE_POLL_US = 50_000
# how long a founder waits for seeds that don't answer, where a majority of them does
FOUND_WAIT_US = 3_000_000
LOST_AFTER_LEAST_US = 500_000
LOST_AFTER_MOST_US = 2_000_000
# of the time within which another loss must be borne, a joining replica spends so much on judging who is lost
LOST_AFTER_SHARE = 4


class RegisterReplica:
    """Holds one vote under the identity on its disk; with a blank disk it is a stranger until a roster has it."""

    def __init__(self, *, ctx: Context, settings: Settings, halt: Callable[[str], None]) -> None:
        self.ctx = ctx
        self.settings = settings
        self.halt = halt
        self.dispatcher = Dispatcher(ctx=ctx)
        self.candidates: dict[str, Voter] = {}
        self.register = Register(ctx=ctx, seeds=settings.seeds, own=settings.records)
        self.me: Voter | None = None
        self.acceptor: Acceptor | None = None
        self.membership: Membership | None = None
        self.mayFound = True
        self.join_requested_us: dict[str, int] = {}
        self.started_us = ctx.now_us()
        self.joining_since_us: int | None = None
        # since when fewer vote than are to
        self.short_since_us: int | None = None
        lost_after_us = settings.catch_up_us // LOST_AFTER_SHARE
        self.watch = VoterWatch(
            ctx=ctx, lost_after_us=min(LOST_AFTER_MOST_US, max(LOST_AFTER_LEAST_US, lost_after_us))
        )

    def open(self) -> Result[None, CinderstairError]:
        """Reads the disk, or marks a blank one with a new identity, and opens the desks of its vote."""
        opened = Store(disk=self.ctx.disk).open()
        if opened.is_error():
            return Error(opened.error)
        store = opened.ok
        fresh = store.held.ident == 0
        # why: a blank disk where the system has run before is a lost one, and must not found a second system
        self.mayFound = self.settings.may_found or not fresh
        if fresh:
            store.held.ident = self.ctx.rng.getrandbits(62) | 1
            store.save(entries=[ident_entry(ident=store.held.ident)])
        self.me = Voter(ident=store.held.ident, name=self.settings.name, address=self.settings.records)
        self.candidates[self.me.name] = self.me
        acceptor = Acceptor(ctx=self.ctx, store=store, fresh=fresh, halt=self.halt)
        self.acceptor = acceptor
        for kind, answer in (
            (MessageType.PREPARE, acceptor.prepare),
            (MessageType.ACCEPT, acceptor.accept),
            (MessageType.READ, acceptor.read),
            (MessageType.VECTOR, acceptor.vector),
            (MessageType.LEASE, acceptor.lease),
            (MessageType.ADOPT, acceptor.adopt),
            (MessageType.JOIN_REQUEST, self._answer_join_request),
        ):
            self.dispatcher.add_handler(message_type=kind, handler=answer)
        return Ok(None)

    async def start(self) -> Result[None, CinderstairError]:
        opened = self.open()
        if opened.is_error():
            return opened
        assert self.me is not None
        # why: the seeds are register replicas, so it is among them that the daemons find one another
        me = Member(
            name=self.settings.name,
            role="vault",
            site=self.settings.site,
            records=self.settings.records,
            http=self.settings.http,
            incarnation=1,
        )
        self.membership = Membership(
            ctx=self.ctx,
            dispatcher=self.dispatcher,
            me=me,
            seeds=self.settings.seeds,
            every_us=self.settings.probe_every_us,
        )
        await self.ctx.net.listen(address=self.settings.records, handler=self.dispatcher.dispatch)
        self.ctx.spawn(work=self._meet(), name="vault.meet")
        self.ctx.log.info("register replica %s ident %x", self.me.name, self.me.ident)
        return Ok(None)

    @property
    def roster(self) -> Roster | None:
        return None if self.acceptor is None else self.acceptor.roster

    @property
    def most(self) -> int:
        return self.settings.max_voters or self.settings.founding_replicas

    async def _answer_join_request(self, unpacker: Unpacker) -> bytes:
        voter = read_voter(unpacker=unpacker)
        unpacker.done()
        # why: an asker without an identity is an HTTP proxy, which only wants the roster
        if voter.ident:
            self.candidates[voter.name] = voter
            self.join_requested_us[voter.name] = self.ctx.now_us()
        roster = b"" if self.roster is None else self.roster.bytes()
        # why: once there is a roster only operators ask who else there is; many standbys greet all the time, and the
        # list grows with them
        listed = self.candidates.values() if self.roster is None or not voter.ident else ()
        packer = Packer().u8(value=0).blob(value=roster)
        packer.many(values=listed, each=lambda p, v: write_voter(packer=p, voter=v))
        return packer.bytes()

    async def _meet(self) -> None:
        """Greets the seeds until a roster is known, and now and then after, to hear of a newer one."""
        assert self.me is not None
        while True:
            await self._send_join_requests()
            if self.roster is None:
                await self._found()
            elif not self.roster.has(ident=self.me.ident):
                await self._enter()
            self._count_votes()
            # why: a stranger that holds no vote leaves the system with one loss less to bear
            quiet = 1 if self.in_line() else QUIET_TURNS
            await self.ctx.sleep(duration_us=JOIN_REQUEST_PERIOD_US * quiet + self.ctx.rng.randrange(50_000))

    @property
    def votes(self) -> bool:
        """Whether the roster that is known here has this register replica."""
        return self.me is not None and self.roster is not None and self.roster.has(ident=self.me.ident)

    def in_line(self) -> bool:
        """Whether this register replica is among those that have to take a place soon, should one be free."""
        if self.votes:
            return False
        if self.roster is None or self.membership is None or self.me is None:
            return True
        names = [voter.name for voter in self.roster.voters]
        if self.me.name in names or len(names) < self.most:
            return True
        # why: where many stand by, a few that watch are enough, and all would weigh on the voters
        others = [member.name for member in self.membership.alive(role="vault") if member.name not in names]
        return sum(name < self.me.name for name in others) < WATCHING_MOST

    async def _send_join_requests(self) -> None:
        """Greets the seeds and the voters; whoever is late is heard all the same, and holds nothing up."""
        assert self.me is not None
        known = () if self.roster is None else tuple(v.address for v in self.roster.voters)
        addresses = [a for a in dict.fromkeys(self.settings.seeds + known) if a != self.me.address]
        join_requests = [
            self.ctx.spawn(work=self._send_join_request(address=address), name="greet") for address in addresses
        ]
        if join_requests:
            await asyncio.wait(join_requests, timeout=JOIN_REQUEST_PERIOD_US / 1_000_000)

    async def _send_join_request(self, *, address: str) -> None:
        assert self.me is not None
        packer = Packer().u8(value=MessageType.JOIN_REQUEST)
        write_voter(packer=packer, voter=self.me)
        result = await self.ctx.peer_client.request(
            address=address, body=packer.bytes(), wait_us=JOIN_REQUEST_WAIT_US
        )
        if result.is_error():
            return
        self.watch.answered(address=address)
        unpacker = Unpacker(data=result.ok)
        unpacker.u8()
        data = unpacker.blob()
        for voter in unpacker.many(each=lambda u: read_voter(unpacker=u)):
            if voter.name != self.me.name:
                self.candidates[voter.name] = voter
        if data:
            await self._adopt(data=data)

    async def _enter(self) -> None:
        """A stranger takes a snapshot, then the place of its own name in the roster, a free one, or a lost one's."""
        assert self.me is not None and self.acceptor is not None
        if self.joining_since_us is None:
            self.joining_since_us = self.ctx.now_us()
        assert self.membership is not None and self.roster is not None
        self.watch.follow(roster=self.roster)
        self.watch.doubt(roster=self.roster, membership=self.membership)
        # why: where all have just begun, everybody completes what was cut short, and a change of roster, which
        # writes every key anew, would beat their ballots and they its own; what serves clients goes first
        if self.ctx.now_us() - self.joining_since_us < ENTER_AFTER_US:
            return
        leaves = self._place()
        if leaves is None:
            return
        # why: what the others hold is taken first, so that from its first vote on it stands for something
        snapshot = await self.register.snapshot()
        if snapshot.is_error():
            return
        installs = [
            self.acceptor.install(key=key, ballot=found.ballot, value=found.value)
            for key, found in snapshot.ok.items()
        ]
        await asyncio.gather(*installs)
        succession = Succession(ctx=self.ctx, register=self.register)
        entered = await succession.succeed(leaves=leaves, enters=self.me, most=self.most)
        if entered.is_ok():
            await self._adopt(data=entered.ok.bytes())
            self.joining_since_us = None
        else:
            self.ctx.counters.add(name="vault.entersAgain")

    def _place(self) -> str | None:
        """Whose place may be taken: that of its own name, a free one (an empty name), or that of one lost."""
        assert self.me is not None and self.membership is not None and self.roster is not None
        names = [voter.name for voter in self.roster.voters]
        if self.me.name in names:
            return self.me.name
        if len(names) < self.most:
            return ""
        voter = self.watch.replaceable(roster=self.roster, membership=self.membership)
        return None if voter is None else voter.name

    async def _adopt(self, *, data: bytes) -> None:
        assert self.acceptor is not None
        await self.acceptor.adopt(Unpacker(data=Packer().blob(value=data).bytes()))

    async def _found(self) -> None:
        """Proposes the first roster to the seeds, once this blank seed has met enough replicas."""
        assert self.me is not None
        wanted = self.settings.founding_replicas
        # why: one seed that is cut off or gone from the first moment on must not keep the others from beginning
        if self.ctx.now_us() - self.started_us > FOUND_WAIT_US:
            wanted = min(wanted, len(self.settings.seeds) // 2 + 1)
        enough = len(self.candidates) >= wanted
        if self.me.address not in self.settings.seeds or not enough or not self.mayFound:
            return
        voters = tuple(sorted(self.candidates.values(), key=lambda v: v.name)[: self.settings.founding_replicas])
        mine = Roster(epoch=1, voters=voters).bytes()
        chosen = await self.register.change(key=ROSTER_KEY, decide=lambda data: Ok(data or mine), founding=True)
        # why: a roster counts only once a majority of the seeds hold it, and the first one chosen stays
        if chosen.is_ok() and read_roster(data=chosen.ok.value).epoch == 1:
            await self._adopt(data=chosen.ok.value)
        elif self.register.roster is not None:
            await self._adopt(data=self.register.roster.bytes())

    async def drain(self) -> None:
        """A planned stop: deregisters, then votes on until a standby, where there is one, has taken its place."""
        if self.membership is None:
            return
        until_us = self.ctx.now_us() + self.settings.leave_within_us
        await self.membership.leave()
        # why: with the vote gone before its place is taken, the system would bear one loss less than it is to
        while self.votes and self.standbys() and self.ctx.now_us() < until_us:
            await self.ctx.sleep(duration_us=LEAVE_POLL_US)

    def standbys(self) -> list[str]:
        """The register replicas without a vote that have greeted this one lately, and so may take a place."""
        if self.roster is None:
            return []
        now_us = self.ctx.now_us()
        return [
            name
            for name, at_us in sorted(self.join_requested_us.items())
            if now_us - at_us < STANDBY_US and not self.roster.has(ident=self.candidates[name].ident)
        ]

    def present(self) -> list[Voter]:
        """The voters that are not known to be gone."""
        if self.roster is None or self.membership is None:
            return []
        standings = {voter: self.membership.standing(name=voter.name) for voter in self.roster.voters}
        return [voter for voter, standing in standings.items() if standing == Standing.alive]

    def losses_borne(self) -> int:
        """How many more voters may be lost before no majority is left; below 0 there is none."""
        return -1 if self.roster is None else len(self.present()) - self.roster.majority

    def _count_votes(self) -> None:
        """Notes since when a vote is missing, and counts each look at which one is."""
        if self.roster is None or len(self.present()) >= self.most:
            self.short_since_us = None
            return
        self.ctx.counters.add(name="vault.votesMissing")
        if self.short_since_us is None:
            self.short_since_us = self.ctx.now_us()

    def resettle(self, *, settings: Settings) -> None:
        self.settings = settings
        self.register.seeds = settings.seeds
