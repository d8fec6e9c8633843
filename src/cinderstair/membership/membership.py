"""Group membership after SWIM (Das, Gupta & Motivala, 2002): random and indirect probes, suspicion, refutation."""

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
INDIRECT_PROBE_WAIT_US = 600_000
SUSPECT_US = 2_000_000
ISOLATED_AFTER_US = 1_200_000
FORGET_US = 30_000_000
INDIRECT_PROBES = 3
MAX_MEMBERS = 512
SEED_PROBE_PROBABILITY = 0.05
LEAVE_PROBES = 4


class Membership(CommandQueueMixin):
    """Owns one daemon's table of members. The tables of the daemons are eventually consistent.

    A member that answers no probe is suspected, and is dead after SUSPECT_US unless it refutes the suspicion.

    :param me: this daemon's own record.
    :param seeds: the addresses to probe while no other member is known, and occasionally later.
    """

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
        # with a long probe period, an answer that is a few periods old does not mean isolation
        self.isolated_after_us = max(ISOLATED_AFTER_US, 4 * every_us)
        self.me = me
        self.seeds = seeds
        self.members: dict[str, Member] = {}
        self.state_since_us: dict[str, int] = {}
        self.probe_order: list[str] = []
        self.answered_at_us = ctx.now_us()
        self.open_queue()
        dispatcher.add_handler(message_type=MessageType.PROBE, handler=self._on_probe)
        dispatcher.add_handler(message_type=MessageType.PROBE_FOR, handler=self._on_probe_for)
        self.post(command=self._on_timer, once="probe")
        self.every(every_us=every_us, command=self._on_timer, name="probe")

    def alive(self, *, role: str = "") -> list[Member]:
        """The other members, sorted by name; suspects count as alive until they are removed.

        :param role: the role of the wanted members; empty for all.
        """
        return [
            member
            for _, member in sorted(self.members.items())
            if member.standing <= Standing.suspect and role in ("", member.role)
        ]

    def standing(self, *, name: str) -> Standing | None:
        """The state of a member or of this daemon; None if the member is unknown."""
        if name == self.me.name:
            return Standing.alive
        member = self.members.get(name)
        return None if member is None else member.standing

    def _update(self) -> bytes:
        """The encoded table, at most MAX_MEMBERS members including this daemon."""
        packer = Packer()
        members = [self.me, *self.members.values()][:MAX_MEMBERS]
        return packer.many(values=members, each=lambda p, m: m.write(packer=p)).bytes()

    def _merge_update(self, *, unpacker: Unpacker) -> None:
        """Merges another daemon's encoded table. Raises ValueError if it is malformed."""
        members = unpacker.many(each=lambda u: read_member(unpacker=u))
        unpacker.done()
        for member in members:
            # after a partition a daemon reports all others dead, so an update only makes a member suspect, which
            # leaves it time to refute
            if member.standing == Standing.dead:
                member = replace(member, standing=Standing.suspect)
            self._merge(member=member)

    def _merge(self, *, member: Member) -> None:
        if member.name == self.me.name:
            # a wrong update about this daemon is refuted with a higher incarnation
            if member.incarnation >= self.me.incarnation and member != self.me:
                self.me = replace(self.me, incarnation=member.incarnation + 1)
            return
        known = self.members.get(member.name)
        if known is None and (member.standing >= Standing.left or len(self.members) >= MAX_MEMBERS):
            return
        if known is None or member.outranks(other=known):
            self.members[member.name] = member
            self.state_since_us[member.name] = self.ctx.now_us()
            if known is None or known.standing != member.standing:
                self.ctx.log.info(
                    "member %s is %s (incarnation %d)", member.name, member.standing.name, member.incarnation
                )

    async def _on_probe(self, unpacker: Unpacker) -> bytes:
        self._merge_update(unpacker=unpacker)
        return self._update()

    async def _on_probe_for(self, unpacker: Unpacker) -> bytes:
        address = unpacker.text()
        unpacker.done()
        # a failed probe is not answered; the requester counts the timeout as a failure
        if not await self._probe(address=address, wait_us=PROBE_WAIT_US):
            raise ValueError(f"indirect probe of {address}: no answer")
        return self._update()

    async def _probe(self, *, address: str, wait_us: int) -> bool:
        """Exchanges tables with the daemon at an address; whether it sent a valid answer."""
        body = Packer().u8(value=MessageType.PROBE).bytes() + self._update()
        result = await self.ctx.peer_client.request(address=address, body=body, wait_us=wait_us)
        if result.is_error():
            return False
        self.answered_at_us = self.ctx.now_us()
        try:
            self._merge_update(unpacker=Unpacker(data=result.ok))
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return False
        return True

    def _on_timer(self) -> None:
        self._expire()
        self.ctx.spawn(work=self._probe_round(), name="probe.round")

    def _expire(self) -> None:
        now_us = self.ctx.now_us()
        isolated = now_us - self.answered_at_us > self.isolated_after_us
        for name, member in list(self.members.items()):
            age_us = now_us - self.state_since_us[name]
            if member.standing == Standing.suspect and isolated:
                # an isolated daemon gets no answers from anyone, so it restarts its suspicion timeouts
                self.state_since_us[name] = now_us
            elif member.standing == Standing.suspect and age_us > SUSPECT_US:
                self._merge(member=replace(member, standing=Standing.dead))
                self.ctx.counters.add(name="members.removed")
            elif member.standing >= Standing.left and age_us > FORGET_US:
                del self.members[name], self.state_since_us[name]

    async def _probe_round(self) -> None:
        # seeds are also probed occasionally, so that the two sides of a healed partition find each other
        if not self.alive() or self.ctx.rng.random() < SEED_PROBE_PROBABILITY:
            others = [seed for seed in self.seeds if seed != self.me.records]
            if others:
                await self._probe(address=self.ctx.rng.choice(others), wait_us=PROBE_WAIT_US)
        member = self._next_to_probe()
        if member is not None:
            await self._check(member=member)

    async def check(self, *, name: str) -> None:
        """Probes one member now, directly and then indirectly, and makes it suspect if both fail."""
        member = self.members.get(name)
        if member is not None:
            await self._check(member=member)

    async def _check(self, *, member: Member) -> None:
        if await self._probe(address=member.records, wait_us=PROBE_WAIT_US):
            return
        if await self._probe_indirectly(member=member):
            return
        current = self.members.get(member.name)
        # a higher incarnation announced meanwhile refutes this suspicion
        if current is not None and current.incarnation == member.incarnation:
            self._merge(member=replace(current, standing=max(Standing.suspect, current.standing)))

    def _next_to_probe(self) -> Member | None:
        """The member to probe next: each once per cycle, in an order that is shuffled for each cycle."""
        alive = {member.name: member for member in self.alive()}
        self.probe_order = [name for name in self.probe_order if name in alive]
        if not self.probe_order:
            self.probe_order = list(alive)
            self.ctx.rng.shuffle(self.probe_order)
        return alive[self.probe_order.pop()] if self.probe_order else None

    async def _probe_indirectly(self, *, member: Member) -> bool:
        """Whether any of INDIRECT_PROBES other members reaches this one; waits for all of them."""
        others = [other for other in self.alive() if other.name != member.name]
        self.ctx.rng.shuffle(others)
        body = Packer().u8(value=MessageType.PROBE_FOR).text(value=member.records).bytes()
        requests = [
            self.ctx.spawn(
                work=self.ctx.peer_client.request(address=other.records, body=body, wait_us=INDIRECT_PROBE_WAIT_US),
                name="probe.indirect",
            )
            for other in others[:INDIRECT_PROBES]
        ]
        reached = False
        for request in requests:
            reached = (await request).is_ok() or reached
        return reached

    async def leave(self) -> None:
        """Announces to a few members that this daemon leaves, so that a planned stop does not look like a crash."""
        self.me = replace(self.me, standing=Standing.left, incarnation=self.me.incarnation + 1)
        for member in self.alive()[:LEAVE_PROBES]:
            await self._probe(address=member.records, wait_us=PROBE_WAIT_US)
