"""Chooses the backend that becomes the next primary of a service.

Invariant: the chosen backend's log includes every acknowledged commit.
"""

from dataclasses import dataclass

from ..membership.announcement import Announcement
from ..membership.heartbeat import READY
from ..runtime.position import Position
from .backend_control import BackendState
from .backend_poller import BackendPoller
from .service_primary import ServicePrimary


@dataclass(frozen=True, kw_only=True)
class Successor:
    """The next primary, `name`, its `term`, and `fence`, the end of its log.

    :param old_primary_stopped: whether the old primary has stepped down or exited, so that no commit after `fence`
        was or will be acknowledged. Otherwise a replica that is not known yet may confirm further ones.
    """

    term: int
    name: str
    fence: Position
    old_primary_stopped: bool = False


def most_advanced_paused(*, paused: dict[str, BackendState], ready: set[str]) -> str:
    """The paused backend with the longest log; ties go to a ready one, then to the first by name."""
    return max(sorted(paused), key=lambda name: (paused[name].received, name in ready))


def most_advanced(*, states: dict[str, BackendState]) -> str:
    """The backend with the longest log; ties go to the first by name."""
    return max(sorted(states), key=lambda name: states[name].received)


async def successor_at_same_address(
    *, poller: BackendPoller, assignment: ServicePrimary, old: Announcement | None, others: list[Announcement]
) -> Successor | None:
    """The backend that replaced the assigned primary at its address and is primary with its log; None without one.

    An address belongs to one process and a term to one primary, so where another backend answers there as primary of
    the assigned term, the old process has exited, and its log, which has every acknowledged commit, was taken over.

    :param old: what is known of the assigned primary; None for nothing, and then no backend can be found.
    """
    if old is None:
        return None
    candidates = [each for each in others if each.address == old.address and each.is_primary and each.state == READY]
    for name, state in (await poller.states(members=candidates)).items():
        if state.is_primary and state.term >= assignment.term:
            return Successor(term=state.term, name=name, fence=state.received, old_primary_stopped=True)
    return None
