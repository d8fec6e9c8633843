"""What code may ask of the socket beneath a simulated transport."""

import socket
import struct
from collections.abc import Callable


class SimSocket:
    """Takes options; how long unacknowledged bytes are borne, and what becomes of them at the end, mean anything."""

    def __init__(self, *, set_patience: Callable[[float], None], set_linger: Callable[[bool], None]) -> None:
        self.set_patience = set_patience
        self.set_linger = set_linger

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        if (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) and isinstance(value, int):
            self.set_patience(value / 1_000)
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER) and isinstance(value, bytes):
            on, seconds = struct.unpack("ii", value)
            self.set_linger(bool(on) and not seconds)
