"""How a process of a model starts."""

from typing import NamedTuple


class ProcessSpec(NamedTuple):
    """`process`: its place in the model; `run`: how often it was started before; `files`: what its disk holds."""

    process: int
    run: int
    address: str
    files: tuple[tuple[str, bytes], ...] = ()
    blank: bool = False
