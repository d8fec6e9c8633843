"""A backend as an operator declares it."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class Backend:
    """One database server: where it answers, how many channels it takes, and its labels."""

    name: str
    address: str
    site: str
    cap: int
    database: str
    labels: dict[str, str] = field(default_factory=dict)
