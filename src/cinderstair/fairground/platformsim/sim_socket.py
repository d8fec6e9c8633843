"""What code may ask of the socket beneath a simulated transport."""

import socket
from collections.abc import Callable


class SimSocket:
    """Takes options; only how long unacknowledged bytes are borne means anything here."""

    def __init__(self, *, set_patience: Callable[[float], None]) -> None:
        self.set_patience = set_patience

    def setsockopt(self, level: int, option: int, value: int) -> None:
        if (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT):
            self.set_patience(value / 1_000)
