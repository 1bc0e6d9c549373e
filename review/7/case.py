"""A version removes a route, and puts another in the place of a second one, while jobs that they accepted have steps to run."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin2"))
import check
from rig import TROUBLE, CannotRun, main, route

GONE, RENAMED, OTHER = "5c0e7a21d94b36f8", "77aa0b1c2d3e4f50", "0b1c2d3e4f506172"
STEPS = [{"count": 4, "cpu": 2000, "mem-mb": 500, "estimate-ms": 3000},
         {"count": 4, "cpu": 2000, "mem-mb": 500, "estimate-ms": 3000, "after": [0]}]


async def play(rig):
    plan, depot, swap = route("plan", "/lohu930/"), route("depot", "/tivo417/"), route("swap", "/kago951/")
    routes = {GONE: plan, RENAMED: depot}
    await rig.start(3, 12, [swap, plan, depot])
    for job, queue in routes.items():
        if await rig.submit(rig.nodes[0], queue, job, "3000", STEPS) != 200:
            raise CannotRun("the job was not accepted")
    await asyncio.sleep(1)
    if any(check.at_work(rig, job) != 4 for job in routes):
        raise CannotRun("the first steps have not begun")
    if TROUBLE:
        # One version. It removes the routes `plan` and `depot`, and adds `depot-2` with the host and prefix of `depot`.
        rig.configure([swap, route("depot-2", "/tivo417/")])
    # The traffic has ended: from `finish_s` on the rule holds.
    await asyncio.sleep(check.FINISH_S)
    turn = lambda job: check.done(rig, job, 0) == 4 and check.done(rig, job, 1) < 4
    idle = await asyncio.gather(*(check.longest_idle(rig, job, 4, 6.0, lambda job=job: turn(job)) for job in routes))
    states = [[await rig.state(node, queue, job) for node in rig.nodes] for job, queue in routes.items()]
    # The system works on: a job of the route that stays is run.
    if await rig.submit(rig.nodes[1], swap, OTHER, "500", STEPS[:1]) != 200:
        raise CannotRun("the job on the other route was not accepted")
    await asyncio.sleep(4)
    if check.done(rig, OTHER, 0) != 4:
        raise CannotRun("the job on the other route was not run")
    breaches = []
    for job, seconds, answers in zip(routes, idle, states):
        done = [check.done(rig, job, step) for step in (0, 1)]
        rig.record.line(f"{job}: tasks done in the two steps: {done}; longest time with nothing running from finish_s on: "
                        f"{seconds:.1f} s; room for {check.room_for(rig, 2000, 500)} such tasks; GET answers {answers}")
        if seconds >= check.IDLE_S:
            breaches.append(f"LOST: {job}, route {routes[job]['name']}: {seconds:.1f} s with nothing running, "
                            f"{check.FINISH_S:.0f} s after the end of the traffic; done: {done}; GET answers {answers}")
        elif done != [4, 4]:
            raise CannotRun("neither idle nor done")
    return breaches


main(HERE, play)
