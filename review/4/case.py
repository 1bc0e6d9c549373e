"""One wide job is accepted; its progress row outgrows the store's row limit, and all other jobs stand still."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from standin import job, main, now

TASKS = 2000
FINISH_S = 14


async def case(world, trouble):
    await world.start(nodes=3, workers=24)
    await world.wait_owner()
    await asyncio.sleep(2)
    small = ["%016x" % (0x6C0E7A21D94B0000 + number) for number in range(20)]
    if trouble:
        wide = job(8.0, count=TASKS, cpu=100, checkpointing=True)
        wide["steps"].append(dict(wide["steps"][0]))
        status, _ = await world.call("n0", "POST", "5c0e7a21d94b36f8", wide)
        assert status == 200, "the wide job was not accepted"
        await asyncio.sleep(5)
    for number, ident in enumerate(small):
        status, _ = await world.call("n%d" % (number % 3), "POST", ident, job(0.5))
        assert status == 200, "a small job was not accepted"
    await asyncio.sleep(FINISH_S + 20)
    states = {}
    for ident in small:
        _, answer = await world.call("n1", "GET", ident)
        states.setdefault(answer.get("state", "no answer"), []).append(ident)
    world.log("free executors: %d of %d run nothing" % (
        sum(not w.runs for w in world.workers.values()), len(world.workers)))
    for state, idents in states.items():
        if state != "completed":
            world.problem("LOST: %d of %d accepted jobs of one 0.5 s task are `%s` %d s after they were handed in, "
                          "with free executors" % (len(idents), len(small), state, FINISH_S + 20))


main(HERE, case)
