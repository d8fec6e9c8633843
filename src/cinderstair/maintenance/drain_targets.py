"""Determines which backends and HTTP proxies open windows drain.

The result is a pure function of the configuration and the stages, so all daemons compute the same one."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..config.configuration import Configuration
from ..config.selector import Labels
from ..config.window import Window
from .window_states import Stage, WindowStates


@dataclass(frozen=True, kw_only=True)
class DrainTargets:
    """Backends and HTTP proxies that must be drained, each with the names of the windows that select it."""

    backends: dict[str, tuple[str, ...]] = field(default_factory=dict)
    http_proxies: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def reason(self, *, name: str) -> str:
        """Why a backend or HTTP proxy must be drained, as text for operators; empty if it need not be."""
        windows = self.backends.get(name) or self.http_proxies.get(name) or ()
        return f"window {', '.join(windows)}" if windows else ""


def drain_targets(*, configuration: Configuration | None, states: WindowStates) -> DrainTargets:
    """Everything that at least one open window selects must be drained.

    :param configuration: None if none has been received yet; nothing is drained then
    """
    if configuration is None:
        return DrainTargets()
    open_windows = [window for window in configuration.windows if states.stage(window=window) == Stage.open]
    backend_labels = {name: backend.labels for name, backend in configuration.backends.items()}
    return DrainTargets(
        backends=_selected(windows=open_windows, labels_by_name=backend_labels),
        http_proxies=_selected(windows=open_windows, labels_by_name=configuration.http_proxy_labels),
    )


def _selected(*, windows: list[Window], labels_by_name: Mapping[str, Labels]) -> dict[str, tuple[str, ...]]:
    """The names of the windows that select each name; names without a window are omitted."""
    selected: dict[str, tuple[str, ...]] = {}
    for name, labels in labels_by_name.items():
        names = tuple(window.name for window in windows if window.drained.matches(labels=labels))
        if names:
            selected[name] = names
    return selected
