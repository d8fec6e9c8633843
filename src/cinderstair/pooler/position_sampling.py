"""Samples the log positions of primaries, against which replicas' freshness is measured."""

from ..failover.service_primary import PrimaryState, ServicePrimary
from ..membership.pooled_sample import ASK_AFTER_US
from ..runtime.position import Position
from .link_pool import LinkPool
from .replica_selection import AGE_MARGIN_US, SAMPLES_WANTED_FOR_US, ReplicaSelectionMixin
from .reply import Reply

SAMPLE_AHEAD_US = 600_000
# From one look at the samples to the next, the answer of a distant primary, and the wait for a link.
SAMPLE_SPAN_US = 600_000
SAMPLE_LINK_WAIT_US = 400_000
# A primary that has answered within this time is not probed when another one falls silent.
RECENT_ANSWER_US = 300_000
MAX_PROBES = 64


class PositionSamplingMixin(ReplicaSelectionMixin):
    """Asks primaries for their positions before reads need them, and takes them from every answer."""

    def record_reply(self, *, pool: LinkPool, service: str, requested_us: int, reply: Reply) -> None:
        """Takes the position from an answer of a backend that was the primary when it was asked.

        :param requested_us: the moment, by this proxy's clock, just before the statement was sent.
        """
        pool.record_answer()
        assignment = self.view.primaries.get(service)
        if reply.position is None or assignment is None or assignment.primary != pool.backend.name:
            return
        # Whether the view was current was checked when it was asked; here only the primary must still be the same.
        if assignment.state == PrimaryState.moving or reply.position.term > assignment.term:
            return
        self.freshness(service=service).note(requested_us=requested_us, position=reply.position)
        # A sample asked for before this state of the lead was known may lie past a fence set in between.
        if requested_us >= self.view.assigned_since_us[service]:
            self.view.samples.add_own(
                service=service, term=assignment.term, requested_us=requested_us, position=reply.position
            )

    async def sample(self, *, service: str) -> None:
        """Asks the primary for its position; gives up silently where that fails."""
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
        """Asks the primary where reads will want its position and no statement has shown it lately."""
        freshness = self.freshness(service=service)
        now_us = self.ctx.now_us()
        if assignment.state == PrimaryState.moving and assignment.fence.term:
            freshness.fence(as_of_us=self.view.as_of_us, position=assignment.fence)
        ahead_us = max(SAMPLE_AHEAD_US, freshness.wanted_age_us - AGE_MARGIN_US - SAMPLE_SPAN_US)
        if now_us - freshness.wanted_us > SAMPLES_WANTED_FOR_US or now_us - freshness.newest_us < ahead_us:
            return
        if self.confirmed_primary(service=service).is_ok():
            self.ctx.spawn(work=self.sample(service=service), name="sample")

    def _services_wanting_samples(self) -> list[str]:
        """The services for which a read has wanted a position lately."""
        now_us = self.ctx.now_us()
        return [
            name for name, freshness in self.samples.items() if now_us - freshness.wanted_us <= SAMPLES_WANTED_FOR_US
        ]

    def _take_pooled_sample(self, service: str, requested_us: int, position: Position) -> None:
        self.freshness(service=service).note(requested_us=requested_us, position=position)

    def _sample_on_request(self, service: str) -> None:
        """The controller has this proxy ask on behalf of all its proxies; done only where no recent sample exists."""
        recent = self.ctx.now_us() - self.freshness(service=service).newest_us < ASK_AFTER_US
        if not recent and self.confirmed_primary(service=service).is_ok():
            self.ctx.spawn(work=self._sample_for_all(service=service), name="sample")

    async def _sample_for_all(self, *, service: str) -> None:
        await self.sample(service=service)
        self.view.pull_now()

    def _probe_unheard_primaries(self) -> None:
        """Where one backend has fallen silent others may have; a probe finds that out at no client's cost."""
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
