"""WIRE: messages follow the wire protocol."""

from .checker import Checker


class WireChecker(Checker):
    """Breaches are messages to a backend or a client that the protocol doesn't allow."""

    rule = "WIRE"
