"""Configurations come into force in time, never go back, and are read back as they were sent."""

import json
from typing import Any

from .checker import Checker


class ConfigChecker(Checker):
    """Every look at whether a database is there is held against the versions that allow what was seen."""

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
        """A valid configuration leaves an operator."""
        document: dict[str, Any] = json.loads(body)
        version = int(document["revision"])
        self.bodies.setdefault(version, set()).add(body)
        names = frozenset(route["host_name"] for route in document["routes"])
        self.databases.setdefault(version, []).append(names)
        self.sent_us.setdefault(version, now_us)

    def acked(self, *, body: bytes, now_us: int) -> None:
        """A valid configuration is confirmed: one content under one number, and that for good."""
        version = int(json.loads(body)["revision"])
        self.acked_us.setdefault(version, now_us)
        self.judge(
            fine=self.confirmed.setdefault(version, body) == body, what=f"two contents are confirmed under {version}"
        )

    def refused(self, *, body: bytes, status: int, valid: bool) -> None:
        self.judge(fine=not valid or status not in (400, 413, 422), what=f"a valid one got {status}: {body[:60]!r}")
        version = int(json.loads(body)["revision"])
        self.judge(
            fine=self.confirmed.get(version) != body, what=f"{version} was confirmed, and is refused with {status}"
        )

    def served_alone(self, *, what: str) -> None:
        """A daemon that is in touch with no majority answered as if it were."""
        self.breach(what=what)

    def invalid(self, *, body: bytes, status: int) -> None:
        """A clear answer to something invalid."""
        self.judge(fine=not 200 <= status < 300, what=f"something invalid got {status}: {body[:80]!r}")

    def looked(
        self, *, proxy: str, life: int, database: str, there: bool, sent_us: int, now_us: int, in_touch: bool
    ) -> None:
        """A proxy treated a database as there, or as not there."""
        allows = [
            version
            for version, contents in self.databases.items()
            if any((database in names) == there for names in contents) and self.sent_us[version] <= now_us
        ]
        acked = [version for version, at_us in self.acked_us.items() if at_us + self.apply_us <= sent_us]
        newest = max(acked, default=0)
        words = f"{proxy} takes {database} as {'there' if there else 'not there'}"
        if newest and in_touch:
            self.applied += 1
            self.judge(
                fine=any(version >= newest for version in allows),
                what=f"{words} {(sent_us - self.acked_us[newest]) // 1_000} ms after {newest} was acknowledged",
            )
        floors = self.floors.setdefault((proxy, life), [])
        floor = max((version for at_us, version in floors if at_us + self.step_back_us < sent_us), default=0)
        self.judge(fine=not allows or max(allows) >= floor, what=f"{words} after {floor} was seen there")
        if allows:
            floors.append((now_us, min(allows)))

    def read_back(self, *, body: bytes | None) -> None:
        """At the day's end."""
        if body is None:
            self.judge(fine=False, what="nothing is read back")
            return
        try:
            version = int(json.loads(body)["revision"])
        except (ValueError, KeyError, TypeError):
            self.judge(fine=False, what=f"read back is {body[:80]!r}")
            return
        newest = max(self.acked_us, default=0)
        self.judge(fine=version >= newest, what=f"{version} is read back, {newest} was acknowledged")
        sent = {self.confirmed[version]} if version in self.confirmed else self.bodies.get(version, set())
        self.judge(fine=body in sent, what=f"{version} is read back otherwise than sent")
