"""A leaving replica is forgotten when all processes of the core are killed at once, although it serves on."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins"))
from deployment import DRAIN_S, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# a killed process is started again after a short delay (DEPLOY, 'Ends')
RESTART_S = 0.5
PRIMARY_CUT_S = 5.0


async def case(deployment):
    record = deployment.record
    primary, _, leaving = deployment.service.backends
    deployment.begin_clients(count=12, pause_s=0.1)
    await asyncio.sleep(4)
    if not deployment.successes():
        raise OSError("no write was served before the case began")
    await deployment.leave(leaving)
    await asyncio.sleep(0.3)
    if TROUBLE:
        await deployment.kill_and_restart(deployment.controllers, after_s=RESTART_S)
    # the controllers are back, hold their leases again, and have had heartbeats of all servers that send some
    await asyncio.sleep(4)
    if TROUBLE:
        record(f"{primary.name}, the primary, is cut off from the core and from control, not from the fronts")
        primary.cut_off({"controller"})
    await asyncio.sleep(PRIMARY_CUT_S)
    if TROUBLE:
        primary.cut_off(())
        record(f"{primary.name} is in touch again")
    await asyncio.sleep(DRAIN_S)
    lost = len(deployment.service.lost)
    return f"LOST: the promoted server's log is missing {lost} acknowledged commits" if lost else None


run(case)
