"""Samples the log positions of primaries, from which the position required of a replica is derived."""

from ..failover.service_primary import PrimaryState, ServicePrimary
from ..membership.pooled_sample import ASK_AFTER_US
from ..runtime.position import Position
from .link_pool import LinkPool
from .replica_selection import AGE_MARGIN_US, SAMPLES_WANTED_FOR_US, ReplicaSelectionMixin
from .reply import Reply

# A sample is refreshed at this age, or later where reads allow a greater age.
SAMPLE_AHEAD_US = 600_000
# Covers one interval of the router's timer, the answer of a distant primary, and the wait for a link.
SAMPLE_SPAN_US = 600_000
SAMPLE_LINK_WAIT_US = 400_000
# A primary that has answered within this time is not probed when another backend stops answering.
RECENT_ANSWER_US = 300_000
MAX_PROBES = 64


class PositionSamplingMixin(ReplicaSelectionMixin):
    """Requests positions from primaries before reads need them, and records those in every reply of a primary."""

    def record_reply(self, *, pool: LinkPool, service: str, requested_us: int, reply: Reply) -> None:
        """Records the position in a reply of a backend that was the confirmed primary when the statement was sent.

        :param requested_us: this proxy's clock just before the statement was sent.
        """
        pool.record_answer()
        assignment = self.view.primaries.get(service)
        if reply.position is None or assignment is None or assignment.primary != pool.backend.name:
            return
        # That the view was current was checked before sending; here the primary only has to be the same still.
        if assignment.state == PrimaryState.moving or reply.position.term > assignment.term:
            return
        self.freshness(service=service).note(requested_us=requested_us, position=reply.position)
        # A sample requested before this assignment was received may lie past a fence set in between.
        if requested_us >= self.view.assigned_since_us[service]:
            self.view.samples.add_own(
                service=service, term=assignment.term, requested_us=requested_us, position=reply.position
            )

    async def sample(self, *, service: str) -> None:
        """Requests the primary's position and records it; a failure is ignored, as sampling is repeated."""
        primary = self.confirmed_primary(service=service)
        if primary.is_error():
            return
        pool = primary.ok
        acquired = await pool.acquire(values={}, rank=0, until_us=self.ctx.now_us() + SAMPLE_LINK_WAIT_US)
        if acquired.is_error():
            return
        link, requested_us = acquired.ok, self.ctx.now_us()
        # The primary may have changed during the wait for a link.
        if self.confirmed_primary(service=service).is_error():
            pool.release(link=link)
            return
        self.ctx.counters.add(name="samples.asked")
        try:
            reply = await link.ask_position()
        except ConnectionError:
            pool.release(link=link)
            return
        pool.release(link=link)
        self.record_reply(pool=pool, service=service, requested_us=requested_us, reply=reply)

    def _sample_if_due(self, *, service: str, assignment: ServicePrimary) -> None:
        """Requests the primary's position if reads need samples and no reply has given a recent one."""
        freshness = self.freshness(service=service)
        now_us = self.ctx.now_us()
        if assignment.fence_known:
            freshness.fence(as_of_us=self.view.as_of_us, position=assignment.fence)
        ahead_us = max(SAMPLE_AHEAD_US, freshness.wanted_age_us - AGE_MARGIN_US - SAMPLE_SPAN_US)
        if now_us - freshness.wanted_us > SAMPLES_WANTED_FOR_US or now_us - freshness.newest_us < ahead_us:
            return
        if self.confirmed_primary(service=service).is_ok():
            self.ctx.spawn(work=self.sample(service=service), name="sample")

    def _services_wanting_samples(self) -> list[str]:
        """The services for which a recent read has needed a position."""
        now_us = self.ctx.now_us()
        return [
            name for name, freshness in self.samples.items() if now_us - freshness.wanted_us <= SAMPLES_WANTED_FOR_US
        ]

    def _take_pooled_sample(self, service: str, requested_us: int, position: Position) -> None:
        self.freshness(service=service).note(requested_us=requested_us, position=position)

    def _sample_on_request(self, service: str) -> None:
        """Samples on behalf of all proxies at the controller's request, unless a recent sample exists."""
        recent = self.ctx.now_us() - self.freshness(service=service).newest_us < ASK_AFTER_US
        if not recent and self.confirmed_primary(service=service).is_ok():
            self.ctx.spawn(work=self._sample_for_all(service=service), name="sample")

    async def _sample_for_all(self, *, service: str) -> None:
        await self.sample(service=service)
        self.view.pull_now()

    def _probe_unheard_primaries(self) -> None:
        """Probes primaries that have not answered recently, after another backend has stopped answering.

        One cause may have stopped several backends; a probe detects that before a client's statement does. At most
        MAX_PROBES are sent.
        """
        now_us, probes = self.ctx.now_us(), 0
        for service, assignment in self.view.primaries.items():
            pool = self.pools.get(assignment.primary)
            quiet = (
                pool is not None
                and not pool.silent
                and not pool.borrowed
                and now_us - pool.last_answer_us > RECENT_ANSWER_US
            )
            if pool is not None and quiet and pool.idle and self.confirmed_primary(service=service).is_ok():
                probes += 1
                self.ctx.counters.add(name="links.doubted")
                self.ctx.spawn(work=self.sample(service=service), name="sample")
            if probes >= MAX_PROBES:
                return
