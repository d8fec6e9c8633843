"""Computes the effects of a scenario, with the pure functions that the daemons use."""

from typing import Any

from ..config.configuration import Configuration
from .connection_layout import connection_layout, layout_change
from .drain_targets import drain_targets
from .scenario import Scenario
from .window_forecast import database_forecast, proxy_forecast
from .window_states import Stage, WindowState, WindowStates


def open_states(*, configuration: Configuration, names: tuple[str, ...]) -> WindowStates:
    """States in which the named windows are open and all others booked."""
    return WindowStates(
        states=tuple(
            WindowState(name=window.name, starts_us=window.starts_us, ends_us=window.ends_us, stage=Stage.open)
            for window in configuration.windows
            if window.name in names
        )
    )


def what_if(*, configuration: Configuration, scenario: Scenario) -> dict[str, Any]:
    """Computes the layout before and after a scenario, their difference, and a forecast for each database.

    :returns: the answer under the keys of the operators' interface
    """
    states = open_states(configuration=configuration, names=scenario.windows)
    targets = drain_targets(configuration=configuration, states=states)
    lost = frozenset(name for name in scenario.lost if name in configuration.backends)
    forecasts = {
        database: database_forecast(
            configuration=configuration, scenario=scenario, targets=targets, lost=lost, database=database
        )
        for database in configuration.databases
    }
    # The id of a lost HTTP proxy is freed only after a grace period, so it stays in use with an empty name.
    remaining = tuple("" if name in scenario.lost else name for name in scenario.http_proxies)
    http_proxies = (*remaining, *scenario.joins)
    proxies = proxy_forecast(scenario=scenario, targets=targets, http_proxies=http_proxies)
    before = connection_layout(
        configuration=configuration,
        http_proxies=scenario.http_proxies,
        unfit=frozenset(),
        held={name: (scenario.primaries[name], *scenario.in_sync[name]) for name in configuration.databases},
    )
    after = connection_layout(
        configuration=configuration,
        http_proxies=http_proxies,
        unfit=lost | frozenset(targets.backends),
        held={database: forecast.held for database, forecast in forecasts.items()},
    )
    windows = {database: forecast.as_json() for database, forecast in forecasts.items()}
    if proxies is not None:
        windows["stalls"] = proxies.as_json()
    return {
        "configuration": configuration.version,
        "before": before.as_json(configuration=configuration),
        "after": after.as_json(configuration=configuration),
        "moves": layout_change(before=before, after=after).as_json(),
        "windows": windows,
        "warnings": list(configuration.warnings),
    }
