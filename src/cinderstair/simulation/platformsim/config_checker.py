"""CONFIG: configurations take effect in time, are never reverted, and are read back as they were sent."""

import json
from typing import Any

from .checker import Checker


class ConfigChecker(Checker):
    """Compares observed routes with the versions that explain them.

    State: the bodies and databases sent by version, the body confirmed for each version, when each version was first
    sent and acknowledged (us), and by proxy incarnation the oldest version that explains each observation.
    """

    rule = "CONFIG"

    def __init__(self, *, apply_us: int, step_back_us: int) -> None:
        super().__init__()
        self.apply_us = apply_us
        self.step_back_us = step_back_us
        self.bodies: dict[int, set[bytes]] = {}
        self.confirmed: dict[int, bytes] = {}
        self.databases: dict[int, list[frozenset[str]]] = {}
        self.sent_us: dict[int, int] = {}
        self.acked_us: dict[int, int] = {}
        self.floors: dict[tuple[str, int], list[tuple[int, int]]] = {}
        self.invalid_acked = 0
        self.applied = 0

    def sent(self, *, body: bytes, now_us: int) -> None:
        """An operator sends a valid configuration."""
        document: dict[str, Any] = json.loads(body)
        version = int(document["revision"])
        self.bodies.setdefault(version, set()).add(body)
        names = frozenset(route["host_name"] for route in document["routes"])
        self.databases.setdefault(version, []).append(names)
        self.sent_us.setdefault(version, now_us)

    def acked(self, *, body: bytes, now_us: int) -> None:
        """A valid configuration is confirmed; a version must never be confirmed with two contents."""
        version = int(json.loads(body)["revision"])
        self.acked_us.setdefault(version, now_us)
        self.check(
            holds=self.confirmed.setdefault(version, body) == body,
            description=f"two contents are confirmed for version {version}",
        )

    def refused(self, *, body: bytes, status: int, valid: bool) -> None:
        """A configuration is refused; a valid one must not be called invalid, nor refused once confirmed."""
        self.check(
            holds=not valid or status not in (400, 413, 422),
            description=f"a valid configuration got status {status}: {body[:60]!r}",
        )
        version = int(json.loads(body)["revision"])
        self.check(
            holds=self.confirmed.get(version) != body,
            description=f"version {version} was confirmed earlier, but is refused with status {status}",
        )

    def served_without_quorum(self, *, description: str) -> None:
        """A controller that reaches no majority answered as if it did."""
        self.breach(description=description)

    def invalid(self, *, body: bytes, status: int) -> None:
        """A final answer to an invalid configuration, which must be an error."""
        self.check(
            holds=not 200 <= status < 300, description=f"an invalid configuration got status {status}: {body[:80]!r}"
        )

    def observed(
        self, *, proxy: str, incarnation: int, database: str, present: bool, sent_us: int, now_us: int, stable: bool
    ) -> None:
        """A proxy accepted a handshake for a database (`present`), or refused it as unknown."""
        allows = [
            version
            for version, contents in self.databases.items()
            if any((database in names) == present for names in contents) and self.sent_us[version] <= now_us
        ]
        acked = [version for version, at_us in self.acked_us.items() if at_us + self.apply_us <= sent_us]
        newest = max(acked, default=0)
        observation = f"{proxy} treats {database} as {'present' if present else 'absent'}"
        if newest and stable:
            self.applied += 1
            self.check(
                holds=any(version >= newest for version in allows),
                description=f"{observation} {(sent_us - self.acked_us[newest]) // 1_000} ms "
                f"after version {newest} was acknowledged",
            )
        floors = self.floors.setdefault((proxy, incarnation), [])
        floor = max((version for at_us, version in floors if at_us + self.step_back_us < sent_us), default=0)
        self.check(
            holds=not allows or max(allows) >= floor,
            description=f"{observation} after version {floor} was observed there",
        )
        if allows:
            floors.append((now_us, min(allows)))

    def read_back(self, *, body: bytes | None) -> None:
        """The configuration read back at the end of the trial; None where no controller answered."""
        if body is None:
            self.check(holds=False, description="no configuration could be read back")
            return
        try:
            version = int(json.loads(body)["revision"])
        except (ValueError, KeyError, TypeError):
            self.check(holds=False, description=f"the configuration read back is invalid: {body[:80]!r}")
            return
        newest = max(self.acked_us, default=0)
        self.check(
            holds=version >= newest, description=f"version {version} is read back, version {newest} was acknowledged"
        )
        sent = {self.confirmed[version]} if version in self.confirmed else self.bodies.get(version, set())
        self.check(holds=body in sent, description=f"version {version} is read back with other content than sent")
