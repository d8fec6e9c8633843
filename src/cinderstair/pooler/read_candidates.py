"""The backends to which a session may send a read."""

from typing import NamedTuple

from ..config.service_plan import Consistency, DatabaseRoute
from ..runtime.errors import CinderstairError
from ..runtime.position import Position
from .link_pool import LinkPool
from .session_base import SessionBase


class Candidate(NamedTuple):
    """A backend's pool, and the log position that it must have reached.

    `at_least` is None where only the current primary will do.
    """

    pool: LinkPool
    at_least: Position | None


class Candidates(NamedTuple):
    """The candidates, best first; `fault` says why there are none, and is None where there are some."""

    found: list[Candidate]
    fault: CinderstairError | None = None


class CandidateSequence:
    """Offers one statement's candidates in turn.

    Their order changes with their load, so those that were tried are kept by name and not by index.
    """

    __slots__ = ("tried",)

    def __init__(self) -> None:
        self.tried: set[str] = set()

    def next(self, *, candidates: list[Candidate]) -> Candidate:
        """The best candidate not yet tried; once all were tried, the round begins again."""
        if all(candidate.pool.backend.name in self.tried for candidate in candidates):
            self.tried.clear()
        chosen = next(candidate for candidate in candidates if candidate.pool.backend.name not in self.tried)
        self.tried.add(chosen.pool.backend.name)
        return chosen


class ReadCandidatesMixin(SessionBase):
    """Chooses backends for a session's reads and transactions."""

    def _read_candidates(self, *, route: DatabaseRoute, arrived_us: int) -> Candidates:
        """Replicas that are fresh enough, or else the primary.

        :param arrived_us: when the read arrived, which its maximum age counts from.
        """
        if route.consistency != Consistency.primary:
            required = self.router.required_position(
                route=route, arrived_us=arrived_us, own_position=self._own_position(route=route)
            )
            if required.is_ok():
                readers = self.router.readers(service=route.service)
                if readers:
                    return Candidates(found=[Candidate(pool, required.ok) for pool in readers])
        return self._primary_candidate(route=route)

    def _own_position(self, *, route: DatabaseRoute) -> Position | None:
        """The position of this session's last commit, where its reads must see that commit."""
        commit = self.last_commit
        if route.consistency != Consistency.session or commit is None or commit.service != route.service:
            return None
        return commit.position

    def _primary_candidate(self, *, route: DatabaseRoute) -> Candidates:
        """The primary alone; none while the database moves or nobody surely leads."""
        moving = self.router.shards.fault(database=route.database)
        if moving is not None:
            return Candidates(found=[], fault=moving)
        primary = self.router.confirmed_primary(service=route.service)
        if primary.is_error():
            return Candidates(found=[], fault=primary.error)
        return Candidates(found=[Candidate(primary.ok, None)])
