"""The register replica daemon: a voter of the register, or a standby for one."""

from collections.abc import Callable

from expression import Error, Ok, Result

from ..membership.member import Member
from ..membership.membership import Membership
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.errors import CinderstairError
from ..runtime.settings import Settings
from .acceptor import Acceptor
from .candidates import CandidateTable
from .fault_tolerance import MissingVotes, alive_voters
from .founding import choose_first_roster, first_roster
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
from .standby import REPLICA_ROLE, watches_for_vacancy
from .store import Store
from .voter_watch import VoterWatch, lost_after_us

# replicas that don't watch for a vacancy send join requests once in this many periods
IDLE_PERIODS = 8
# random addition to each period, so that replicas started together don't send at the same times
PERIOD_JITTER_US = 50_000
LEAVE_POLL_US = 50_000


class RegisterReplica:
    """Owns the parts of one register replica; it votes, or joins the roster when there is a vacancy.

    `open` creates what depends on the disk, and `start` calls it and creates the membership. Other methods must not
    be called before them.

    :param halt: called with the reason when the disk fails; the process must then end.
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
        self.register = Register(ctx=ctx, seeds=settings.seeds, own_address=settings.records)
        self.candidates = CandidateTable(ctx=ctx)
        self.watch = VoterWatch(ctx=ctx, lost_after_us=lost_after_us(catch_up_us=settings.catch_up_us))
        self.missing_votes = MissingVotes(ctx=ctx)
        self.may_found = True
        self.started_us = ctx.now_us()

    def open(self) -> Result[None, CinderstairError]:
        """Reads the disk, or stores an identity on a blank one, and registers the request handlers.

        diskDamaged: the disk is damaged or of a newer format, and must not be used.
        """
        opened = Store(disk=self.ctx.disk).open()
        if opened.is_error():
            return Error(opened.error)
        store = opened.ok
        fresh = ensure_identity(ctx=self.ctx, store=store)
        # a blank disk in a system that has run before is a lost disk, and must not found a second system
        self.may_found = self.settings.may_found or not fresh
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
        """Opens the disk, listens, and starts the join loop. Errors are those of `open`."""
        opened = self.open()
        if opened.is_error():
            return opened
        # the seeds are register replicas, so every daemon finds the others through them
        self.membership = Membership(
            ctx=self.ctx,
            dispatcher=self.dispatcher,
            me=self._member(),
            seeds=self.settings.seeds,
            every_us=self.settings.probe_every_us,
        )
        await self.ctx.net.listen(address=self.settings.records, handler=self.dispatcher.dispatch)
        self.ctx.spawn(work=self.run_joining(), name="register_replica.join")
        self.ctx.log.info("register replica %s (ident %x) started", self.me.name, self.me.ident)
        return Ok(None)

    def _member(self) -> Member:
        return Member(
            name=self.settings.name,
            role=REPLICA_ROLE,
            site=self.settings.site,
            records=self.settings.records,
            http=self.settings.http,
            incarnation=1,
        )

    @property
    def roster(self) -> Roster | None:
        """The adopted roster; None if there is none yet."""
        return self.acceptor.roster

    @property
    def max_voters(self) -> int:
        """How many voters the roster may have."""
        return self.settings.max_voters or self.settings.founding_replicas

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter of the adopted roster."""
        return self.acceptor.is_voter

    async def run_joining(self) -> None:
        """Sends join requests periodically, and founds the system or joins the roster if this replica has no vote."""
        while True:
            await self.join_requests.send_all(seeds=self.settings.seeds)
            if self.roster is None:
                await self._propose_first_roster()
            elif not self.is_voter:
                await self.joining.attempt(roster=self.roster, membership=self.membership, max_voters=self.max_voters)
            self._count_votes()
            # a watching standby must react fast: while a vote is missing, the system tolerates one loss less
            periods = 1 if self.watches_for_vacancy() else IDLE_PERIODS
            jitter_us = self.ctx.rng.randrange(PERIOD_JITTER_US)
            await self.ctx.sleep(duration_us=JOIN_REQUEST_PERIOD_US * periods + jitter_us)

    async def _propose_first_roster(self) -> None:
        """Proposes the first roster once this seed knows enough candidates, and adopts the chosen one."""
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
        roster = await choose_first_roster(register=self.register, proposal=proposal)
        if roster is not None:
            await self.acceptor.adopt_roster(roster=roster)

    def watches_for_vacancy(self) -> bool:
        """Whether this replica has no vote and is one of those that take the next vacancy."""
        if self.is_voter:
            return False
        if self.roster is None:
            return True
        return watches_for_vacancy(
            roster=self.roster, me=self.me, max_voters=self.max_voters, membership=self.membership
        )

    def standbys(self) -> list[str]:
        """The names of the standbys that could replace this replica as a voter; empty if no roster is known."""
        return [] if self.roster is None else self.candidates.standbys(roster=self.roster)

    def alive_voters(self) -> list[Voter]:
        """The voters that the membership holds alive; empty if no roster is known."""
        return [] if self.roster is None else alive_voters(roster=self.roster, membership=self.membership)

    def tolerable_losses(self) -> int:
        """How many more voters may be lost with a majority left; negative if there is none now, or no roster."""
        return -1 if self.roster is None else len(self.alive_voters()) - self.roster.majority

    def _count_votes(self) -> None:
        if self.roster is None:
            self.missing_votes.since_us = None
        else:
            self.missing_votes.update(alive=len(self.alive_voters()), wanted=self.max_voters)

    async def drain(self) -> None:
        """Planned stop: deregisters, and keeps voting until a standby has replaced this voter or time is up.

        If it stopped voting earlier, the system would tolerate one loss less in the meantime. Without a standby it
        returns at once. The limit is the setting `leave_within_us`.
        """
        until_us = self.ctx.now_us() + self.settings.leave_within_us
        await self.membership.leave()
        while self.is_voter and self.standbys() and self.ctx.now_us() < until_us:
            await self.ctx.sleep(duration_us=LEAVE_POLL_US)

    def update_settings(self, *, settings: Settings) -> None:
        """Applies settings that were changed at runtime."""
        self.settings = settings
        self.register.seeds = settings.seeds
