"""Random faults of controllers and random events at any time, within the tolerated number of losses."""

from collections.abc import Callable

from .failover_trials import RECOVERY_MS
from .platform_world import CATCH_UP_US, PlatformWorld

TRIAL_MS = 30_000
STEP_MS = 100
MAX_PARTITION_MS = 20_000
MAX_BURST = 8
DRAWS = 14
Action = Callable[[], None]


class ControlFaultMix:
    """Draws and injects the faults. A controller is lost only CATCH_UP_US after the one before has returned.

    `next_loss_us` is when the next loss is allowed; `scheduled` holds the ends of faults, with their times.
    """

    def __init__(self, *, world: PlatformWorld) -> None:
        self.world = world
        self.rng = world.rng
        self.next_loss_us = 0
        self.scheduled: list[tuple[int, Action]] = []
        self.version = 10
        self.bodies: list[bytes] = []
        self.replacements = 0

    # -- scheduling --

    def _at(self, *, in_ms: int, call: Action) -> None:
        self.scheduled.append((self.world.now_us + in_ms * 1_000, call))

    def _may_lose(self) -> bool:
        return self.world.now_us >= self.next_loss_us

    def _reserve_loss(self, *, ms: int) -> None:
        self.next_loss_us = self.world.now_us + ms * 1_000 + CATCH_UP_US

    def _run_due(self) -> None:
        due = [call for at_us, call in self.scheduled if at_us <= self.world.now_us]
        self.scheduled = [entry for entry in self.scheduled if entry[0] > self.world.now_us]
        for call in due:
            call()

    def _controller(self) -> str:
        """A random controller, more often the one with the oldest disk."""
        world = self.world
        return world.controllers[0] if self.rng.random() < 0.4 else self.rng.choice(world.controllers)

    # -- losses of a controller --

    def kill(self) -> None:
        """A controller's process is killed, and restarts."""
        down_ms = self.rng.randrange(100, 3_000)
        self._reserve_loss(ms=down_ms)
        self.world.kill(name=self._controller(), restart_us=down_ms * 1_000)

    def power(self) -> None:
        """A controller loses power for a while."""
        self._lose_power(wipe=False)

    def wipe(self) -> None:
        """A controller loses power and its disk, and returns empty."""
        self._lose_power(wipe=True)

    def _lose_power(self, *, wipe: bool) -> None:
        name, down_ms = self._controller(), self.rng.randrange(300, 4_000)
        self._reserve_loss(ms=down_ms)
        self.world.power_off(name=name, wipe=wipe)
        self._at(in_ms=down_ms, call=lambda: self.world.power_on(name=name))

    def freeze(self) -> None:
        """A controller's process is frozen for a while."""
        name, for_ms = self._controller(), self.rng.randrange(300, 5_000)
        self._reserve_loss(ms=for_ms)
        self.world.freeze(name=name)
        self._at(in_ms=for_ms, call=lambda: self.world.thaw(name=name))

    def partition(self) -> None:
        """A controller is partitioned from the others, in one direction or both."""
        name, for_ms = self._controller(), self.rng.randrange(500, MAX_PARTITION_MS)
        self._reserve_loss(ms=for_ms)
        self.world.partition_controller(name=name, both=self.rng.random() < 0.6)
        self._at(in_ms=for_ms, call=self.world.heal)

    def slow_disk(self) -> None:
        """A controller's disk operations hang for a while."""
        name, for_ms = self._controller(), self.rng.randrange(500, 4_000)
        self._reserve_loss(ms=for_ms)
        disk = self.world.disks[name]
        disk.hangs = self.rng.choice((0.05, 0.4, 2.0))
        self.world.begin_disruption(name=name, for_us=for_ms * 1_000)

        def undo() -> None:
            disk.hangs = 0.0

        self._at(in_ms=for_ms, call=undo)

    def replace(self) -> None:
        """A controller is lost for good; later an empty one starts at another address."""
        name, gone_ms = self._controller(), self.rng.randrange(200, 2_500)
        zone = self.world.zones[name]
        self._reserve_loss(ms=gone_ms)
        self.world.remove_controller(name=name)
        self._at(in_ms=gone_ms, call=lambda: self._add_replacement(zone=zone))

    def replace_planned(self) -> None:
        """A new controller starts, then the old one leaves as planned."""
        world, name = self.world, self._controller()
        self._add_replacement(zone=world.zones[name])
        wait_ms = self.rng.randrange(1_000, 5_000)
        self._reserve_loss(ms=wait_ms + 6_000)

        def leave() -> None:
            if name in world.roles and name in world.controllers:
                ended = world.decommission(name=name)
                ended.add_done_callback(lambda _: world.remove_controller(name=name))

        self._at(in_ms=wait_ms, call=leave)

    def _add_replacement(self, *, zone: str) -> None:
        self.replacements += 1
        self.world.add_controller(name=f"guildhall-n{self.replacements}", zone=zone)

    def stop(self) -> None:
        """A planned restart of a controller."""
        self._reserve_loss(ms=6_500)
        self.world.stop(name=self._controller())

    def kill_all(self) -> None:
        """All controllers are killed at once; their disks stay."""
        down_ms = self.rng.randrange(200, 1_000)
        self._reserve_loss(ms=down_ms)
        for name in self.world.controllers:
            self.world.kill(name=name, restart_us=down_ms * 1_000)

    # -- other events, at any time --

    def configure(self) -> None:
        """An operator sends a new configuration."""
        self.version += self.rng.randrange(1, 4)
        body = self.world.configuration(version=self.version, extra=(f"extra-{self.version}",))
        self.bodies.append(body)
        self.world.put(body=body)

    def configure_burst(self) -> None:
        """Several new configurations at once."""
        for _ in range(self.rng.randrange(2, MAX_BURST)):
            self.configure()

    def configure_conflicting(self) -> None:
        """Two configurations of one version at once."""
        self.configure()
        other = self.world.configuration(version=self.version, extra=(f"extra-{self.version}-other",))
        self.bodies.append(other)
        self.world.put(body=other)

    def resend_configuration(self) -> None:
        """An earlier configuration is sent again."""
        if self.bodies:
            self.world.put(body=self.rng.choice(self.bodies))

    def proxy(self) -> None:
        """A proxy is killed, and restarts."""
        self.world.kill(name=self.rng.choice(self.world.proxies), restart_us=self.rng.randrange(100_000, 2_000_000))

    def reset(self) -> None:
        """All connections of a controller or proxy are reset."""
        self.world.reset(name=self.rng.choice([*self.world.controllers, *self.world.proxies]))

    def shuffle_seeds(self) -> None:
        """Reloads settings with the seeds in another order, some of which may be unreachable."""
        world = self.world
        self.rng.shuffle(world.controller_addresses)
        for name, role in world.roles.items():
            role.apply_settings(machine=world.machine_settings(name=name))

    def crash(self) -> None:
        """A backend crashes or loses power, and restarts."""
        ready = [each for each in self.world.backends.values() if each.up and not each.draining]
        if ready:
            restart_us = self.rng.randrange(500_000, 5_000_000)
            self.world.crash(
                backend=self.rng.choice(ready), restart_us=restart_us, power_loss=self.rng.random() < 0.4
            )

    def release(self) -> None:
        """A backend is drained and replaced."""
        ready = [each for each in self.world.backends.values() if each.up and not each.draining]
        # a service keeps no backend if all drain at once, so one is released only while the others run
        apart = [each for each in ready if all(o.up and not o.draining for o in each.service.backends.values())]
        if apart:
            self.world.release(backend=self.rng.choice(apart), deregister_first=self.rng.random() < 0.4)

    @property
    def losses(self) -> tuple[Action, ...]:
        return (
            self.kill,
            self.power,
            self.wipe,
            self.wipe,
            self.freeze,
            self.partition,
            self.partition,
            self.slow_disk,
            self.replace,
            self.replace,
            self.replace_planned,
            self.stop,
            self.kill_all,
        )

    @property
    def others(self) -> tuple[Action, ...]:
        return (
            self.configure,
            self.configure_burst,
            self.configure_conflicting,
            self.resend_configuration,
            self.proxy,
            self.reset,
            self.shuffle_seeds,
            self.crash,
            self.release,
        )

    def play(self) -> None:
        """Injects losses as soon as they are allowed, and other events at random times, for TRIAL_MS."""
        self.world.operator.lost_answers = self.rng.choice((0.0, 0.3, 0.7))
        moments = sorted(self.rng.randrange(TRIAL_MS) for _ in range(DRAWS))
        until_us = self.world.now_us + TRIAL_MS * 1_000
        began_us = self.world.now_us
        while self.world.now_us < until_us or self.scheduled:
            self._run_due()
            # at 0.15 a step, about half of the losses come within 0.4 s of the earliest time allowed
            if self.world.now_us < until_us and self._may_lose() and self.rng.random() < 0.15:
                self.rng.choice(self.losses)()
            while moments and began_us + moments[0] * 1_000 <= self.world.now_us:
                moments.pop(0)
                self.rng.choice(self.others)()
            self.world.advance(for_ms=STEP_MS)
        self.world.operator.lost_answers = 0.0


def await_recovered(*, world: PlatformWorld) -> None:
    """Heals partitions, and waits until every proxy serves."""
    world.heal()
    world.advance(for_ms=CATCH_UP_US // 1_000)
    world.await_that(test=world.serves, within_ms=2 * RECOVERY_MS, description="every proxy serves")


def control_faults_mixed(world: PlatformWorld) -> None:
    """Random faults; then a configuration must be confirmed."""
    mix = ControlFaultMix(world=world)
    mix.play()
    await_recovered(world=world)
    mix.configure()
    world.advance(for_ms=4_000)


def control_faults_mixed_power_loss(world: PlatformWorld) -> None:
    """The same, then all machines lose power right after an acknowledgement, one controller mostly with its disk."""
    mix = ControlFaultMix(world=world)
    mix.play()
    await_recovered(world=world)
    mix.version += 1
    task = world.put(body=world.configuration(version=mix.version, extra=("late",)))
    world.await_that(test=task.done, within_ms=RECOVERY_MS, description="a configuration is answered")
    machines = [*world.controllers, *world.proxies]
    wiped = world.controllers[0] if world.rng.random() < 0.7 else ""
    for name in machines:
        world.power_off(name=name, wipe=name == wiped)
    world.advance(for_ms=world.rng.randrange(500, 2_000))
    for name in machines:
        world.power_on(name=name)
    world.oracle.recover.restarted_us = world.now_us
    world.advance(for_ms=9_000)
