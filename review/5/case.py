"""LOST: a replica that has just started confirms commits; the primary crashes before its first beat is heard.

A primary is cut off from its replicas for five seconds. The replacement of one of them starts as planned, and its first
beat comes three seconds late. The primary crashes meanwhile. With TROUBLE=0 only the replacement starts, with beats in time.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins_2"))

from world import PROMOTE_S, Session, run  # noqa: E402

CUT_S, LATE_BEAT_S, ALONE_S, CRASH_S = 5.0, 3.0, 1.0, 7.0


async def write(world, *, number, stop):
    """A client with a long session that writes; it opens another one after a close, and repeats no write."""
    session = Session(world=world, who=f"client-{number}")
    while not stop.is_set():
        if not session.is_open and not await session.open(address=world.front(), database="trades"):
            await asyncio.sleep(0.1)
            continue
        ident, answer = await session.ask(text=b"PUT k%d %08x" % (random.randrange(200), random.getrandbits(32)))
        if not answer.lost and not answer.code:
            world.acked[ident] = world.record.now()
        await asyncio.sleep(random.uniform(0.04, 0.12))


async def play(world, trouble):
    service = world.add_service(name="huvo11a", databases={"trades": ("primary", 0)})
    breaks = []

    def promoted(backend):
        has = {id(entry) for entry in backend.log}
        lacks = [ident for ident in world.acked if id(world.entries[ident]) not in has]
        breaks.extend(
            f"{backend.name} is promoted without commit {world.entries[i].term}.{world.entries[i].number} "
            f"({i.decode()}), acknowledged at {world.acked[i]:.3f} s"
            for i in lacks
        )

    service.on_promoted.append(promoted)
    await world.begin()
    stop = asyncio.Event()
    for number in range(12):
        world.spawn(write(world, number=number, stop=stop))
    await world.until(lambda: len(world.acked) > 50, within_s=10, what="writes are acknowledged")
    primary = service.leader()
    others = [each for each in service.backends.values() if each is not primary]
    cut = world.record.now()
    if trouble:
        world.record.say("the primary is cut off from its replicas")
        for each in others:
            each.receives = False
        await asyncio.sleep(0.5)
    world.record.say("the replacement of a replica starts", "and its first beat comes late" if trouble else "")
    fresh = world.new_backend(service=service, zone=others[0].zone)
    fresh.beats = not trouble
    await fresh.start()
    await world.until(lambda: len(fresh.log) == len(primary.log), within_s=3, what="the replacement has the log")
    await asyncio.sleep(ALONE_S)
    if trouble:
        asyncio.get_running_loop().call_later(LATE_BEAT_S - ALONE_S, setattr, fresh, "beats", True)
        primary.crash()
        asyncio.get_running_loop().call_later(CRASH_S, lambda: world.spawn(primary.start()))
        await asyncio.sleep(cut + CUT_S - world.record.now())
        for each in others:
            each.receives = True
        world.record.say("the cut has ended")
        await asyncio.sleep(4.0)
    await asyncio.sleep(6.0)
    stop.set()
    await asyncio.sleep(2 * PROMOTE_S)
    world.record.say(len(world.acked), "writes acknowledged,", len(world.promotions), "calls for a promotion")
    return breaks


run(folder=Path(__file__).resolve().parent, play=play)
