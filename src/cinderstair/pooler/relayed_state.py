"""One proxy's copy of the register's values and of the backends, and how relay answers update it."""

import asyncio
from dataclasses import replace

from reactivex.subject import Subject

from ..config.service_plan import PLAN_KEY, ServicePlan, read_service_plan
from ..consensus.ballot import Ballot
from ..failover.proxy_addresses import PROXY_ADDRESSES_KEY, ProxyAddress, read_proxy_addresses
from ..failover.proxy_ids import PROXY_IDS_KEY, ProxyIds, read_proxy_ids
from ..failover.service_primary import PREFIX, ServicePrimary, read_service_primary
from ..failover.shard_state import SHARDS_KEY, ShardState, read_shard_state
from ..membership.announcement import GONE
from ..membership.relay_record import RelayAnswer, RelayedBackend, RelayedValue
from ..runtime.context import Context

# Published by `changes` when backends have changed; all other keys are keys of the register.
BACKENDS_CHANGE = "backends"


def is_gone(*, entry: RelayedBackend) -> bool:
    """Whether a backend that a full answer omits may be dropped: it is silent or deregistered."""
    return entry.silent or entry.announcement.state == GONE


class RelayedState:
    """Holds the newest values that any controller has relayed. A value is never replaced by an older one.

    `changes` publishes the key of each updated value. `source` and `revision` identify the state that the last answer
    contained. `plan` is None until a configuration was relayed. `assigned_since_us`: by service, when its current
    assignment was received, by this proxy's clock.
    """

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.controllers: tuple[str, ...] = ()
        self.source = 0
        self.revision = 0
        self.ballots: dict[str, Ballot] = {}
        self.plan: ServicePlan | None = None
        self.proxy_ids = ProxyIds()
        self.proxy_addresses: dict[str, ProxyAddress] = {}
        self.shards = ShardState()
        self.primaries: dict[str, ServicePrimary] = {}
        self.assigned_since_us: dict[str, int] = {}
        self.backends: dict[str, RelayedBackend] = {}
        self.changes: Subject[str] = Subject()
        self._waiting: list[asyncio.Future[None]] = []

    def _take(self, *, answer: RelayAnswer) -> None:
        """Applies the answer of a controller whose state is current.

        :raises ValueError: a value can't be decoded; the values before it have been applied.
        """
        if answer.controllers:
            self.controllers = answer.controllers
        if answer.full:
            self._drop_lost_backends(answer=answer)
        self._take_backends(entries=answer.backends)
        for value in answer.values:
            self._take_value(entry=value)
        self.source, self.revision = answer.source, answer.revision
        if answer.backends or answer.full:
            self.changes.on_next(BACKENDS_CHANGE)

    def _drop_lost_backends(self, *, answer: RelayAnswer) -> None:
        """Drops silent or deregistered backends that a full answer omits.

        A controller that has just started knows few of the backends, so backends that answer are kept.
        """
        named = {entry.announcement.name for entry in answer.backends}
        lost = [name for name, entry in self.backends.items() if name not in named and is_gone(entry=entry)]
        for name in lost:
            del self.backends[name]

    def _take_backends(self, *, entries: tuple[RelayedBackend, ...]) -> None:
        for entry in entries:
            known = self.backends.get(entry.announcement.name)
            # Another controller may not have received yet what this proxy knows.
            if known is not None and entry.announcement.order < known.announcement.order:
                continue
            # A deregistration relayed by a controller that did not know the backend contains only its name.
            if entry.announcement.state == GONE and not entry.announcement.service:
                if known is None:
                    continue
                entry = replace(entry, announcement=replace(known.announcement, state=GONE, is_primary=False))
            self.backends[entry.announcement.name] = entry

    def _take_value(self, *, entry: RelayedValue) -> None:
        known = self.ballots.get(entry.key)
        if known is not None and known >= entry.ballot:
            return
        if entry.value:
            self._apply(key=entry.key, value=entry.value)
        self.ballots[entry.key] = entry.ballot
        self.changes.on_next(entry.key)

    def _apply(self, *, key: str, value: bytes) -> None:
        """Decodes a value of the register and stores it.

        :raises ValueError: the value can't be decoded.
        """
        if key == PLAN_KEY:
            self._apply_plan(plan=read_service_plan(data=value))
        elif key == PROXY_IDS_KEY:
            self.proxy_ids = read_proxy_ids(data=value)
        elif key == PROXY_ADDRESSES_KEY:
            self.proxy_addresses = read_proxy_addresses(data=value).addresses
        elif key == SHARDS_KEY:
            self.shards = read_shard_state(data=value)
        elif key.startswith(PREFIX):
            assignment = read_service_primary(data=value)
            service = key.removeprefix(PREFIX)
            self.primaries[service] = assignment
            self.assigned_since_us[service] = self.ctx.now_us()
            self.ctx.log.info(
                "%s: term %d, primary %s, %s", service, assignment.term, assignment.primary, assignment.state.name
            )

    def _apply_plan(self, *, plan: ServicePlan) -> None:
        # The register never returns to an earlier configuration version, so neither does this copy.
        if self.plan is None or plan.version > self.plan.version:
            self.plan = plan
            self.ctx.log.info("configuration version %d is in force", plan.version)

    # -- waiting for answers --

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def next_answer(self, *, until_us: int) -> None:
        """Waits for the next answer of a controller, whatever its content, but at most until `until_us`."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        try:
            async with asyncio.timeout(max(0, until_us - self.ctx.now_us()) / 1_000_000):
                await future
        except TimeoutError:
            pass
