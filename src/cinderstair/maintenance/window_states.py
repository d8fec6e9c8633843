"""Which windows are open, as written in the register by the one that has the duty."""

from dataclasses import dataclass
from enum import IntEnum

from ..config.window import Window
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

WINDOWS_KEY = "windows"


class Stage(IntEnum):
    """A window goes one way: booked, open, ended."""

    booked = 0
    open = 1
    ended = 2


@dataclass(frozen=True, kw_only=True)
class WindowStates:
    """Stages by a window's name and times; a window with other times is another window."""

    stages: tuple[tuple[str, int, int, Stage], ...] = ()

    def stage(self, *, window: Window) -> Stage:
        key = (window.name, window.starts_us, window.ends_us)
        return next((stage for *known, stage in self.stages if tuple(known) == key), Stage.booked)

    def turned(self, *, windows: tuple[Window, ...], wall_us: int) -> "WindowStates":
        """The stages at a calendar time. None goes back, so two clocks that differ can't make one flap."""
        stages = []
        for window in windows:
            stage = self.stage(window=window)
            # why: a clock behind the one that opened or ended a window must not undo it
            if stage < Stage.open and window.starts_us <= wall_us:
                stage = Stage.open
            if stage < Stage.ended and window.ends_us <= wall_us:
                stage = Stage.ended
            if stage != Stage.booked:
                stages.append((window.name, window.starts_us, window.ends_us, stage))
        return WindowStates(stages=tuple(sorted(stages)))

    def bytes(self) -> bytes:
        def each(packer: Packer, entry: tuple[str, int, int, Stage]) -> None:
            packer.text(value=entry[0]).u64(value=entry[1]).u64(value=entry[2]).u8(value=entry[3])

        return Packer().many(values=self.stages, each=each).bytes()


def read_window_states(*, data: bytes) -> WindowStates:
    if not data:
        return WindowStates()
    unpacker = Unpacker(data=data)
    stages = unpacker.many(each=lambda u: (u.text(), u.u64(), u.u64(), Stage(u.u8())))
    unpacker.done()
    return WindowStates(stages=tuple(stages))
