"""A proxy's answer to one message."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class ClientAnswer:
    """`code` is empty on success. `ready` is the state and the position behind it."""

    rows: list[bytes] = field(default_factory=list)
    stamp: bytes = b""
    code: str = ""
    state: bytes = b""
    position: bytes = b""
    over: bool = False
