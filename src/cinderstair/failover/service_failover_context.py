"""State shared by the steps of service failover."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..runtime.context import Context
from .acknowledged_commits import NotifyProxies
from .backend_control import BackendControl
from .backend_poller import BackendPoller
from .blocking_reasons import BlockingReasons
from .service_assignments import ServiceAssignments
from .service_members import ServiceMembers

# Pause after a failed step before the next step of the same service, in microseconds.
RETRY_US = 250_000
# Estimated duration of a promotion before the first one has completed, in microseconds.
INITIAL_PROMOTION_US = 1_400_000


@dataclass(kw_only=True)
class ServiceFailoverContext:
    """Collaborators of the failover steps, the promotion estimate, and the retry times of services.

    :param notify_proxies: see `NotifyProxies`.
    :param refresh_heartbeats: pulls the newest heartbeats from all other controllers.
    :param promotion_us: moving average of the duration of promotions; sent to clients as an estimate.
    :param retry_at_us: by service, the earliest time of the next step after a failed one.
    """

    ctx: Context
    assignments: ServiceAssignments
    members: ServiceMembers
    control: BackendControl
    poller: BackendPoller
    blocking: BlockingReasons
    notify_proxies: NotifyProxies
    refresh_heartbeats: Callable[[], Awaitable[None]]
    promotion_us: int = INITIAL_PROMOTION_US
    retry_at_us: dict[str, int] = field(default_factory=dict)

    def retry_later(self, *, service: str, wait_us: int = RETRY_US) -> None:
        """Schedules the service's next step no earlier than `wait_us` from now."""
        self.retry_at_us[service] = self.ctx.now_us() + wait_us

    def may_retry(self, *, service: str) -> bool:
        """Whether the pause after a service's last failed step is over."""
        return self.ctx.now_us() >= self.retry_at_us.get(service, 0)

    def record_promotion(self, *, took_us: int) -> None:
        """Updates the estimate with a completed promotion; the average weighs it one half."""
        self.promotion_us += (took_us - self.promotion_us) // 2
        self.ctx.counters.gauge(name="promotion.last_move_us", value=took_us)
