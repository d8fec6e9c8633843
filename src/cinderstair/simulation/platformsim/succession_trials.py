"""Trials in which a machine of control is replaced, and another one is lost as soon as it may be."""

from collections.abc import Callable

from ...consensus.roster import Roster
from .machine_trials import back
from .platform_world import CATCH_UP_US, PlatformWorld

ACK_MS = 5_000
Loss = Callable[[PlatformWorld, str], None]


def acknowledged(*, world: PlatformWorld, version: int) -> None:
    """An operator's configuration is taken within the time that the platform's rule gives."""
    task = world.put(body=world.configuration(version=version, extra=(f"extra-{version}",)))
    world.await_that(test=task.done, within_ms=ACK_MS, what=f"configuration {version} is answered")
    if task.result() != 200:
        raise AssertionError(f"configuration {version} got {task.result()}")


def newest_roster(*, world: PlatformWorld) -> Roster:
    """The newest roster that any running machine knows."""
    rosters = [
        world.roles[name].controller.register_replica.roster for name in world.controllers if name in world.roles
    ]
    return max((roster for roster in rosters if roster is not None), key=lambda roster: roster.epoch)


def all_vote(*, world: PlatformWorld) -> bool:
    """Whether every voter runs, with the disk that it votes by, and has made the newest roster its own."""
    roster = newest_roster(world=world)
    running = [world.roles[name].controller.register_replica for name in world.controllers if name in world.roles]
    idents = {
        register_replica.me.ident
        for register_replica in running
        if register_replica.me is not None and register_replica.roster == roster
    }
    return all(voter.ident in idents for voter in roster.voters)


def wipe(world: PlatformWorld, name: str) -> None:
    """A machine loses power and its disk, and comes back after a while at its old address."""
    world.power_off(name=name, wipe=True)
    world.advance(for_ms=1_500)
    world.power_on(name=name)


def lose(world: PlatformWorld, name: str) -> None:
    """A machine is gone for good, and an empty one takes its place at another address."""
    zone = world.zones[name]
    world.remove_controller(name=name)
    world.advance(for_ms=1_000)
    world.add_controller(name=f"{name}x", zone=zone)


def leave(world: PlatformWorld, name: str) -> None:
    """The new machine first, then the old one's planned end; losses count from its end on."""
    zone = world.zones[name]
    world.add_controller(name=f"{name}y", zone=zone)
    world.advance(for_ms=CATCH_UP_US // 1_000)
    gone = world.leave_for_good(name=name)
    world.await_that(test=gone.done, within_ms=8_000, what=f"{name} has ended")
    if any(voter.name == name for voter in newest_roster(world=world).voters):
        raise AssertionError(f"{name} ended with its vote")
    world.remove_controller(name=name)


def cut_off(world: PlatformWorld, name: str) -> None:
    """A machine is cut off from all others of control for longer than they wait for it, and comes back."""
    others = [other for other in world.controllers if other != name]
    world.cut(ones=[name], others=others)
    world.advance(for_ms=world.rng.randrange(500, 8_000))
    world.heal()


def in_succession(*, world: PlatformWorld, losses: list[Loss]) -> None:
    """Each loss takes the machine whose disk has lasted longest, at the shortest spacing that is allowed."""
    world.advance(for_ms=800)
    version = 10
    oldest = list(world.controllers)
    for loss in losses:
        name = oldest.pop(0)
        loss(world, name)
        # why: counted from the return of what was lost, or from the new machine's start
        since_us = world.now_us
        world.await_that(
            test=lambda: all_vote(world=world),
            within_ms=CATCH_UP_US // 1_000,
            what=f"all voters are there after {loss.__name__}",
        )
        world.entered_us.append(world.now_us - since_us)
        world.advance(for_ms=(CATCH_UP_US - (world.now_us - since_us)) // 1_000)
        oldest = [each for each in oldest if each in world.controllers]
        oldest += [each for each in world.controllers if each not in oldest]
        version += 1
        acknowledged(world=world, version=version)
    back(world=world)
    world.advance(for_ms=2_000)


def replaced_then_wiped(world: PlatformWorld) -> None:
    in_succession(world=world, losses=[lose, wipe])


def replaced_thrice(world: PlatformWorld) -> None:
    in_succession(world=world, losses=[leave, lose, lose])


def wiped_thrice(world: PlatformWorld) -> None:
    in_succession(world=world, losses=[wipe, wipe, wipe])


def returned_then_lost(world: PlatformWorld) -> None:
    """The place of a machine that is cut off is taken; it comes back, and the others are lost one by one."""
    world.add_controller(name="guildhall-9", zone=world.zones["guildhall-0"])
    world.advance(for_ms=CATCH_UP_US // 1_000)
    in_succession(world=world, losses=[cut_off, wipe, lose])


def drawn_at_random(world: PlatformWorld) -> None:
    ways = [lose, leave, wipe, cut_off]
    in_succession(world=world, losses=[world.rng.choice(ways) for _ in range(4)])
