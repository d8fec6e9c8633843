"""A real guildhall in a process of its own, before backends that are not there."""

from pathlib import Path
from typing import Any

from ...runtime.realdisk import RealDisk
from .child import Child, metered_context, reading_of, use_adapter
from .hollow_control import HollowControl
from .metered_protocol import MeteredProtocol
from .naming import REGIONS


class GuildhallChild(Child):
    def __init__(self, *, options: dict[str, Any]) -> None:
        use_adapter()
        from adapter.guildhall_role import GuildhallRole
        from adapter.settings_file import Machine
        from adapter.streams import RealStreams

        self.http = [0, 0]

        class MeteredStreams(RealStreams):
            async def serve(streams, *, address: str, protocol: Any) -> None:
                await super().serve(
                    address=address, protocol=lambda: MeteredProtocol(inner=protocol(), count=self._count)
                )

        machine = Machine(
            name=options["name"],
            site=options["site"],
            ip="127.0.0.1",
            seeds=(),
            regions=REGIONS,
            folder=options["folder"],
            control=options["control"],
            first_run=options["first_run"],
            losses=options["voters"] // 2,
            beat_every_us=options["beat_every_us"],
        )
        self.ctx = metered_context(
            name=machine.name, site=machine.site, disk=RealDisk(folder=machine.folder), seed=options["seed"]
        )
        self.role = GuildhallRole(self.ctx, machine, MeteredStreams(), self._halt)
        guildhall = self.role.guildhall
        # why: on one loopback address each has ports of its own, which the platform's settings have no words for
        guildhall.settings = _placed(settings=guildhall.settings, options=options)
        guildhall.vault.settings = guildhall.settings
        guildhall.vault.register.seeds = guildhall.settings.seeds
        guildhall.vault.register.own = guildhall.settings.records
        hollow = HollowControl(lead=lambda service: guildhall.duty.leads.get(service))
        guildhall.control = guildhall.promoter = hollow
        self.guildhall = guildhall
        self.net = self.ctx.net

    def _count(self, came: int, went: int) -> None:
        self.http[0] += came
        self.http[1] += went

    def _halt(self, why: str) -> None:
        raise SystemExit(why)

    async def begin(self) -> None:
        Path(self.ctx.disk.folder).mkdir(parents=True, exist_ok=True)  # type: ignore[attr-defined]
        started = await self.role.start()
        if started.is_error():
            raise SystemExit(started.error.why)

    async def do_read(self) -> dict[str, Any]:
        syncs = self.ctx.counters.counts["vault.syncs"]
        net: Any = self.net
        return reading_of(nets=[net], http=(self.http[0], self.http[1]), syncs=syncs).value()

    async def do_status(self) -> dict[str, Any]:
        guildhall = self.guildhall
        roster = guildhall.vault.roster
        return {
            "epoch": 0 if roster is None else roster.epoch,
            "voters": 0 if roster is None else len(roster.voters),
            "leads": len(guildhall.duty.leads),
            "plan": 0 if guildhall.duty.plan is None else guildhall.duty.plan.version,
            "backends": len(guildhall.news.best),
            "quiet": sum(guildhall.news.quiet(name=name) for name in guildhall.news.best),
            "current": guildhall.view.current,
            "holds": guildhall.duty.lease.held,
            "crashes": self.ctx.counters.counts["internal.crashes"],
            "counters": self.ctx.counters.snapshot(),
        }


def _placed(*, settings: Any, options: dict[str, Any]) -> Any:
    from dataclasses import replace

    return replace(
        settings,
        records=options["records"],
        seeds=tuple(options["seeds"]),
        foundingVaults=options["voters"],
        mostVaults=options["voters"],
    )
