"""The register replica daemon: holds one vote of the register under the identity on its disk."""

from collections.abc import Callable

from expression import Error, Ok, Result

from ..membership.member import Member
from ..membership.membership import Membership
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.errors import CinderstairError
<<<<<<< HEAD
=======
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
>>>>>>> h-runtime
from ..runtime.settings import Settings
from .acceptor import Acceptor
from .candidates import CandidateTable
from .fault_tolerance import MissingVotes, alive_voters
from .founding import first_roster, found
from .identity import ensure_identity
from .join_requests import JOIN_REQUEST_PERIOD_US, JoinRequests
from .joining import Joining
from .messages import (
    AcceptRequest,
    AdoptRequest,
    JoinRequest,
    LeaseRequest,
    PrepareRequest,
    ReadRequest,
    VectorRequest,
)
from .register import Register
from .roster import Roster, Voter
from .standby import watches_for_vacancy
from .store import Store
from .voter_watch import VoterWatch, lost_after_us

# the name of this role in the membership's records
ROLE = "vault"
# a replica that neither votes nor watches for a vacancy sends join requests once in so many periods
IDLE_PERIODS = 8
# added at random to each period, so that replicas that start together don't send in step
PERIOD_JITTER_US = 50_000
LEAVE_POLL_US = 50_000


class RegisterReplica:
    """A voter of the register, or a candidate that becomes one when the roster has a vacancy.

    `open` builds all that rests on the disk, and `start` the membership; nothing else may be called before them.

    :param halt: called with the reason when the disk fails, after which the process must end.
    """

    me: Voter
    acceptor: Acceptor
    join_requests: JoinRequests
    joining: Joining
    membership: Membership

    def __init__(self, *, ctx: Context, settings: Settings, halt: Callable[[str], None]) -> None:
        self.ctx = ctx
        self.settings = settings
        self.halt = halt
        self.dispatcher = Dispatcher(ctx=ctx)
        self.register = Register(ctx=ctx, seeds=settings.seeds, own=settings.records)
        self.candidates = CandidateTable(ctx=ctx)
        self.watch = VoterWatch(ctx=ctx, lost_after_us=lost_after_us(catch_up_us=settings.catchUpUs))
        self.missing_votes = MissingVotes(ctx=ctx)
        self.may_found = True
        self.started_us = ctx.now_us()
<<<<<<< HEAD
=======
        self.joining_since_us: int | None = None
        # since when fewer vote than are to
        self.short_since_us: int | None = None
        lost_after_us = settings.catch_up_us // LOST_AFTER_SHARE
        self.watch = VoterWatch(
            ctx=ctx, lost_after_us=min(LOST_AFTER_MOST_US, max(LOST_AFTER_LEAST_US, lost_after_us))
        )
>>>>>>> h-runtime

    def open(self) -> Result[None, CinderstairError]:
        """Reads the disk, or gives a blank one an identity, and answers requests from then on.

        diskDamaged: the disk holds what may not be used.
        """
        opened = Store(disk=self.ctx.disk).open()
        if opened.is_error():
            return Error(opened.error)
        store = opened.ok
<<<<<<< HEAD
        fresh = ensure_identity(ctx=self.ctx, store=store)
        # a blank disk where the system has run before is a lost one, and must not found a second system
        self.may_found = self.settings.mayFound or not fresh
        self.me = Voter(ident=store.state.ident, name=self.settings.name, address=self.settings.records)
        self.candidates.add(candidate=self.me)
        self.acceptor = Acceptor(ctx=self.ctx, store=store, fresh=fresh, halt=self.halt)
        self.join_requests = JoinRequests(
            ctx=self.ctx, me=self.me, acceptor=self.acceptor, candidates=self.candidates, watch=self.watch
        )
        self.joining = Joining(
            ctx=self.ctx, me=self.me, register=self.register, acceptor=self.acceptor, watch=self.watch
        )
        self._add_handlers()
=======
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
>>>>>>> h-runtime
        return Ok(None)

    def _add_handlers(self) -> None:
        for message_type, handler in (
            (PrepareRequest.message_type, self.acceptor.prepare),
            (AcceptRequest.message_type, self.acceptor.accept),
            (ReadRequest.message_type, self.acceptor.read),
            (VectorRequest.message_type, self.acceptor.vector),
            (LeaseRequest.message_type, self.acceptor.lease),
            (AdoptRequest.message_type, self.acceptor.adopt),
            (JoinRequest.message_type, self.join_requests.answer),
        ):
            self.dispatcher.add_handler(message_type=message_type, handler=handler)

    async def start(self) -> Result[None, CinderstairError]:
        """Opens the disk, listens, and begins to look for the other replicas. Errors are those of `open`."""
        opened = self.open()
        if opened.is_error():
            return opened
        # the seeds are register replicas, so the daemons find one another among these
        self.membership = Membership(
            ctx=self.ctx,
            dispatcher=self.dispatcher,
            me=self._member(),
            seeds=self.settings.seeds,
            every_us=self.settings.probeEveryUs,
        )
        await self.ctx.net.listen(address=self.settings.records, answer=self.dispatcher.answer)
        self.ctx.spawn(work=self.run_joining(), name="register_replica.join")
        self.ctx.log.info("register replica %s ident %x", self.me.name, self.me.ident)
        return Ok(None)

    def _member(self) -> Member:
        return Member(
            name=self.settings.name,
            role=ROLE,
            site=self.settings.site,
            records=self.settings.records,
            http=self.settings.http,
            incarnation=1,
        )
<<<<<<< HEAD
=======
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
>>>>>>> h-runtime

    @property
    def roster(self) -> Roster | None:
        """The newest roster that this replica has adopted; None where it knows none yet."""
        return self.acceptor.roster

    @property
<<<<<<< HEAD
    def max_voters(self) -> int:
        """How many voters the roster may have."""
        return self.settings.mostVaults or self.settings.foundingVaults
=======
    def most(self) -> int:
        return self.settings.max_voters or self.settings.founding_replicas
>>>>>>> h-runtime

    @property
    def votes(self) -> bool:
        """Whether this replica is a voter of the roster that it knows."""
        return self.acceptor.votes

<<<<<<< HEAD
    async def run_joining(self) -> None:
        """Sends join requests until a roster is known, and at longer intervals after; founds or joins it."""
        while True:
            await self.join_requests.send_all(seeds=self.settings.seeds)
            if self.roster is None:
                await self._found()
            elif not self.votes:
                await self.joining.attempt(roster=self.roster, membership=self.membership, max_voters=self.max_voters)
            self._count_votes()
            # a standby that watches must be quick: while a vote is missing the system bears one loss less
            periods = 1 if self.watches_for_vacancy() else IDLE_PERIODS
            jitter_us = self.ctx.rng.randrange(PERIOD_JITTER_US)
            await self.ctx.sleep(duration_us=JOIN_REQUEST_PERIOD_US * periods + jitter_us)

    async def _found(self) -> None:
        """Proposes the first roster to the seeds, once this blank seed knows enough candidates."""
        if not self.may_found:
            return
        proposal = first_roster(
            settings=self.settings,
            me=self.me,
            candidates=self.candidates.by_name,
            waited_us=self.ctx.now_us() - self.started_us,
        )
        if proposal is None:
            return
        roster = await found(register=self.register, proposal=proposal)
        if roster is not None:
            await self.acceptor.adopt_roster(roster=roster)

    def watches_for_vacancy(self) -> bool:
        """Whether this replica has no vote and is among those that have to take the next vacancy."""
        if self.votes:
            return False
        if self.roster is None:
            return True
        return watches_for_vacancy(
            roster=self.roster, me=self.me, max_voters=self.max_voters, membership=self.membership
        )

    def standbys(self) -> list[str]:
        """The names of the replicas that could take this one's vote; empty where no roster is known."""
        return [] if self.roster is None else self.candidates.standbys(roster=self.roster)

    def alive_voters(self) -> list[Voter]:
        """The voters that are not known to be gone; empty where no roster is known."""
        return [] if self.roster is None else alive_voters(roster=self.roster, membership=self.membership)

    def tolerable_losses(self) -> int:
        """How many more voters may be lost before no majority is left; below 0 there is none."""
        return -1 if self.roster is None else len(self.alive_voters()) - self.roster.majority

    def _count_votes(self) -> None:
        if self.roster is None:
            self.missing_votes.since_us = None
        else:
            self.missing_votes.update(alive=len(self.alive_voters()), wanted=self.max_voters)

    async def drain(self) -> None:
        """A planned stop: deregisters, then votes on until a standby, where there is one, has taken the vote.

        With the vote gone before it is taken over, the system would bear one loss less than it is to.
        """
        until_us = self.ctx.now_us() + self.settings.leaveWithinUs
=======
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
>>>>>>> h-runtime
        await self.membership.leave()
        while self.votes and self.standbys() and self.ctx.now_us() < until_us:
            await self.ctx.sleep(duration_us=LEAVE_POLL_US)

    def resettle(self, *, settings: Settings) -> None:
        """Takes settings that have changed while the daemon runs."""
        self.settings = settings
        self.register.seeds = settings.seeds
