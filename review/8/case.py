"""One executor begins to fail all that it starts while a gang is being placed on it."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin2"))
import check
from rig import TROUBLE, CannotRun, main, route

MARKER, JOB = "0a0a0a0a0a0a0a01", "5c0e7a21d94b36f8"
MEMBERS, ATTEMPTS = 4, 3


async def play(rig):
    plan = route("plan", "/lohu930/", attempts=ATTEMPTS)
    await rig.start(3, 12, [plan])
    # One small task shows which executor the system fills first.
    marker = {"count": 1, "cpu": 1000, "mem-mb": 500, "estimate-ms": 60000}
    if await rig.submit(rig.nodes[0], plan, MARKER, "60000", [marker]) != 200:
        raise CannotRun("the marker was not accepted")
    await asyncio.sleep(3)
    chosen = next((e for e in rig.executors for t in e.active.values() if t.name.startswith(MARKER)), None)
    if chosen is None:
        raise CannotRun("the marker has not begun")
    if TROUBLE:
        # 1 of 12 executors is 0.083, the largest share is 0.085. Tasks that run already are left alone.
        chosen.grey_since = rig.record.seconds()
        rig.record.line(f"{chosen.name}: fails all that it starts from now on, for 6.5 s at most")
        asyncio.get_running_loop().call_later(6.5, setattr, chosen, "grey_since", None)
    rig.gangs[(JOB, "0")] = MEMBERS
    step = {"count": MEMBERS, "cpu": 1000, "mem-mb": 500, "estimate-ms": 1000, "gang": True}
    if await rig.submit(rig.nodes[0], plan, JOB, "1000", [step]) != 200:
        raise CannotRun("the gang was not accepted")
    states = []
    for _ in range(100):
        await asyncio.sleep(0.2)
        states = [await rig.state(node, plan, JOB) for node in rig.nodes]
        if all(state in ("completed", "failed") for _, state in states):
            break
    failed = check.failed_runs(rig, JOB)
    rig.record.line(f"runs of the gang that ended `failed`: {failed}, attempts: {ATTEMPTS}")
    if TROUBLE and not failed:
        raise CannotRun("the gang was not placed on the disrupted executor")
    if any(state == "failed" for _, state in states) and len(failed) < ATTEMPTS:
        return [f"LOST: shown as {states} though the gang has failed {len(failed)} times (run {failed}), attempts {ATTEMPTS}"]
    if any(state != "completed" for _, state in states):
        raise CannotRun(f"neither failed nor completed: {states}")
    return []


main(HERE, play)
