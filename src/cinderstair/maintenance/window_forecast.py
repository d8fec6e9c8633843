"""What open windows would do, database by database, and where they would be held back."""

from dataclasses import dataclass
from typing import Any

from ..config.configuration import Configuration
from .drain_targets import DrainTargets
from .scenario import Scenario


@dataclass(frozen=True, kw_only=True)
class ProxyForecast:
    """Whether the HTTP proxies that windows select can be drained, and by which steps."""

    finishes: bool
    steps: tuple[str, ...]

    def as_json(self) -> dict[str, Any]:
        """The forecast under the keys of the operators' interface."""
        return {"finishes": self.finishes, "steps": list(self.steps)}


@dataclass(frozen=True, kw_only=True)
class DatabaseForecast:
    """Whether the backends that windows select can be drained, and who serves the database then."""

    finishes: bool
    steps: tuple[str, ...]
    primary: str
    in_sync: tuple[str, ...]

    @property
    def held(self) -> tuple[str, ...]:
        """The backends to which every HTTP proxy connects."""
        return (self.primary, *self.in_sync)

    def as_json(self) -> dict[str, Any]:
        """The forecast under the keys of the operators' interface."""
        return {
            "finishes": self.finishes,
            "steps": list(self.steps),
            "primary": self.primary,
            "inSync": list(self.in_sync),
        }


@dataclass(frozen=True, kw_only=True)
class _Step:
    """The outcome of one part of the forecast; an empty note says that nothing is to be done."""

    names: tuple[str, ...]
    note: str = ""
    finishes: bool = True


def database_forecast(
    *, configuration: Configuration, scenario: Scenario, targets: DrainTargets, lost: frozenset[str], database: str
) -> DatabaseForecast:
    """What windows would do to one database.

    :param lost: backends that the scenario takes away
    """
    names = configuration.databases[database]
    staying = tuple(name for name in names if name not in targets.backends and name not in lost)
    lead = _next_primary(
        primary=scenario.primaries[database],
        in_sync=scenario.in_sync[database],
        staying=staying,
        leaving=frozenset(targets.backends),
        lost=lost,
    )
    primary = lead.names[0]
    limit = configuration.amount(name="inSync", database=database)
    followers = _next_in_sync(
        primary=primary, in_sync=scenario.in_sync[database], staying=staying, lost=lost, limit=limit
    )
    return DatabaseForecast(
        finishes=lead.finishes and followers.finishes,
        steps=tuple(note for note in (lead.note, followers.note) if note),
        primary=primary,
        in_sync=followers.names,
    )


def _next_primary(
    *,
    primary: str,
    in_sync: tuple[str, ...],
    staying: tuple[str, ...],
    leaving: frozenset[str],
    lost: frozenset[str],
) -> _Step:
    if primary not in leaving and primary not in lost:
        return _Step(names=(primary,))
    able = [name for name in staying if name in in_sync]
    joining = [name for name in staying if name not in in_sync]
    if able:
        return _Step(names=(able[0],), note=f"the lead moves from {primary} to one of {', '.join(able)}")
    if joining and primary not in lost:
        note = f"{joining[0]} comes in sync first, then the lead moves to it from {primary}"
        return _Step(names=(joining[0],), note=note)
    note = f"held back: nobody outside could lead instead of {primary}"
    return _Step(names=(primary,), note=note, finishes=False)


def _next_in_sync(
    *, primary: str, in_sync: tuple[str, ...], staying: tuple[str, ...], lost: frozenset[str], limit: int
) -> _Step:
    followers = tuple(name for name in staying if name != primary)[:limit]
    if followers:
        return _Step(names=followers)
    kept = next((name for name in in_sync if name != primary and name not in lost), "")
    if kept:
        note = f"held back: {kept} stays in sync, since nobody outside can"
        return _Step(names=(kept,), note=note, finishes=False)
    return _Step(names=(), note="nobody is in sync: writes are denied", finishes=False)


def proxy_forecast(
    *, scenario: Scenario, targets: DrainTargets, http_proxies: tuple[str, ...]
) -> ProxyForecast | None:
    """What windows would do to HTTP proxies; None where they select none.

    :param http_proxies: names by id, as for connection_layout
    """
    leaving = [name for name in http_proxies if name in targets.http_proxies]
    if not leaving:
        return None
    staying = [
        name for name in http_proxies if name and name not in targets.http_proxies and name not in scenario.lost
    ]
    if not staying:
        return ProxyForecast(finishes=False, steps=("held back: no HTTP proxy stays",))
    step = f"{', '.join(leaving)} hand their sessions to {', '.join(staying)}"
    return ProxyForecast(finishes=True, steps=(step,))
