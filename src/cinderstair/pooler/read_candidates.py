"""Selects the backends to which a session may send a read or begin a transaction."""

from typing import NamedTuple

from ..config.service_plan import Consistency, DatabaseRoute
from ..runtime.errors import CinderstairError
from ..runtime.position import Position
from .link_pool import LinkPool
from .session_base import SessionBase


class Candidate(NamedTuple):
    """A backend's pool, and the log position that it must have reached.

    `at_least` is None where only the current primary may serve the statement.
    """

    pool: LinkPool
    at_least: Position | None


class Candidates(NamedTuple):
    """The candidates, best first; `fault` is the reason why there are none, else None."""

    found: list[Candidate]
    fault: CinderstairError | None = None


class CandidateSequence:
    """Iterates over one statement's candidates across attempts.

    The order of candidates changes with their load, so the tried ones are stored by name, not by index.
    """

    __slots__ = ("tried",)

    def __init__(self) -> None:
        self.tried: set[str] = set()

    def next(self, *, candidates: list[Candidate]) -> Candidate:
        """The best candidate that was not tried yet; once all were tried, starts over."""
        if all(candidate.pool.backend.name in self.tried for candidate in candidates):
            self.tried.clear()
        chosen = next(candidate for candidate in candidates if candidate.pool.backend.name not in self.tried)
        self.tried.add(chosen.pool.backend.name)
        return chosen


class ReadCandidatesMixin(SessionBase):
    """Selects candidates for a session's reads and transactions."""

    def _read_candidates(self, *, route: DatabaseRoute, arrived_us: int) -> Candidates:
        """Backends that may serve a read: by log position if the required one is known, else the primary alone.

        :param arrived_us: when the read arrived; its maximum age counts from then.
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
        """The primary alone; none while the database is moved to another service or no primary is confirmed."""
        moving = self.router.shards.fault(database=route.database)
        if moving is not None:
            return Candidates(found=[], fault=moving)
        primary = self.router.confirmed_primary(service=route.service)
        if primary.is_error():
            return Candidates(found=[], fault=primary.error)
        return Candidates(found=[Candidate(primary.ok, None)])
