"""What all proxies together hold at a backend stays within its cap, less what is left for control."""

from ...pooler.link_limits import CONTROL_LINKS
from .checker import Checker


class CapChecker(Checker):
    """Judged where links are fewer than proxies; else each proxy's part is its own affair."""

    rule = "CAP"

    def __init__(self) -> None:
        super().__init__()
        self.opened = 0
        self.full = 0
        self.most = 0

    def handshake_done(self, *, backend: str, held: int, max_links: int, scarce: bool) -> None:
        """A proxy's connection is taken in; `held` are those of proxies that live, this one included."""
        self.opened += 1
        self.most = max(self.most, held)
        if scarce:
            self.judge(
                fine=held <= max_links - CONTROL_LINKS,
                what=f"proxies hold {held} of {max_links} connections at {backend}",
            )

    def refused(self) -> None:
        self.full += 1
