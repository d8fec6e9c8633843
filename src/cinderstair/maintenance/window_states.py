"""The stages of maintenance windows, as the window scheduler stores them in the register."""

from dataclasses import dataclass
from enum import IntEnum

from ..config.window import Window
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

#: The register's key for the states of windows.
WINDOWS_KEY = "windows"


class Stage(IntEnum):
    """The stage of a window, which only increases. The names appear in JSON, the numbers are stored on disk."""

    booked = 0
    open = 1
    ended = 2


@dataclass(frozen=True, kw_only=True, order=True)
class WindowState:
    """The stage of one window; a window with changed times counts as a new window."""

    name: str
    starts_us: int
    ends_us: int
    stage: Stage

    def describes(self, *, window: Window) -> bool:
        """Whether this is the state of a configured window, with the same name and times."""
        return (self.name, self.starts_us, self.ends_us) == (window.name, window.starts_us, window.ends_us)

    def write(self, *, packer: Packer) -> None:
        """Appends the encoded state to a record."""
        packer.text(value=self.name).u64(value=self.starts_us).u64(value=self.ends_us).u8(value=self.stage)


@dataclass(frozen=True, kw_only=True)
class WindowStates:
    """The states of all windows that have opened; any other window is booked."""

    states: tuple[WindowState, ...] = ()

    def stage(self, *, window: Window) -> Stage:
        """The stage of a configured window."""
        return next((state.stage for state in self.states if state.describes(window=window)), Stage.booked)

    def advanced(self, *, windows: tuple[Window, ...], wall_us: int) -> "WindowStates":
        """The states at a wall-clock time, in microseconds since the Unix epoch.

        Stages never go back, so schedulers whose clocks differ can't open and close a window alternately.
        """
        states = []
        for window in windows:
            stage = self._stage_at(window=window, wall_us=wall_us)
            if stage != Stage.booked:
                states.append(
                    WindowState(name=window.name, starts_us=window.starts_us, ends_us=window.ends_us, stage=stage)
                )
        return WindowStates(states=tuple(sorted(states)))

    def _stage_at(self, *, window: Window, wall_us: int) -> Stage:
        """The later of the known stage and the stage by wall-clock time."""
        if window.ends_us <= wall_us:
            return Stage.ended
        by_calendar = Stage.open if window.starts_us <= wall_us else Stage.booked
        return max(self.stage(window=window), by_calendar)

    def bytes(self) -> bytes:
        """The encoded states, as stored in the register."""
        return Packer().many(values=self.states, each=lambda p, state: state.write(packer=p)).bytes()


def _read_window_state(unpacker: Unpacker) -> WindowState:
    return WindowState(
        name=unpacker.text(), starts_us=unpacker.u64(), ends_us=unpacker.u64(), stage=Stage(unpacker.u8())
    )


def read_window_states(*, data: bytes) -> WindowStates:
    """Decodes the output of `WindowStates.bytes`; empty input is no states. Raises ValueError on malformed input."""
    if not data:
        return WindowStates()
    unpacker = Unpacker(data=data)
    states = unpacker.many(each=_read_window_state)
    unpacker.done()
    return WindowStates(states=tuple(states))
