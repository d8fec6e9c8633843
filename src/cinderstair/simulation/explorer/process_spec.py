"""Start parameters of a modelled process."""

from typing import NamedTuple


class ProcessSpec(NamedTuple):
    """`process`: index in the model; `run`: earlier starts; `files`: disk contents; `blank`: its disk was lost."""

    process: int
    run: int
    address: str
    files: tuple[tuple[str, bytes], ...] = ()
    blank: bool = False
