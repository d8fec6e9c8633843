"""Computes how HTTP proxies distribute their connections over backends, with the functions that the daemons use."""

from dataclasses import dataclass
from typing import Any, NamedTuple

from ..config.configuration import Configuration
from ..http_frontend.subsetting import allotment, with_replacements


class ConnectionKey(NamedTuple):
    """Identifies the connections of an HTTP proxy to a backend."""

    http_proxy: str
    backend: str


class SubsetKey(NamedTuple):
    """Identifies the subset of an HTTP proxy for a database."""

    http_proxy: str
    database: str


@dataclass(frozen=True, kw_only=True)
class ConnectionLayout:
    """The number of connections from each HTTP proxy to each backend, and its subset of each database's backends."""

    connections: dict[ConnectionKey, int]
    subsets: dict[SubsetKey, tuple[str, ...]]

    def as_json(self, *, configuration: Configuration) -> dict[str, Any]:
        """The layout by backend and by HTTP proxy, under the keys of the operators' interface."""
        backends = {
            name: self._backend_json(name=name, cap=backend.cap)
            for name, backend in sorted(configuration.backends.items())
        }
        shares: dict[str, dict[str, list[str]]] = {}
        for key, names in self.subsets.items():
            shares.setdefault(key.http_proxy, {})[key.database] = list(names)
        return {"backends": backends, "shares": shares}

    def _backend_json(self, *, name: str, cap: int) -> dict[str, int]:
        counts = [count for key, count in self.connections.items() if key.backend == name and count]
        return {
            "cap": cap,
            "stalls": len(counts),
            "channels": sum(counts),
            "headroom": cap - sum(counts),
            "least": min(counts, default=0),
            "most": max(counts, default=0),
        }


def connection_layout(
    *,
    configuration: Configuration,
    http_proxies: tuple[str, ...],
    unfit: frozenset[str],
    held: dict[str, tuple[str, ...]],
) -> ConnectionLayout:
    """Computes the layout from the parts that each HTTP proxy computes for itself.

    :param http_proxies: names by id; an empty name is an unused id
    :param unfit: backends that are left out of subsets
    :param held: backends by database to which every HTTP proxy connects: the primary and the in-sync replicas
    """
    connections: dict[ConnectionKey, int] = {}
    subsets: dict[SubsetKey, tuple[str, ...]] = {}
    proxy_ids = {proxy_id: name for proxy_id, name in enumerate(http_proxies) if name}
    for database, backend_names in configuration.databases.items():
        size = configuration.amount(name="subsetSize", database=database)
        subsets_by_id = {
            proxy_id: with_replacements(names=backend_names, http_proxy_id=proxy_id, subset_size=size, unfit=unfit)
            for proxy_id in proxy_ids
        }
        for proxy_id, http_proxy in proxy_ids.items():
            subsets[SubsetKey(http_proxy, database)] = subsets_by_id[proxy_id]
        for backend in backend_names:
            user_ids = [
                proxy_id
                for proxy_id, subset in subsets_by_id.items()
                if backend in subset or backend in held[database]
            ]
            cap = configuration.backends[backend].cap
            for proxy_id, http_proxy in proxy_ids.items():
                count = allotment(cap=cap, user_ids=user_ids, http_proxy_id=proxy_id)
                connections[ConnectionKey(http_proxy, backend)] = count
    return ConnectionLayout(connections=connections, subsets=subsets)


@dataclass(frozen=True, kw_only=True)
class LayoutChange:
    """The difference between two layouts: connections by backend, and the number of entries added to subsets."""

    opened: dict[str, int]
    closed: dict[str, int]
    subset_changes: int

    def as_json(self) -> dict[str, Any]:
        """The change under the keys of the operators' interface."""
        return {
            "opened": self.opened,
            "closed": self.closed,
            "openedInAll": sum(self.opened.values()),
            "closedInAll": sum(self.closed.values()),
            "placesMoved": self.subset_changes,
        }


def layout_change(*, before: ConnectionLayout, after: ConnectionLayout) -> LayoutChange:
    """The connections to open and close to get from one layout to another."""
    opened: dict[str, int] = {}
    closed: dict[str, int] = {}
    for key in sorted({*before.connections, *after.connections}):
        difference = after.connections.get(key, 0) - before.connections.get(key, 0)
        if difference > 0:
            opened[key.backend] = opened.get(key.backend, 0) + difference
        elif difference < 0:
            closed[key.backend] = closed.get(key.backend, 0) - difference
    subset_changes = sum(len(set(after.subsets.get(key, ())) - set(names)) for key, names in before.subsets.items())
    return LayoutChange(opened=opened, closed=closed, subset_changes=subset_changes)
