"""Chooses which backend becomes the next primary of a service.

Invariant: whoever is chosen holds every commit that was ever acknowledged.
"""

from dataclasses import dataclass

from ..membership.announcement import GONE, Announcement
from ..membership.heartbeat import READY
from ..runtime.position import Position
from .backend_control import BackendState
from .backend_poller import BackendPoller
from .service_primary import ServicePrimary


@dataclass(frozen=True, kw_only=True)
class Successor:
    """`name` is to lead in `term`. No commit past `fence` was acknowledged in any lower term."""

    term: int
    name: str
    fence: Position


def furthest_paused(*, paused: dict[str, BackendState], ready: set[str]) -> str:
    """The backend with the longest log; of equals one that is ready, then the first by name."""
    return max(sorted(paused), key=lambda name: (paused[name].received, name in ready))


def furthest(*, states: dict[str, BackendState]) -> str:
    """The backend with the longest log; of equals the first by name."""
    return max(sorted(states), key=lambda name: states[name].received)


def leading_or_furthest(*, states: dict[str, BackendState]) -> str:
    """A backend that leads already, else the one with the longest log."""
    return max(sorted(states), key=lambda name: (states[name].is_primary, states[name].received))


async def inheriting_successor(
    *, poller: BackendPoller, assignment: ServicePrimary, old: Announcement | None, others: list[Announcement]
) -> Successor | None:
    """Who has come to the address of a deregistered primary, has its log, and leads with it; None for nobody.

    Such a backend can't be paused, since it leads; and it need not be, since its log has all that was acknowledged.
    """
    if old is None or old.state != GONE:
        return None
    candidates = [each for each in others if each.address == old.address and each.is_primary and each.state == READY]
    for name, state in (await poller.states(members=candidates)).items():
        if state.is_primary and state.term >= assignment.term:
            return Successor(term=state.term, name=name, fence=state.received)
    return None
