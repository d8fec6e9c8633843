"""Trials in which controllers are lost in succession, each as soon as the rules of operation allow it."""

from collections.abc import Callable

from ...consensus.roster import Roster
from .machine_trials import await_serving
from .platform_world import CATCH_UP_US, PlatformWorld

ACK_MS = 5_000
Loss = Callable[[PlatformWorld, str], None]


def acknowledged(*, world: PlatformWorld, version: int) -> None:
    """Sends a configuration, which must be confirmed within ACK_MS."""
    task = world.put(body=world.configuration(version=version, extra=(f"extra-{version}",)))
    world.await_that(test=task.done, within_ms=ACK_MS, description=f"configuration {version} is answered")
    if task.result() != 200:
        raise AssertionError(f"configuration {version} got status {task.result()}, expected 200")


def newest_roster(*, world: PlatformWorld) -> Roster:
    """The newest roster that any running controller knows."""
    rosters = [
        world.roles[name].controller.register_replica.roster for name in world.controllers if name in world.roles
    ]
    return max((roster for roster in rosters if roster is not None), key=lambda roster: roster.epoch)


def all_vote(*, world: PlatformWorld) -> bool:
    """Whether every voter of the newest roster runs with its disk, and has adopted that roster."""
    roster = newest_roster(world=world)
    running = [world.roles[name].controller.register_replica for name in world.controllers if name in world.roles]
    idents = {
        register_replica.me.ident
        for register_replica in running
        if register_replica.me is not None and register_replica.roster == roster
    }
    return all(voter.ident in idents for voter in roster.voters)


def wipe(world: PlatformWorld, name: str) -> None:
    """A controller loses power and its disk, and restarts at its address."""
    world.power_off(name=name, wipe=True)
    world.advance(for_ms=1_500)
    world.power_on(name=name)


def replace(world: PlatformWorld, name: str) -> None:
    """A controller is lost for good, and an empty one replaces it at another address."""
    zone = world.zones[name]
    world.remove_controller(name=name)
    world.advance(for_ms=1_000)
    world.add_controller(name=f"{name}x", zone=zone)


def replace_planned(world: PlatformWorld, name: str) -> None:
    """A new controller is added, then the old one leaves as planned."""
    zone = world.zones[name]
    world.add_controller(name=f"{name}y", zone=zone)
    world.advance(for_ms=CATCH_UP_US // 1_000)
    ended = world.decommission(name=name)
    world.await_that(test=ended.done, within_ms=8_000, description=f"{name} has ended")
    if any(voter.name == name for voter in newest_roster(world=world).voters):
        raise AssertionError(f"{name} has ended, but is still a voter")
    world.remove_controller(name=name)


def partition(world: PlatformWorld, name: str) -> None:
    """A controller is partitioned from the others for up to 8 s."""
    others = [other for other in world.controllers if other != name]
    world.partition(ones=[name], others=others)
    world.advance(for_ms=world.rng.randrange(500, 8_000))
    world.heal()


def lose_in_succession(*, world: PlatformWorld, losses: list[Loss]) -> None:
    """Each loss takes the controller with the oldest disk, CATCH_UP_US after the one before."""
    world.advance(for_ms=800)
    version = 10
    oldest = list(world.controllers)
    for loss in losses:
        name = oldest.pop(0)
        loss(world, name)
        # counted from the return of the lost controller, or from the start of its replacement
        since_us = world.now_us
        world.await_that(
            test=lambda: all_vote(world=world),
            within_ms=CATCH_UP_US // 1_000,
            description=f"all voters run after {loss.__name__}",
        )
        world.voters_restored_us.append(world.now_us - since_us)
        world.advance(for_ms=(CATCH_UP_US - (world.now_us - since_us)) // 1_000)
        oldest = [each for each in oldest if each in world.controllers]
        oldest += [each for each in world.controllers if each not in oldest]
        version += 1
        acknowledged(world=world, version=version)
    await_serving(world=world)
    world.advance(for_ms=2_000)


def replaced_then_wiped(world: PlatformWorld) -> None:
    """One controller is replaced, the next loses its disk."""
    lose_in_succession(world=world, losses=[replace, wipe])


def replaced_three_times(world: PlatformWorld) -> None:
    """Three controllers are replaced, the first as planned."""
    lose_in_succession(world=world, losses=[replace_planned, replace, replace])


def wiped_three_times(world: PlatformWorld) -> None:
    """Three controllers lose their disks."""
    lose_in_succession(world=world, losses=[wipe, wipe, wipe])


def partitioned_then_lost(world: PlatformWorld) -> None:
    """A standby replaces a partitioned voter, which returns; then two other controllers are lost."""
    world.add_controller(name="guildhall-9", zone=world.zones["guildhall-0"])
    world.advance(for_ms=CATCH_UP_US // 1_000)
    lose_in_succession(world=world, losses=[partition, wipe, replace])


def random_losses(world: PlatformWorld) -> None:
    """Four random losses."""
    losses = [replace, replace_planned, wipe, partition]
    lose_in_succession(world=world, losses=[world.rng.choice(losses) for _ in range(4)])
