"""The socket options of a simulated transport."""

import socket
import struct
from collections.abc import Callable


class SimSocket:
    """Accepts all options; TCP_USER_TIMEOUT and SO_LINGER with zero seconds (a reset at close) take effect."""

    def __init__(self, *, set_user_timeout: Callable[[float], None], set_linger: Callable[[bool], None]) -> None:
        self.set_user_timeout = set_user_timeout
        self.set_linger = set_linger

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        if (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) and isinstance(value, int):
            self.set_user_timeout(value / 1_000)
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER) and isinstance(value, bytes):
            on, seconds = struct.unpack("ii", value)
            self.set_linger(bool(on) and not seconds)
