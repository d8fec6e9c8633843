"""Troubles of the control side drawn by the seed, at any moment and more than once, within what is to be borne."""

from collections.abc import Callable

from .failover_trials import BACK_MS
from .platform_world import CATCH_UP_US, PlatformWorld

DAY_MS = 30_000
STEP_MS = 100
CUT_MOST_MS = 20_000
ORDERS_MOST = 8
DRAWS = 14
Over = Callable[[], None]


class ControlMix:
    """One day's troubles. A controller is lost only when the one before has been back for `catch_up_s`."""

    def __init__(self, *, world: PlatformWorld) -> None:
        self.world = world
        self.rng = world.rng
        self.may_lose_us = 0
        self.later: list[tuple[int, Over]] = []
        self.version = 10
        self.bodies: list[bytes] = []
        self.newcomers = 0

    # -- when --

    def _at(self, *, in_ms: int, call: Over) -> None:
        self.later.append((self.world.now_us + in_ms * 1_000, call))

    def _may_lose(self) -> bool:
        return self.world.now_us >= self.may_lose_us

    def _lost_for(self, *, ms: int) -> None:
        self.may_lose_us = self.world.now_us + ms * 1_000 + CATCH_UP_US

    def _run_due(self) -> None:
        due = [call for at_us, call in self.later if at_us <= self.world.now_us]
        self.later = [entry for entry in self.later if entry[0] > self.world.now_us]
        for call in due:
            call()

    def _controller(self) -> str:
        """Often the one whose disk has lasted longest."""
        world = self.world
        return world.controllers[0] if self.rng.random() < 0.4 else self.rng.choice(world.controllers)

    # -- losses of a controller --

    def kill(self) -> None:
        down_ms = self.rng.randrange(100, 3_000)
        self._lost_for(ms=down_ms)
        self.world.kill(name=self._controller(), again_us=down_ms * 1_000)

    def power(self) -> None:
        self._dark(wipe=False)

    def wipe(self) -> None:
        self._dark(wipe=True)

    def _dark(self, *, wipe: bool) -> None:
        name, down_ms = self._controller(), self.rng.randrange(300, 4_000)
        self._lost_for(ms=down_ms)
        self.world.power_off(name=name, wipe=wipe)
        self._at(in_ms=down_ms, call=lambda: self.world.power_on(name=name))

    def freeze(self) -> None:
        name, for_ms = self._controller(), self.rng.randrange(300, 5_000)
        self._lost_for(ms=for_ms)
        self.world.freeze(name=name)
        self._at(in_ms=for_ms, call=lambda: self.world.thaw(name=name))

    def cut(self) -> None:
        name, for_ms = self._controller(), self.rng.randrange(500, CUT_MOST_MS)
        self._lost_for(ms=for_ms)
        self.world.cut_off_controller(name=name, both=self.rng.random() < 0.6)
        self._at(in_ms=for_ms, call=self.world.heal)

    def http_proxy_disk(self) -> None:
        name, for_ms = self._controller(), self.rng.randrange(500, 4_000)
        self._lost_for(ms=for_ms)
        disk = self.world.disks[name]
        disk.hangs = self.rng.choice((0.05, 0.4, 2.0))
        self.world.note(name=name, for_us=for_ms * 1_000)

        def over() -> None:
            disk.hangs = 0.0

        self._at(in_ms=for_ms, call=over)

    def replace(self) -> None:
        """Gone without a word; an empty one comes a while later at another address."""
        name, gone_ms = self._controller(), self.rng.randrange(200, 2_500)
        zone = self.world.zones[name]
        self._lost_for(ms=gone_ms)
        self.world.remove_controller(name=name)
        self._at(in_ms=gone_ms, call=lambda: self._joiner(zone=zone))

    def replace_planned(self) -> None:
        """The new one first, then the old one's planned end."""
        world, name = self.world, self._controller()
        self._joiner(zone=world.zones[name])
        wait_ms = self.rng.randrange(1_000, 5_000)
        self._lost_for(ms=wait_ms + 6_000)

        def leave() -> None:
            if name in world.roles and name in world.controllers:
                gone = world.leave_for_good(name=name)
                gone.add_done_callback(lambda _: world.remove_controller(name=name))

        self._at(in_ms=wait_ms, call=leave)

    def _joiner(self, *, zone: str) -> None:
        self.newcomers += 1
        self.world.add_controller(name=f"guildhall-n{self.newcomers}", zone=zone)

    def stop(self) -> None:
        self._lost_for(ms=6_500)
        self.world.stop(name=self._controller())

    def herd(self) -> None:
        """All at once, whatever may be lost; their disks stay."""
        down_ms = self.rng.randrange(200, 1_000)
        self._lost_for(ms=down_ms)
        for name in self.world.controllers:
            self.world.kill(name=name, again_us=down_ms * 1_000)

    # -- anything else, at any moment --

    def order(self) -> None:
        self.version += self.rng.randrange(1, 4)
        body = self.world.configuration(version=self.version, extra=(f"extra-{self.version}",))
        self.bodies.append(body)
        self.world.put(body=body)

    def orders(self) -> None:
        for _ in range(self.rng.randrange(2, ORDERS_MOST)):
            self.order()

    def race(self) -> None:
        self.order()
        other = self.world.configuration(version=self.version, extra=(f"extra-{self.version}-other",))
        self.bodies.append(other)
        self.world.put(body=other)

    def order_again(self) -> None:
        if self.bodies:
            self.world.put(body=self.rng.choice(self.bodies))

    def proxy(self) -> None:
        self.world.kill(name=self.rng.choice(self.world.proxies), again_us=self.rng.randrange(100_000, 2_000_000))

    def reset(self) -> None:
        self.world.reset(name=self.rng.choice([*self.world.controllers, *self.world.proxies]))

    def seeds(self) -> None:
        """Settings name other machines, some of which may be out of reach."""
        world = self.world
        self.rng.shuffle(world.controls)
        for name, role in world.roles.items():
            role.apply_settings(machine=world.machine(name=name))

    def crash(self) -> None:
        ready = [each for each in self.world.backends.values() if each.up and not each.emptying]
        if ready:
            again_us = self.rng.randrange(500_000, 5_000_000)
            self.world.crash(backend=self.rng.choice(ready), again_us=again_us, dark=self.rng.random() < 0.4)

    def release(self) -> None:
        ready = [each for each in self.world.backends.values() if each.up and not each.emptying]
        # why: a service of which all leave at once has nobody left, whatever control does
        apart = [each for each in ready if all(o.up and not o.emptying for o in each.service.backends.values())]
        if apart:
            self.world.release(backend=self.rng.choice(apart), deregister_first=self.rng.random() < 0.4)

    @property
    def losses(self) -> tuple[Over, ...]:
        return (
            self.kill,
            self.power,
            self.wipe,
            self.wipe,
            self.freeze,
            self.cut,
            self.cut,
            self.http_proxy_disk,
            self.replace,
            self.replace,
            self.replace_planned,
            self.stop,
            self.herd,
        )

    @property
    def others(self) -> tuple[Over, ...]:
        return (
            self.order,
            self.orders,
            self.race,
            self.order_again,
            self.proxy,
            self.reset,
            self.seeds,
            self.crash,
            self.release,
        )

    def play(self) -> None:
        """Losses as soon as they may come, and others at any moment."""
        self.world.operator.lost_answers = self.rng.choice((0.0, 0.3, 0.7))
        moments = sorted(self.rng.randrange(DAY_MS) for _ in range(DRAWS))
        until_us = self.world.now_us + DAY_MS * 1_000
        began_us = self.world.now_us
        while self.world.now_us < until_us or self.later:
            self._run_due()
            # why: at the shortest spacing that is allowed half of the time
            if self.world.now_us < until_us and self._may_lose() and self.rng.random() < 0.15:
                self.rng.choice(self.losses)()
            while moments and began_us + moments[0] * 1_000 <= self.world.now_us:
                moments.pop(0)
                self.rng.choice(self.others)()
            self.world.advance(for_ms=STEP_MS)
        self.world.operator.lost_answers = 0.0


def well_again(*, world: PlatformWorld) -> None:
    """Everything serves, and an order is confirmed once the last loss has been made good."""
    world.heal()
    world.advance(for_ms=CATCH_UP_US // 1_000)
    world.await_that(test=world.serves, within_ms=2 * BACK_MS, what="everything is well again")


def control_mixed(world: PlatformWorld) -> None:
    mix = ControlMix(world=world)
    mix.play()
    well_again(world=world)
    mix.order()
    world.advance(for_ms=4_000)


def control_mixed_closing(world: PlatformWorld) -> None:
    """The same, and right after an acknowledgement everything goes dark, one machine with its disk."""
    mix = ControlMix(world=world)
    mix.play()
    well_again(world=world)
    mix.version += 1
    task = world.put(body=world.configuration(version=mix.version, extra=("late",)))
    world.await_that(test=task.done, within_ms=BACK_MS, what="a configuration is answered")
    machines = [*world.controllers, *world.proxies]
    wiped = world.controllers[0] if world.rng.random() < 0.7 else ""
    for name in machines:
        world.power_off(name=name, wipe=name == wiped)
    world.advance(for_ms=world.rng.randrange(500, 2_000))
    for name in machines:
        world.power_on(name=name)
    world.referee.recover.back_us = world.now_us
    world.advance(for_ms=9_000)
