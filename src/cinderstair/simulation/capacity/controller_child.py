"""A real controller in a process of its own, with stub backends."""

from pathlib import Path
from typing import Any

from ...runtime.real_disk import RealDisk
from .child import Child, metered_context, reading_of, use_adapter
from .metered_protocol import MeteredProtocol
from .naming import REGIONS
from .stub_control import StubControl


class ControllerChild(Child):
    """Runs the platform's controller role and counts the bytes of its HTTP connections."""

    def __init__(self, *, options: dict[str, Any]) -> None:
        use_adapter()
        from adapter.controller_role import ControllerRole
        from adapter.settings_file import MachineSettings
        from adapter.tcp_streams import TcpStreams

        self.http = [0, 0]

        class MeteredStreams(TcpStreams):
            async def serve(streams, *, address: str, protocol: Any) -> None:
                await super().serve(
                    address=address, protocol=lambda: MeteredProtocol(inner=protocol(), count=self._count)
                )

        machine = MachineSettings(
            name=options["name"],
            site=options["site"],
            ip="127.0.0.1",
            seeds=(),
            regions=REGIONS,
            folder=options["folder"],
            control=options["control"],
            first_run=options["first_run"],
            losses=options["voters"] // 2,
            heartbeat_interval_us=options["beat_every_us"],
        )
        self.ctx = metered_context(
            name=machine.name, site=machine.site, disk=RealDisk(folder=machine.folder), seed=options["seed"]
        )
        self.role = ControllerRole(self.ctx, machine, MeteredStreams(), self._halt)
        controller = self.role.controller
        # Controllers share a loopback address and differ in ports, which the platform's settings can't express.
        controller.settings = _with_loopback_addresses(settings=controller.settings, options=options)
        controller.register_replica.settings = controller.settings
        controller.register_replica.register.seeds = controller.settings.seeds
        controller.register_replica.register.own = controller.settings.records
        stub = StubControl(assignment=lambda service: controller.service_failover.primaries.get(service))
        controller.control = controller.promoter = stub
        self.controller = controller
        self.net = self.ctx.net

    def _count(self, received: int, sent: int) -> None:
        self.http[0] += received
        self.http[1] += sent

    def _halt(self, reason: str) -> None:
        raise SystemExit(reason)

    async def start(self) -> None:
        Path(self.ctx.disk.folder).mkdir(parents=True, exist_ok=True)  # type: ignore[attr-defined]
        started = await self.role.start()
        if started.is_error():
            raise SystemExit(started.error.reason)

    async def do_read(self) -> dict[str, Any]:
        """Returns the resource counters of the process."""
        syncs = self.ctx.counters.counts["vault.syncs"]
        net: Any = self.net
        return reading_of(nets=[net], http=(self.http[0], self.http[1]), syncs=syncs).value()

    async def do_status(self) -> dict[str, Any]:
        """Returns what the controller knows. `holds`: it has the promotion lease; `quiet`: silent backends."""
        controller = self.controller
        roster = controller.register_replica.roster
        return {
            "epoch": 0 if roster is None else roster.epoch,
            "voters": 0 if roster is None else len(roster.voters),
            "leads": len(controller.service_failover.primaries),
            "plan": 0 if controller.service_failover.plan is None else controller.service_failover.plan.version,
            "backends": len(controller.heartbeat_table.newest),
            "quiet": sum(controller.heartbeat_table.silent(name=name) for name in controller.heartbeat_table.newest),
            "current": controller.view.current,
            "holds": controller.service_failover.lease.held,
            "crashes": self.ctx.counters.counts["internal.crashes"],
            "counters": self.ctx.counters.snapshot(),
        }


def _with_loopback_addresses(*, settings: Any, options: dict[str, Any]) -> Any:
    from dataclasses import replace

    return replace(
        settings,
        records=options["records"],
        seeds=tuple(options["seeds"]),
        founding_replicas=options["voters"],
        max_voters=options["voters"],
    )
