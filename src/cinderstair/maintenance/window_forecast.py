"""Forecasts of what open windows do to each database and to the HTTP proxies, and of what holds them back."""

from dataclasses import dataclass
from typing import Any

from ..config.configuration import Configuration
from .drain_targets import DrainTargets
from .scenario import Scenario


@dataclass(frozen=True, kw_only=True)
class ProxyForecast:
    """Whether the HTTP proxies that windows select can be drained, and the steps."""

    finishes: bool
    steps: tuple[str, ...]

    def as_json(self) -> dict[str, Any]:
        """The forecast under the keys of the operators' interface."""
        return {"finishes": self.finishes, "steps": list(self.steps)}


@dataclass(frozen=True, kw_only=True)
class DatabaseForecast:
    """Whether the backends that windows select can be drained, the steps, and the resulting primary and replicas."""

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
    """The outcome of one part of the forecast; an empty note means that nothing needs to be done."""

    names: tuple[str, ...]
    note: str = ""
    finishes: bool = True


def database_forecast(
    *, configuration: Configuration, scenario: Scenario, targets: DrainTargets, lost: frozenset[str], database: str
) -> DatabaseForecast:
    """Forecasts the effect of windows on one database.

    :param lost: backends that fail in the scenario
    """
    names = configuration.databases[database]
    remaining = tuple(name for name in names if name not in targets.backends and name not in lost)
    primary_step = _next_primary(
        primary=scenario.primaries[database],
        in_sync=scenario.in_sync[database],
        remaining=remaining,
        leaving=frozenset(targets.backends),
        lost=lost,
    )
    primary = primary_step.names[0]
    limit = configuration.amount(name="inSync", database=database)
    in_sync_step = _next_in_sync(
        primary=primary, in_sync=scenario.in_sync[database], remaining=remaining, lost=lost, limit=limit
    )
    return DatabaseForecast(
        finishes=primary_step.finishes and in_sync_step.finishes,
        steps=tuple(note for note in (primary_step.note, in_sync_step.note) if note),
        primary=primary,
        in_sync=in_sync_step.names,
    )


def _next_primary(
    *,
    primary: str,
    in_sync: tuple[str, ...],
    remaining: tuple[str, ...],
    leaving: frozenset[str],
    lost: frozenset[str],
) -> _Step:
    if primary not in leaving and primary not in lost:
        return _Step(names=(primary,))
    candidates = [name for name in remaining if name in in_sync]
    joining = [name for name in remaining if name not in in_sync]
    if candidates:
        return _Step(names=(candidates[0],), note=f"the lead moves from {primary} to one of {', '.join(candidates)}")
    if joining and primary not in lost:
        note = f"{joining[0]} comes in sync first, then the lead moves to it from {primary}"
        return _Step(names=(joining[0],), note=note)
    note = f"held back: no backend outside the windows can replace {primary}"
    return _Step(names=(primary,), note=note, finishes=False)


def _next_in_sync(
    *, primary: str, in_sync: tuple[str, ...], remaining: tuple[str, ...], lost: frozenset[str], limit: int
) -> _Step:
    replicas = tuple(name for name in remaining if name != primary)[:limit]
    if replicas:
        return _Step(names=replicas)
    kept = next((name for name in in_sync if name != primary and name not in lost), "")
    if kept:
        note = f"held back: {kept} stays in sync, since nobody outside can"
        return _Step(names=(kept,), note=note, finishes=False)
    return _Step(names=(), note="no replica is in sync: writes are denied", finishes=False)


def proxy_forecast(
    *, scenario: Scenario, targets: DrainTargets, http_proxies: tuple[str, ...]
) -> ProxyForecast | None:
    """Forecasts the effect of windows on HTTP proxies; None if they select none.

    :param http_proxies: names by id, as for connection_layout
    """
    leaving = [name for name in http_proxies if name in targets.http_proxies]
    if not leaving:
        return None
    remaining = [
        name for name in http_proxies if name and name not in targets.http_proxies and name not in scenario.lost
    ]
    if not remaining:
        return ProxyForecast(finishes=False, steps=("held back: no HTTP proxy stays",))
    step = f"{', '.join(leaving)} hand their sessions to {', '.join(remaining)}"
    return ProxyForecast(finishes=True, steps=(step,))
