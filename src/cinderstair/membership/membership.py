"""Membership: probes to a few in turn, second opinions through third parties, suspicion before removal."""

from dataclasses import replace

from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .member import Member, Standing, read_member

PROBE_EVERY_US = 300_000
PROBE_WAIT_US = 250_000
SECOND_WAIT_US = 600_000
SUSPECT_US = 2_000_000
DEAF_US = 1_200_000
FORGET_US = 30_000_000
SECOND_OPINIONS = 3
MOST_MEMBERS = 512


class Membership(CommandQueueMixin):
    """Owns the table of members. Each daemon has its own; they agree in time, and nothing rests on more."""

    def __init__(
        self,
        *,
        ctx: Context,
        dispatcher: Dispatcher,
        me: Member,
        seeds: tuple[str, ...],
        every_us: int = PROBE_EVERY_US,
    ) -> None:
        self.ctx = ctx
        # why: who asks seldom is not deaf because the last answer is some askings old
        self.deaf_us = max(DEAF_US, 4 * every_us)
        self.me = me
        self.seeds = seeds
        self.members: dict[str, Member] = {}
        self.since_us: dict[str, int] = {}
        self.turn: list[str] = []
        self.heard_us = ctx.now_us()
        self.open_queue()
        dispatcher.add_handler(message_type=MessageType.PROBE, handler=self._probed)
        dispatcher.add_handler(message_type=MessageType.PROBE_FOR, handler=self._probed_for)
        self.post(command=self._on_timer, once="probe")
        self.every(every_us=every_us, command=self._on_timer, name="probe")

    def alive(self, *, role: str = "") -> list[Member]:
        """The others that are not known to be gone; suspects count as here until they are removed."""
        return [
            member
            for _, member in sorted(self.members.items())
            if member.standing <= Standing.suspect and role in ("", member.role)
        ]

    def standing(self, *, name: str) -> Standing | None:
        if name == self.me.name:
            return Standing.alive
        member = self.members.get(name)
        return None if member is None else member.standing

    def _news(self) -> bytes:
        packer = Packer()
        members = [self.me, *self.members.values()][:MOST_MEMBERS]
        return packer.many(values=members, each=lambda p, m: m.write(packer=p)).bytes()

    def _hear(self, *, unpacker: Unpacker) -> None:
        members = unpacker.many(each=lambda u: read_member(unpacker=u))
        unpacker.done()
        for member in members:
            # why: one that was cut off takes all the others for dead and says so when it is back; nobody is
            # removed on another's word alone, only suspected, so that it has the time to object
            if member.standing == Standing.dead:
                member = replace(member, standing=Standing.suspect)
            self._take(member=member)

    def _take(self, *, member: Member) -> None:
        if member.name == self.me.name:
            # why: an account of me that I would not give is answered by a newer one of my own
            if member.incarnation >= self.me.incarnation and member != self.me:
                self.me = replace(self.me, incarnation=member.incarnation + 1)
            return
        known = self.members.get(member.name)
        if known is None and (member.standing >= Standing.left or len(self.members) >= MOST_MEMBERS):
            return
        if known is None or member.outranks(other=known):
            self.members[member.name] = member
            self.since_us[member.name] = self.ctx.now_us()
            if known is None or known.standing != member.standing:
                self.ctx.log.info("member %s is %s", member.name, member.standing.name)

    async def _probed(self, unpacker: Unpacker) -> bytes:
        self._hear(unpacker=unpacker)
        return self._news()

    async def _probed_for(self, unpacker: Unpacker) -> bytes:
        address = unpacker.text()
        unpacker.done()
        # why: no answer means no; the asker is told nothing rather than a guess
        if not await self._probe(address=address, wait_us=PROBE_WAIT_US):
            raise ValueError("not reached")
        return self._news()

    async def _probe(self, *, address: str, wait_us: int) -> bool:
        body = Packer().u8(value=MessageType.PROBE).bytes() + self._news()
        result = await self.ctx.peer_client.request(address=address, body=body, wait_us=wait_us)
        if result.is_error():
            return False
        self.heard_us = self.ctx.now_us()
        try:
            self._hear(unpacker=Unpacker(data=result.ok))
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return False
        return True

    def _on_timer(self) -> None:
        self._sweep()
        self.ctx.spawn(work=self._round(), name="probe.round")

    def _sweep(self) -> None:
        now_us = self.ctx.now_us()
        deaf = now_us - self.heard_us > self.deaf_us
        for name, member in list(self.members.items()):
            age_us = now_us - self.since_us[name]
            if member.standing == Standing.suspect and deaf:
                # why: who has no answer from anyone is the one that is cut off; its suspicions start anew
                self.since_us[name] = now_us
            elif member.standing == Standing.suspect and age_us > SUSPECT_US:
                self._take(member=replace(member, standing=Standing.dead))
                self.ctx.counters.add(name="members.removed")
            elif member.standing >= Standing.left and age_us > FORGET_US:
                del self.members[name], self.since_us[name]

    async def _round(self) -> None:
        # why: seeds are asked whenever nobody is known, and now and then, so that two halves find each other
        if not self.alive() or self.ctx.rng.random() < 0.05:
            others = [seed for seed in self.seeds if seed != self.me.records]
            if others:
                await self._probe(address=self.ctx.rng.choice(others), wait_us=PROBE_WAIT_US)
        member = self._next()
        if member is not None:
            await self._check(member=member)

    async def check(self, *, name: str) -> None:
        """Probes one member out of turn, with second opinions; afterwards its standing says what was found."""
        member = self.members.get(name)
        if member is not None:
            await self._check(member=member)

    async def _check(self, *, member: Member) -> None:
        if await self._probe(address=member.records, wait_us=PROBE_WAIT_US):
            return
        if await self._second_opinion(member=member):
            return
        current = self.members.get(member.name)
        # why: a member that has spoken since with a newer incarnation is not the one that was silent
        if current is not None and current.incarnation == member.incarnation:
            self._take(member=replace(current, standing=max(Standing.suspect, current.standing)))

    def _next(self) -> Member | None:
        """Everyone once before anyone twice, in an order drawn anew each time round."""
        here = {member.name: member for member in self.alive()}
        self.turn = [name for name in self.turn if name in here]
        if not self.turn:
            self.turn = list(here)
            self.ctx.rng.shuffle(self.turn)
        return here[self.turn.pop()] if self.turn else None

    async def _second_opinion(self, *, member: Member) -> bool:
        others = [other for other in self.alive() if other.name != member.name]
        self.ctx.rng.shuffle(others)
        body = Packer().u8(value=MessageType.PROBE_FOR).text(value=member.records).bytes()
        asks = [
            self.ctx.spawn(
                work=self.ctx.peer_client.request(address=other.records, body=body, wait_us=SECOND_WAIT_US),
                name="second.opinion",
            )
            for other in others[:SECOND_OPINIONS]
        ]
        reached = False
        for ask in asks:
            reached = (await ask).is_ok() or reached
        return reached

    async def leave(self) -> None:
        """Says deregistration to a few, so that a planned stop is never taken for a crash."""
        self.me = replace(self.me, standing=Standing.left, incarnation=self.me.incarnation + 1)
        for member in self.alive()[:4]:
            await self._probe(address=member.records, wait_us=PROBE_WAIT_US)
