"""What the pages of the wire allow."""

from .checker import Checker


class WireChecker(Checker):
    """A message that the wire does not allow, towards a backend or towards a client."""

    rule = "WIRE"
