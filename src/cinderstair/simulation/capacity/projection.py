"""Extrapolates the slopes of a run to the target size, for each role."""

import math
from collections.abc import Callable

from .fit import TERMS, Fit
from .projection_row import ProjectionRow
from .results import Results
from .step import Step
from .target_size import TargetSize

# Rates of the product, per second: proxy timer, refresh of a controller's relay, polls by each proxy.
PROXY_TIMER_HZ, RELAY_REFRESH_HZ, PROXY_POLL_HZ = 5.0, 10.0, 4.0
# A planned change of primary writes the states closing, moving and settled, and two backends report a new role.
WRITES_PER_PRIMARY_CHANGE, HEARTBEATS_PER_PRIMARY_CHANGE = 3, 2
PROXY_LEASE_S, PULL_WAIT_S = 1.2, 0.45
US_PER_S = 1_000_000.0


class Projection:
    """Rows of projected values against limits. Rows whose slopes the run lacks are left out."""

    def __init__(self, *, results: Results, size: TargetSize) -> None:
        self.results = results
        self.size = size
        self.step: Step = size.step
        self.rows: list[ProjectionRow] = []
        for add_rows in (self._proxy_bytes, self._proxy_processor, self._proxy_memory, self._proxy_start):
            add_rows()
        for add_rows in (
            self._controller_traffic,
            self._controller_processor,
            self._controller_restarts,
            self._register,
        ):
            add_rows()
        self._data_plane()

    # -- values and rows --

    def slope(self, name: str) -> Fit | None:
        """Returns a fit by name, or None where the run lacks it."""
        return self.results.slopes.get(name)

    def predict(self, name: str) -> float:
        """Returns a slope at the target size, or nan where the run lacks it."""
        fit = self.slope(name)
        return math.nan if fit is None else fit.predict(step=self.step)

    def microbenchmark(self, what: str, quantity: str) -> float:
        """Returns a microbenchmark measured at the target size, otherwise extrapolated from its slope."""
        proxies, databases = self.size.proxies, self.size.databases
        value = self.results.measured(what=what, quantity=quantity, proxies=proxies, databases=databases)
        return self.predict(f"{what} turn {quantity}") if value is None else value

    def _add_row(
        self,
        role: str,
        what: str,
        projected: float,
        unit: str,
        *,
        limit: float = math.nan,
        source: str = "",
        standard_error: float = math.nan,
    ) -> None:
        if not math.isnan(projected):
            row = ProjectionRow(
                role=role,
                what=what,
                projected=projected,
                unit=unit,
                limit=limit,
                source=source,
                standard_error=standard_error,
            )
            self.rows.append(row)

    def _add_fitted_row(
        self, role: str, what: str, name: str, unit: str, *, scale: float = 1.0, limit: float = math.nan
    ) -> float:
        """Adds a row from a single slope; returns the projected value, or nan where the run lacks the slope."""
        fit = self.slope(name)
        if fit is None:
            return math.nan
        projected = fit.predict(step=self.step) * scale
        standard_error = fit.standard_error(step=self.step) * scale
        self._add_row(role, what, projected, unit, limit=limit, source=name, standard_error=standard_error)
        return projected

    def _first_value(self, what: str, quantity: str) -> float:
        found = [
            float(line[quantity])
            for line in self.results.microbenchmarks
            if line["what"] == what and quantity in line
        ]
        return found[0] if found else math.nan

    def _time_value(self, what: str, quantity: str, select: Callable[[list[float]], float] = max) -> float:
        found = [float(line[quantity]) for line in self.results.time(what=what) if quantity in line]
        return select(found) if found else math.nan

    # -- proxies --

    def _proxy_bytes(self) -> None:
        size = self.size
        # The users give one number for restarts and replacements; replacements cost more, so all count as such.
        parts = (
            ("bytes, idle", "proxy idle bytes", 1.0),
            ("bytes for configurations", "proxy bytes a configuration", size.configurations_per_s),
            ("bytes for primaries", "proxy bytes a primary", size.primaries_per_s * WRITES_PER_PRIMARY_CHANGE),
            ("bytes for replaced proxies", "proxy bytes a new proxy", size.restarts_per_s),
        )
        limit = size.max_bytes_s
        total = [
            self._add_fitted_row("booth", what, name, "B/s", scale=scale, limit=limit) for what, name, scale in parts
        ]
        self._add_row("booth", "bytes, all", sum(total), "B/s", limit=limit)

    def _proxy_processor(self) -> None:
        size = self.size
        fit = self.slope("proxy idle processor")
        base = math.nan if fit is None else fit.coefficients.get("1", 0.0) / US_PER_S
        timer_share = self.microbenchmark("booth", "tend_us") * PROXY_TIMER_HZ / US_PER_S
        rebuild_s = self.microbenchmark("booth", "reckon_us") / US_PER_S
        changes = (
            size.configurations_per_s
            + size.primaries_per_s * (WRITES_PER_PRIMARY_CHANGE + HEARTBEATS_PER_PRIMARY_CHANGE)
            + size.restarts_per_s * 2
        )
        limit = size.max_cpu_share
        self._add_row("booth", "processor, polling", base, "of a core", limit=limit, source="proxy idle processor")
        self._add_row("booth", "processor, timer", timer_share, "of a core", limit=limit, source="proxy turn tend_us")
        self._add_row(
            "booth",
            "processor, pool rebuilds",
            rebuild_s * changes,
            "of a core",
            limit=limit,
            source="proxy turn reckon_us",
        )
        self._add_row("booth", "processor, all", base + timer_share + rebuild_s * changes, "of a core", limit=limit)
        self._add_row(
            "booth",
            "one pool rebuild, event loop blocked",
            rebuild_s,
            "s",
            limit=PROXY_LEASE_S,
            source="proxy turn reckon_us",
        )

    def _proxy_memory(self) -> None:
        size = self.size
        fit = self.slope("proxies' process memory")
        base = math.nan if fit is None else fit.coefficients.get("1", math.nan)
        held = self.microbenchmark("booth", "held_bytes")
        self._add_row(
            "booth",
            "memory for control",
            base + held,
            "B",
            limit=size.max_bytes,
            source="proxies' process memory, proxy turn held_bytes",
        )
        self._add_row(
            "booth", "links it keeps open", self.microbenchmark("booth", "links"), "", source="proxy turn links"
        )
        self._add_row("backend", "links to one primary", float(size.proxies), "", source="at least one per proxy")

    def _proxy_start(self) -> None:
        size = self.size
        apply_s = self.predict("whole turn take_us") / US_PER_S
        self._add_row(
            "booth",
            "start: applying the full answer",
            apply_s,
            "s",
            limit=size.max_configuration_s,
            source="whole turn take_us",
        )
        answer = self.microbenchmark("guildhall", "whole_bytes")
        self._add_row("booth", "start: bytes", answer * size.controllers, "B", source="controller turn whole_bytes")

    # -- controllers --

    def _controller_traffic(self) -> None:
        size = self.size
        self._add_fitted_row("guildhall", "records, idle", "controller idle records", "/s")
        self._add_fitted_row("guildhall", "bytes of records, idle", "controller idle bytes", "B/s")
        self._add_fitted_row("guildhall", "bytes of heartbeats", "controller idle http", "B/s")
        name = "controller bytes a configuration"
        self._add_fitted_row("guildhall", "bytes for configurations", name, "B/s", scale=size.configurations_per_s)
        for term, label in (
            ("RD", "heartbeats from other controllers"),
            ("MD", "version vectors"),
            ("X", "reads of every key by non-voting controllers"),
            ("N/G", "polls by proxies"),
        ):
            fit = self.slope("controller idle bytes")
            traffic = math.nan if fit is None else fit.coefficients.get(term, math.nan) * TERMS[term](self.step)
            standard_error = math.nan if fit is None else fit.errors.get(term, math.nan) * TERMS[term](self.step)
            self._add_row(
                "guildhall", f"of the idle: {label}", traffic, "B/s", source=term, standard_error=standard_error
            )
        # A register replica sends its full vector once per incarnation to each client, then only the changes.
        vector = self.microbenchmark("guildhall", "vector_bytes")
        self._add_row(
            "guildhall", "a full version vector, at a start", vector, "B", source="controller turn vector_bytes"
        )

    def _controller_processor(self) -> None:
        size = self.size
        scale = 1 / US_PER_S
        name = "controller idle processor"
        self._add_fitted_row("guildhall", "processor, idle", name, "cores", scale=scale, limit=1.0)
        name = "busiest controller idle"
        self._add_fitted_row("guildhall", "processor of the busiest, idle", name, "cores", scale=scale, limit=1.0)
        refresh_share = self.microbenchmark("guildhall", "look_us") * RELAY_REFRESH_HZ / US_PER_S
        source = "controller turn look_us"
        self._add_row("guildhall", "of these: relay refresh", refresh_share, "cores", limit=1.0, source=source)
        poll_share = (
            self.microbenchmark("guildhall", "nothing_us")
            * PROXY_POLL_HZ
            * size.proxies
            / size.controllers
            / US_PER_S
        )
        source = "controller turn nothing_us"
        self._add_row("guildhall", "of these: polls by proxies", poll_share, "cores", limit=1.0, source=source)
        self._add_fitted_row("guildhall", "memory", "controller memory", "B")

    def _controller_restarts(self) -> None:
        """Proxies that start together request full answers from every controller."""
        size = self.size
        full_answer_s = self.microbenchmark("guildhall", "whole_us") / US_PER_S
        zone = size.proxies / size.zones
        self._add_row(
            "guildhall",
            "a zone's proxies start: queue of full answers",
            full_answer_s * zone,
            "s",
            limit=PULL_WAIT_S,
            source="controller turn whole_us",
        )
        lost = full_answer_s * size.proxies / size.controllers / (size.controllers - 1)
        self._add_row(
            "guildhall",
            "a controller lost: queue of full answers",
            lost,
            "s",
            limit=PULL_WAIT_S,
            source="controller turn whole_us",
        )

    def _register(self) -> None:
        size = self.size
        rate = self._time_value("writes by 32", "rate", min)
        writes = (
            size.configurations_per_s + size.primaries_per_s * WRITES_PER_PRIMARY_CHANGE + size.restarts_per_s * 2
        )
        if not math.isnan(rate):
            self._add_row("register", "changes", writes, "/s", limit=rate, source="writes by 32")
            self._add_row(
                "register",
                "promotion lease moves: every primary assignment is written",
                size.databases / rate,
                "s",
                limit=size.max_primary_s,
                source="writes by 32",
            )

        self._add_fitted_row(
            "register", "first primary assignments of all databases", "leads of all databases, seconds", "s"
        )
        holder = "oldest view after the holder is lost, max"
        self._add_fitted_row("booth", "oldest view after the lease holder is lost", holder, "s", limit=PROXY_LEASE_S)
        accepted = "configuration accepted, median"
        self._add_fitted_row(
            "guildhall", "configuration accepted (median)", accepted, "s", limit=size.max_configuration_s
        )
        known = self.predict("configuration known, p99")
        # A pool rebuild blocks the event loop at the target size only, so its time is added to the measured delay.
        rebuild_s = self.microbenchmark("booth", "reckon_us") / US_PER_S
        limit = size.max_configuration_s
        source = "configuration known, p99, and proxy turn reckon_us"
        self._add_row("booth", "configuration in force (p99)", known + rebuild_s, "s", limit=limit, source=source)

    # -- the data plane --

    def _data_plane(self) -> None:
        size = self.size
        statements = size.statements / size.proxies
        sessions = size.connections / size.proxies
        read_us = self._first_value("statements", "read_us")
        connection_us = self._first_value("door", "door_read_us")
        self._add_row(
            "booth",
            "statements: session only",
            read_us * statements / US_PER_S,
            "cores",
            limit=1.0,
            source="read_us",
        )
        self._add_row(
            "booth",
            "statements: client connection and session",
            connection_us * statements / US_PER_S,
            "cores",
            limit=1.0,
            source="door_read_us",
        )
        self._add_row(
            "booth",
            "memory of sessions",
            self._first_value("sessions", "session_bytes") * sessions,
            "B",
            source="session_bytes",
        )
        self._add_row(
            "booth",
            "memory of client connections with sessions",
            self._first_value("door", "connection_bytes") * sessions,
            "B",
            source="connection_bytes",
        )
        timer_share = self._first_value("sessions", "tend_us") * sessions * PROXY_TIMER_HZ / US_PER_S
        self._add_row(
            "booth",
            "scan of idle sessions",
            timer_share,
            "of a core",
            limit=size.max_cpu_share,
            source="sessions tend_us",
        )
