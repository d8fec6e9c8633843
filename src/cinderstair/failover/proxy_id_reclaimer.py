"""Allocates ids of HTTP proxies, and frees the ids of proxies that have left permanently."""

from expression import Error, Ok, Result

from ..consensus.lease import Lease
from ..consensus.register import Register
from ..http_frontend.view import View
from ..membership.member import Standing
from ..membership.membership import Membership
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .proxy_ids import PROXY_IDS_KEY, read_proxy_ids
from .singleton_role import SingletonRoleMixin

TIMER_PERIOD_US = 1_000_000
# Time for which an HTTP proxy must be absent before its id is freed, in microseconds; longer than a restart, so that
# a restarted proxy keeps its id.
GRACE_US = 30_000_000
PROXY_ID_LEASE = "slots"


class ProxyIdReclaimer(SingletonRoleMixin):
    """Owns since when each HTTP proxy is absent, while it holds the lease.

    Invariant: an HTTP proxy allocates its own id; only the lease holder frees ids, after a grace period.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        register: Register,
        view: View,
        membership: Membership,
        grace_us: int = GRACE_US,
    ) -> None:
        self.ctx = ctx
        self.register = register
        self.view: View = view
        self.membership = membership
        self.grace_us = grace_us
        self.lease = Lease(
            ctx=ctx, register=register, name=PROXY_ID_LEASE, contenders=lambda: len(view.proxy_ids.names)
        )
        self.gone_since_us: dict[str, int] = {}
        self.open_queue()
        self.every(every_us=TIMER_PERIOD_US, command=self._on_timer, name="slots")

    async def claim(self, *, name: str) -> None:
        """Allocates the lowest free id for an HTTP proxy without one; the caller retries after a failure."""
        result = await self.register.change(
            key=PROXY_IDS_KEY, decide=lambda data: Ok(read_proxy_ids(data=data).with_name(name=name).bytes())
        )
        self.view.apply_own_write(key=PROXY_IDS_KEY, result=result)

    async def _on_timer(self) -> None:
        await self.renew_role()
        if not self.may_act:
            self.gone_since_us.clear()
            return
        now_us = self.ctx.now_us()
        for _, name in self.view.proxy_ids.names:
            standing = self.membership.standing(name=name)
            if standing is not None and standing <= Standing.suspect:
                self.gone_since_us.pop(name, None)
            elif now_us - self.gone_since_us.setdefault(name, now_us) > self.grace_us:
                await self._free(name=name)

    async def _free(self, *, name: str) -> None:
        def decide(data: bytes) -> Result[bytes, CinderstairError]:
            proxy_ids = read_proxy_ids(data=data)
            if proxy_ids.id_of(name=name) is None:
                return Error(
                    CinderstairError(
                        code=ErrorCode.VERSION_TAKEN, reason=f"the id of HTTP proxy {name} is already free"
                    )
                )
            return Ok(proxy_ids.without(name=name).bytes())

        result = await self.register.change(key=PROXY_IDS_KEY, decide=decide)
        self.view.apply_own_write(key=PROXY_IDS_KEY, result=result)
        self.gone_since_us.pop(name, None)
        if result.is_ok():
            self.ctx.counters.add(name="slots.freed")
            self.ctx.log.info(
                "freed the id of HTTP proxy %s, which was absent for more than %d ms", name, self.grace_us // 1_000
            )
