"""A backend as an operator declares it."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class Backend:
    """One database server.

    :ivar address: `host:port` at which it answers
    :ivar cap: the most connections that it takes, from all HTTP proxies together
    """

    name: str
    address: str
    site: str
    cap: int
    database: str
    labels: dict[str, str] = field(default_factory=dict)
