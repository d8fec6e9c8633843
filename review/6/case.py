"""RECOVER: a primary that steps down as planned is lost for good before it leads again: its service never gets another.

A primary is replaced as planned: its replacement starts, then it says `emptying`. It is cut off from its replicas for five
seconds meanwhile, and lost for good in them. All acknowledged commits are in the log of a replica. Then comes the closing
fault: all processes are killed. With TROUBLE=0 nothing is cut off, and the primary ends as planned.
"""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins_2"))

from world import BOUNDS, CannotRun, Session, run  # noqa: E402

CUT_S = 5.0
DOWN_S = 1.2
JUDGED_S = 28.0


async def use(world, *, number, requests, stop):
    """A client with long sessions that reads and writes on a `primary` route; another session after a close."""
    session = Session(world=world, who=f"client-{number}")
    while not stop.is_set():
        sent, served = world.record.now(), False
        if session.is_open or await session.open(address=world.front(), database="trades"):
            writes = random.random() < 0.35
            text = b"PUT k%d %08x" if writes else b"FETCH k%d"
            values = (random.randrange(200), random.getrandbits(32))
            ident, answer = await session.ask(text=text % (values if writes else values[:1]))
            served = not answer.lost and not answer.code
            if writes and served:
                world.acked[ident] = world.record.now()
        requests.append((sent, served))
        await asyncio.sleep(random.uniform(0.05, 0.15))


async def play(world, trouble):
    service = world.add_service(name="huvo11a", databases={"trades": ("primary", 0)})
    await world.begin()
    requests, stop = [], asyncio.Event()
    for number in range(12):
        world.spawn(use(world, number=number, requests=requests, stop=stop))

    def share(since, until):
        found = [served for sent, served in requests if since <= sent < until]
        return (sum(found) / len(found) if found else 0.0), len(found)

    await asyncio.sleep(5.0)
    primary = service.leader()
    fresh = world.new_backend(service=service, zone=primary.zone)
    await fresh.start()
    await asyncio.sleep(3.0)
    replicas = [each for each in service.backends.values() if each is not primary]
    began = world.record.now()
    leaving = world.spawn(primary.leave())
    if trouble:
        world.record.say("the primary is cut off from its replicas")
        for each in replicas:
            each.receives = False
        await world.until(lambda: world.promotions, within_s=CUT_S, what="a promotion is requested")
        await asyncio.sleep(0.3)
        leaving.cancel()
        primary.crash()
        has = [each.name for each in replicas if {id(world.entries[i]) for i in world.acked} <= set(map(id, each.log))]
        world.record.say("every acknowledged commit is in the logs of", ", ".join(has) or "none")
    await asyncio.sleep(max(0.0, began + CUT_S - world.record.now()))
    for each in replicas:
        each.receives = True
    await asyncio.sleep(2.0)
    await world.configure()
    closing = world.record.now()
    before = share(0.0, closing)
    world.record.say("the closing fault: all processes are killed; served before: %.2f of %d" % before)
    for name in [*world.controllers, *world.proxies]:
        world.signal(name, signal.SIGKILL)
        world.children[name].wait()
    await asyncio.sleep(DOWN_S)
    for name in [*world.controllers, *world.proxies]:
        world.start_process(name)
    back = world.record.now()
    await asyncio.sleep(BOUNDS["recovery_s"] + JUDGED_S)
    after = share(back + BOUNDS["recovery_s"], back + BOUNDS["recovery_s"] + JUDGED_S - 2.0)
    world.record.say("served of those sent more than recovery_s after the machines are back: %.2f of %d" % after)
    for second in range(0, int(BOUNDS["recovery_s"] + JUDGED_S), 8):
        world.record.say(f"{second} to {second + 8} s after: served %.2f of %d" % share(back + second, back + second + 8))
    stop.set()
    await asyncio.sleep(1.0)
    if before[0] < 0.25 or after[1] < 20:
        raise CannotRun("too little was served or asked")
    if after[0] < 0.25:
        return [f"{after[0]:.2f} of {after[1]} requests are served after the closing fault, {before[0]:.2f} before"]
    return []


run(folder=Path(__file__).resolve().parent, play=play)
