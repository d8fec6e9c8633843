"""What open windows select: the backends and stalls that are to stand empty. Pure, and the same everywhere."""

from dataclasses import dataclass, field

from ..config.charter import Charter
from .windowstates import Stage, WindowStates


@dataclass(frozen=True, kw_only=True)
class Leaving:
    """Names by what they are, with the windows that want each empty."""

    backends: dict[str, tuple[str, ...]] = field(default_factory=dict)
    stalls: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def why(self, *, name: str) -> str:
        windows = self.backends.get(name) or self.stalls.get(name) or ()
        return f"window {', '.join(windows)}" if windows else ""


def leaving(*, charter: Charter | None, states: WindowStates) -> Leaving:
    """Overlapping windows count together: a thing stands empty while any of them wants it."""
    if charter is None:
        return Leaving()
    opened = [window for window in charter.windows if states.stage(window=window) == Stage.open]
    backends = {
        name: tuple(w.name for w in opened if w.empties.picks(labels=backend.labels))
        for name, backend in charter.backends.items()
    }
    stalls = {
        name: tuple(w.name for w in opened if w.empties.picks(labels=labels))
        for name, labels in charter.stall_labels.items()
    }
    return Leaving(
        backends={name: windows for name, windows in backends.items() if windows},
        stalls={name: windows for name, windows in stalls.items() if windows},
    )
