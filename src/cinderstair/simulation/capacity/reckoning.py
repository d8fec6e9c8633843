"""What each role would take at the users' size, from the slopes of a run."""

import math
from collections.abc import Callable

from .fit import TERMS, Fit
from .results import Results
from .row import Row
from .step import Step
from .users_size import UsersSize

# of the product: how often a proxy tends, a controller looks over the news, a view and a proxy ask
TENDS_S, LOOKS_S, ASKS_S = 5.0, 10.0, 4.0
# a planned change of primary is written as closing, moving and settled, and two backends then say another role
WRITES_A_MOVE, HEARTBEATS_A_MOVE = 3, 2
PROXY_LEASE_S, PULL_WAIT_S = 1.2, 0.45
MICRO = 1_000_000.0


class Reckoning:
    """Rows whose slopes a run did not give are left out, and never guessed."""

    def __init__(self, *, results: Results, size: UsersSize) -> None:
        self.results = results
        self.size = size
        self.step: Step = size.step
        self.rows: list[Row] = []
        for part in (self._proxy_bytes, self._proxy_processor, self._proxy_memory, self._proxy_start):
            part()
        for part in (self._controller_wire, self._controller_processor, self._controller_membership, self._register):
            part()
        self._data_plane()

    # -- what the rows are made of --

    def slope(self, name: str) -> Fit | None:
        return self.results.slopes.get(name)

    def at(self, name: str) -> float:
        """A slope at the users' size; nan where the run did not give it."""
        fit = self.slope(name)
        return math.nan if fit is None else fit.at(step=self.step)

    def turn(self, what: str, quantity: str) -> float:
        """A single turn as measured at the users' size, else as its slope says."""
        proxies, databases = self.size.proxies, self.size.databases
        direct = self.results.direct(what=what, quantity=quantity, proxies=proxies, databases=databases)
        return self.at(f"{what} turn {quantity}") if direct is None else direct

    def _row(
        self,
        role: str,
        what: str,
        reckoned: float,
        unit: str,
        *,
        limit: float = math.nan,
        source: str = "",
        spread: float = math.nan,
    ) -> None:
        if not math.isnan(reckoned):
            row = Row(role=role, what=what, reckoned=reckoned, unit=unit, limit=limit, source=source, spread=spread)
            self.rows.append(row)

    def _sloped(
        self, role: str, what: str, name: str, unit: str, *, scale: float = 1.0, limit: float = math.nan
    ) -> float:
        """A row that rests on one slope; what was reckoned, or nan."""
        fit = self.slope(name)
        if fit is None:
            return math.nan
        reckoned = fit.at(step=self.step) * scale
        spread = fit.spread(step=self.step) * scale
        self._row(role, what, reckoned, unit, limit=limit, source=name, spread=spread)
        return reckoned

    def _each(self, what: str, quantity: str) -> float:
        found = [float(line[quantity]) for line in self.results.alone if line["what"] == what and quantity in line]
        return found[0] if found else math.nan

    def _time(self, what: str, quantity: str, best: Callable[[list[float]], float] = max) -> float:
        found = [float(line[quantity]) for line in self.results.time(what=what) if quantity in line]
        return best(found) if found else math.nan

    # -- proxies --

    def _proxy_bytes(self) -> None:
        size = self.size
        # why: the users' day says how many are restarted or replaced; the dear case is that all are replaced
        parts = (
            ("bytes, idle", "proxy idle bytes", 1.0),
            ("bytes for configurations", "proxy bytes a configuration", size.configurations_s),
            ("bytes for primaries", "proxy bytes a primary", size.primaries_s * WRITES_A_MOVE),
            ("bytes for replaced proxies", "proxy bytes a new proxy", size.restarts_s),
        )
        limit = size.most_bytes_s
        total = [self._sloped("booth", what, name, "B/s", scale=scale, limit=limit) for what, name, scale in parts]
        self._row("booth", "bytes, all", sum(total), "B/s", limit=limit)

    def _proxy_processor(self) -> None:
        size = self.size
        fit = self.slope("proxy idle processor")
        base = math.nan if fit is None else fit.coefficients.get("1", 0.0) / MICRO
        tending = self.turn("booth", "tend_us") * TENDS_S / MICRO
        reckon_s = self.turn("booth", "reckon_us") / MICRO
        changes = size.configurations_s + size.primaries_s * (WRITES_A_MOVE + HEARTBEATS_A_MOVE) + size.restarts_s * 2
        limit = size.most_share
        self._row("booth", "processor, asking", base, "of a core", limit=limit, source="proxy idle processor")
        self._row("booth", "processor, tending", tending, "of a core", limit=limit, source="proxy turn tend_us")
        self._row(
            "booth",
            "processor, reckoning",
            reckon_s * changes,
            "of a core",
            limit=limit,
            source="proxy turn reckon_us",
        )
        self._row("booth", "processor, all", base + tending + reckon_s * changes, "of a core", limit=limit)
        self._row(
            "booth",
            "one reckoning, its loop stands still",
            reckon_s,
            "s",
            limit=PROXY_LEASE_S,
            source="proxy turn reckon_us",
        )

    def _proxy_memory(self) -> None:
        size = self.size
        fit = self.slope("proxies' process memory")
        base = math.nan if fit is None else fit.coefficients.get("1", math.nan)
        held = self.turn("booth", "held_bytes")
        self._row(
            "booth",
            "memory for control",
            base + held,
            "B",
            limit=size.most_bytes,
            source="proxies' process memory, proxy turn held_bytes",
        )
        self._row("booth", "links it keeps open", self.turn("booth", "links"), "", source="proxy turn links")
        self._row("backend", "links to one primary", float(size.proxies), "", source="one a proxy at the least")

    def _proxy_start(self) -> None:
        size = self.size
        take_s = self.at("whole turn take_us") / MICRO
        self._row(
            "booth",
            "start: taking everything in",
            take_s,
            "s",
            limit=size.configuration_s,
            source="whole turn take_us",
        )
        answer = self.turn("guildhall", "whole_bytes")
        self._row("booth", "start: bytes", answer * size.controllers, "B", source="controller turn whole_bytes")

    # -- controllers --

    def _controller_wire(self) -> None:
        size = self.size
        self._sloped("guildhall", "records, idle", "controller idle records", "/s")
        self._sloped("guildhall", "bytes of records, idle", "controller idle bytes", "B/s")
        self._sloped("guildhall", "bytes of beats", "controller idle http", "B/s")
        name = "controller bytes a configuration"
        self._sloped("guildhall", "bytes for configurations", name, "B/s", scale=size.configurations_s)
        for term, label in (
            ("RD", "heartbeats that others heard"),
            ("MD", "vectors"),
            ("X", "controllers without a vote that read every key"),
            ("N/G", "proxies that ask"),
        ):
            fit = self.slope("controller idle bytes")
            part = math.nan if fit is None else fit.coefficients.get(term, math.nan) * TERMS[term](self.step)
            spread = math.nan if fit is None else fit.errors.get(term, math.nan) * TERMS[term](self.step)
            self._row("guildhall", f"of the idle: {label}", part, "B/s", source=term, spread=spread)
        # why: told whole once to each asker in each life of a register replica; from then on only what came since
        vector = self.turn("guildhall", "vector_bytes")
        self._row("guildhall", "a whole vector, at a start", vector, "B", source="controller turn vector_bytes")

    def _controller_processor(self) -> None:
        size = self.size
        scale = 1 / MICRO
        name = "controller idle processor"
        self._sloped("guildhall", "processor, idle", name, "cores", scale=scale, limit=1.0)
        name = "busiest controller idle"
        self._sloped("guildhall", "processor of the busiest, idle", name, "cores", scale=scale, limit=1.0)
        looks = self.turn("guildhall", "look_us") * LOOKS_S / MICRO
        source = "controller turn look_us"
        self._row("guildhall", "of these: looking over the news", looks, "cores", limit=1.0, source=source)
        asks = self.turn("guildhall", "nothing_us") * ASKS_S * size.proxies / size.controllers / MICRO
        source = "controller turn nothing_us"
        self._row("guildhall", "of these: proxies that ask", asks, "cores", limit=1.0, source=source)
        self._sloped("guildhall", "memory", "controller memory", "B")

    def _controller_membership(self) -> None:
        """Proxies that begin together ask every controller for everything."""
        size = self.size
        whole_s = self.turn("guildhall", "whole_us") / MICRO
        zone = size.proxies / size.zones
        self._row(
            "guildhall",
            "a zone's proxies begin: queue of whole answers",
            whole_s * zone,
            "s",
            limit=PULL_WAIT_S,
            source="controller turn whole_us",
        )
        lost = whole_s * size.proxies / size.controllers / (size.controllers - 1)
        self._row(
            "guildhall",
            "a controller lost: queue of whole answers",
            lost,
            "s",
            limit=PULL_WAIT_S,
            source="controller turn whole_us",
        )

    def _register(self) -> None:
        size = self.size
        rate = self._time("writes by 32", "rate", min)
        writes = size.configurations_s + size.primaries_s * WRITES_A_MOVE + size.restarts_s * 2
        if not math.isnan(rate):
            self._row("register", "changes", writes, "/s", limit=rate, source="writes by 32")
            self._row(
                "register",
                "the duty of promotions changes hands: every lead is written",
                size.databases / rate,
                "s",
                limit=size.primary_s,
                source="writes by 32",
            )

        self._sloped("register", "first leads of all databases", "leads of all databases, seconds", "s")
        holder = "oldest view after the holder is lost, max"
        self._sloped("booth", "oldest view after the holder is lost", holder, "s", limit=PROXY_LEASE_S)
        accepted = "configuration accepted, median"
        self._sloped("guildhall", "configuration accepted (median)", accepted, "s", limit=size.configuration_s)
        known = self.at("configuration known, p99")
        # why: the steps have too few databases for the loop to stand still, and at this size it does
        reckon_s = self.turn("booth", "reckon_us") / MICRO
        limit = size.configuration_s
        source = "configuration known, p99, and proxy turn reckon_us"
        self._row("booth", "configuration in force (p99)", known + reckon_s, "s", limit=limit, source=source)

    # -- the data plane --

    def _data_plane(self) -> None:
        size = self.size
        statements = size.statements / size.proxies
        sessions = size.connections / size.proxies
        read_us = self._each("statements", "read_us")
        door_us = self._each("door", "door_read_us")
        self._row(
            "booth", "statements: session alone", read_us * statements / MICRO, "cores", limit=1.0, source="read_us"
        )
        self._row(
            "booth",
            "statements: door and session",
            door_us * statements / MICRO,
            "cores",
            limit=1.0,
            source="door_read_us",
        )
        self._row(
            "booth",
            "memory of sessions",
            self._each("sessions", "session_bytes") * sessions,
            "B",
            source="session_bytes",
        )
        self._row(
            "booth",
            "memory of doors with sessions",
            self._each("door", "connection_bytes") * sessions,
            "B",
            source="connection_bytes",
        )
        tending = self._each("sessions", "tend_us") * sessions * TENDS_S / MICRO
        self._row(
            "booth",
            "sessions at rest looked at",
            tending,
            "of a core",
            limit=size.most_share,
            source="sessions tend_us",
        )
