"""CAP: all proxies' connections to a backend stay within its limit, less the connections kept for controllers."""

from ...pooler.link_limits import CONTROL_LINKS
from .checker import Checker


class CapChecker(Checker):
    """Checks backends with fewer connections than proxies; with more, each proxy limits itself.

    `opened` counts handshakes; `max_held` is the largest number of connections held at once.
    """

    rule = "CAP"

    def __init__(self) -> None:
        super().__init__()
        self.opened = 0
        self.full = 0
        self.max_held = 0

    def handshake_done(self, *, backend: str, held: int, max_links: int, scarce: bool) -> None:
        """A backend accepted a proxy's connection; `held` counts those of running proxies, this one included."""
        self.opened += 1
        self.max_held = max(self.max_held, held)
        if scarce:
            self.check(
                holds=held <= max_links - CONTROL_LINKS,
                description=f"proxies hold {held} of {max_links} connections at {backend}, {CONTROL_LINKS} reserved",
            )

    def refused(self) -> None:
        """A backend refused a connection because it was full."""
        self.full += 1
