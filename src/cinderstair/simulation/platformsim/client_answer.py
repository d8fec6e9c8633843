"""A proxy's answer to one request of a client."""

from dataclasses import dataclass, field


@dataclass(kw_only=True)
class ClientAnswer:
    """`code` is the error code, empty on success; `state` and `position` are those of READY.

    `finished` is set once DONE or ERROR was received, after which only READY may follow.
    """

    rows: list[bytes] = field(default_factory=list)
    stamp: bytes = b""
    code: str = ""
    state: bytes = b""
    position: bytes = b""
    finished: bool = False
