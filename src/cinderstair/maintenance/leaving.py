"""What open windows select: the backends and HTTP proxies that are to stand empty. Pure, and the same everywhere."""

from dataclasses import dataclass, field

from ..config.configuration import Configuration
from .window_states import Stage, WindowStates


@dataclass(frozen=True, kw_only=True)
class Leaving:
    """Names by what they are, with the windows that want each empty."""

    backends: dict[str, tuple[str, ...]] = field(default_factory=dict)
    http_proxies: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def why(self, *, name: str) -> str:
        windows = self.backends.get(name) or self.http_proxies.get(name) or ()
        return f"window {', '.join(windows)}" if windows else ""


def leaving(*, configuration: Configuration | None, states: WindowStates) -> Leaving:
    """Overlapping windows count together: a thing stands empty while any of them wants it."""
    if configuration is None:
        return Leaving()
    opened = [window for window in configuration.windows if states.stage(window=window) == Stage.open]
    backends = {
        name: tuple(w.name for w in opened if w.empties.matches(labels=backend.labels))
        for name, backend in configuration.backends.items()
    }
    http_proxies = {
        name: tuple(w.name for w in opened if w.empties.matches(labels=labels))
        for name, labels in configuration.http_proxy_labels.items()
    }
    return Leaving(
        backends={name: windows for name, windows in backends.items() if windows},
        http_proxies={name: windows for name, windows in http_proxies.items() if windows},
    )
