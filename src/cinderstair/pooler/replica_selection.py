"""Selects backends for reads, and computes the log position that a replica must have reached."""

from expression import Error, Ok, Result

from ..config.service_plan import DatabaseRoute
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.position import Position
from .link_pool import LinkPool
from .primary_selection import PrimarySelectionMixin

# Keeps a sample that is just recent enough from expiring while the read is sent to the backend.
AGE_MARGIN_US = 60_000
# The primary serves reads like a replica while it runs fewer statements than this.
PRIMARY_READS = 3
# One unit of distance weighs as much as this many statements running at a nearer backend.
LOAD_PER_DISTANCE = 4
# Positions are sampled for this long after the last read that needed one.
SAMPLES_WANTED_FOR_US = 4_000_000


class ReplicaSelectionMixin(PrimarySelectionMixin):
    """Orders the replicas of this proxy's subset by failures, distance and load."""

    def replicas(self, *, service: str) -> list[LinkPool]:
        """The subset's replicas that may be read from, nearest first, failing ones last."""
        pools = [self.pools[name] for name in self.replica_subsets.get(service, ()) if name in self.pools]
        usable = [pool for pool in pools if not pool.closed and not self._reported_silent(name=pool.backend.name)]
        return sorted(usable, key=self._cost)

    def _reported_silent(self, *, name: str) -> bool:
        entry = self.view.backends.get(name)
        return entry is None or entry.silent

    def _cost(self, pool: LinkPool) -> tuple[bool, int, int]:
        return pool.suspected, self.distance(pool.backend.site) + pool.load // LOAD_PER_DISTANCE, pool.load

    def readers(self, *, service: str) -> list[LinkPool]:
        """The backends for a read with a required position, best first.

        The primary competes with replicas while its load is low, is last while it is moderate, and is then left out.
        """
        replicas = self.replicas(service=service)
        primary = self.confirmed_primary(service=service)
        if primary.is_error():
            return replicas
        pool = primary.ok
        if pool.load < PRIMARY_READS and not pool.suspected:
            return sorted([*replicas, pool], key=self._cost)
        # If all replicas lag, the reads of all proxies must not overload the primary.
        return [*replicas, pool] if pool.load < 2 * max(1, pool.limit) else replicas

    def required_position(
        self, *, route: DatabaseRoute, arrived_us: int, own_position: Position | None
    ) -> Result[Position, CinderstairError]:
        """The log position that a replica must have reached for a read.

        :param arrived_us: when the read arrived; its maximum age counts from then.
        :param own_position: the position of the session's commit that the read must see; None for none.
        Errors: TOO_STALE if no sample of the primary's position is recent enough.
        """
        freshness = self.freshness(service=route.service)
        now_us = self.ctx.now_us()
        recently_wanted = now_us - freshness.wanted_us <= SAMPLES_WANTED_FOR_US
        freshness.wanted_age_us = (
            min(freshness.wanted_age_us, route.max_age_us) if recently_wanted else route.max_age_us
        )
        freshness.wanted_us = now_us
        since_us = self.shards.read_since_us(
            database=route.database, since_us=arrived_us - route.max_age_us + AGE_MARGIN_US
        )
        needed = None if since_us is None else freshness.position_since(since_us=since_us)
        if needed is None:
            return Error(
                CinderstairError(
                    code=ErrorCode.TOO_STALE, reason="no sample of the primary's log position is recent enough"
                )
            )
        return Ok(needed if own_position is None else max(needed, own_position))
