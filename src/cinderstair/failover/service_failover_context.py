"""What the steps of a service's failover share."""

from dataclasses import dataclass, field

from ..runtime.context import Context
from .backend_control import BackendControl
from .backend_poller import BackendPoller
from .blocking_reasons import BlockingReasons
from .service_assignments import ServiceAssignments
from .service_members import ServiceMembers

# Pause after a failed step before the service is looked at again, in microseconds.
RETRY_US = 250_000
# How long a promotion is expected to take until the first one has been measured, in microseconds.
INITIAL_PROMOTION_US = 1_400_000


@dataclass(kw_only=True)
class ServiceFailoverContext:
    """`promotion_us` is how long promotions have taken lately: a moving average, told to clients as an estimate.

    `retry_at_us` holds back a service whose last step failed.
    """

    ctx: Context
    assignments: ServiceAssignments
    members: ServiceMembers
    control: BackendControl
    poller: BackendPoller
    blocking: BlockingReasons
    promotion_us: int = INITIAL_PROMOTION_US
    retry_at_us: dict[str, int] = field(default_factory=dict)

    def retry_later(self, *, service: str, wait_us: int = RETRY_US) -> None:
        """Leaves a service alone for `wait_us`."""
        self.retry_at_us[service] = self.ctx.now_us() + wait_us

    def may_retry(self, *, service: str) -> bool:
        """Whether the pause after a service's last failed step is over."""
        return self.ctx.now_us() >= self.retry_at_us.get(service, 0)

    def record_promotion(self, *, took_us: int) -> None:
        """Takes a finished promotion into the estimate for the next ones."""
        self.promotion_us += (took_us - self.promotion_us) // 2
        self.ctx.counters.gauge(name="promotion.last_move_us", value=took_us)
