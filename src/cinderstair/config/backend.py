"""A backend as declared in a configuration document."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class Backend:
    """One database server.

    :ivar address: `host:port` on which it accepts connections
    :ivar cap: maximum number of connections from all HTTP proxies together
    :ivar labels: free key-value pairs that selectors match
    """

    name: str
    address: str
    site: str
    cap: int
    database: str
    labels: dict[str, str] = field(default_factory=dict)
