"""Dependency injection of a real process's context."""

import logging
import random
import time

from dependency_injector import containers, providers

from ..runtime.context import Context
from ..runtime.counters import Counters
from ..runtime.no_disk import NoDisk
from ..runtime.real_disk import RealDisk
from ..runtime.real_net import RealNet


def monotonic_us() -> int:
    """Returns the monotonic time in microseconds."""
    return time.monotonic_ns() // 1_000


def calendar_us() -> int:
    """Returns the calendar time in microseconds since 1970."""
    return time.time_ns() // 1_000


class Container(containers.DeclarativeContainer):
    """Provides a context with the real clocks, randomness, network and disk; the simulator builds its own."""

    config = providers.Configuration()
    counters = providers.Singleton(Counters)
    rng = providers.Singleton(random.SystemRandom)
    net = providers.Singleton(RealNet, counters=counters)
    disk = providers.Selector(
        config.disk_kind,
        real=providers.Singleton(RealDisk, folder=config.folder),
        none=providers.Singleton(NoDisk),
    )
    log = providers.Singleton(logging.getLogger, config.name)
    context = providers.Singleton(
        Context,
        name=config.name,
        site=config.site,
        rng=rng,
        clock=providers.Object(monotonic_us),
        wall=providers.Object(calendar_us),
        net=net,
        disk=disk,
        log=log,
        counters=counters,
    )
