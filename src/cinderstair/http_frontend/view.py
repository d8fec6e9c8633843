"""An HTTP proxy's view of the register: configuration, proxy ids, window states and primary assignments."""

from ..config.check import check_configuration
from ..config.configuration import CONFIGURATION_KEY, Configuration
from ..consensus.register import Register
from ..consensus.register_view import LEASE_US, RegisterView
from ..failover.database_primary import DatabasePrimary, read_database_primary
from ..failover.proxy_ids import PROXY_IDS_KEY, ProxyIds, read_proxy_ids
from ..maintenance.drain_targets import DrainTargets, drain_targets
from ..maintenance.window_states import WINDOWS_KEY, WindowStates, read_window_states
from ..runtime.context import Context

__all__ = ["LEASE_US", "View"]


class View(RegisterView):
    """Holds the last values read from the register. Decisions may rely on them only while `current` is true."""

    def __init__(self, *, ctx: Context, register: Register) -> None:
        self.configuration: Configuration | None = None
        self.proxy_ids = ProxyIds()
        self.window_states = WindowStates()
        self.leaving = DrainTargets()
        self.primaries: dict[str, DatabasePrimary] = {}
        self.assigned_since_us: dict[str, int] = {}
        self.planned_since_us: dict[str, int] = {}
        super().__init__(ctx=ctx, register=register)

    def _apply(self, *, key: str, value: bytes) -> bool:
        if key == CONFIGURATION_KEY:
            return self._apply_configuration(raw=value)
        if key == PROXY_IDS_KEY:
            self.proxy_ids = read_proxy_ids(data=value)
        elif key == WINDOWS_KEY:
            self.window_states = read_window_states(data=value)
            self.ctx.log.info(
                "windows: %s", ", ".join(f"{state.name} {state.stage.name}" for state in self.window_states.states)
            )
            self._compute_leaving()
        elif key.startswith("lead/"):
            database = key.removeprefix("lead/")
            before, assignment = self.primaries.get(database), read_database_primary(data=value)
            if assignment.planned and (before is None or not before.planned):
                self.planned_since_us[database] = self.ctx.now_us()
            self.primaries[database] = assignment
            self.assigned_since_us[database] = self.ctx.now_us()
        else:
            return super()._apply(key=key, value=value)
        return True

    def _apply_configuration(self, *, raw: bytes) -> bool:
        checked = check_configuration(raw=raw)
        # with a configuration that this release can't parse the view must not count as current
        if checked.is_error():
            self.ctx.counters.add(name="view.unreadable")
            self.ctx.log.error(
                "the accepted configuration is invalid for this release; upgrade this proxy: %s", checked.error.reason
            )
            return False
        if self.configuration is not None and checked.ok.version < self.configuration.version:
            self.ctx.counters.add(name="view.backwards")
            return False
        self.configuration = checked.ok
        self._compute_leaving()
        self.ctx.log.info("configuration version %d is in force", checked.ok.version)
        return True

    def _compute_leaving(self) -> None:
        self.leaving = drain_targets(configuration=self.configuration, states=self.window_states)

    def assignment(self, *, database: str) -> DatabasePrimary | None:
        """The primary assignment of a database; None before the first one."""
        return self.primaries.get(database)
