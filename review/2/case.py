"""An executor crashes, sends nothing, and starts again soon under its id; the tasks that it gets then run twice."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from standin import job, main, now

DOWN_S = 0.5
JOBS_PER_S = 6


async def case(world, trouble):
    await world.start(nodes=3, workers=12)
    await world.wait_owner()
    await asyncio.sleep(1)

    async def submit():
        number = 0
        while True:
            number += 1
            ident = "%016x" % (0x6C0E7A21D94B0000 + number)
            asyncio.ensure_future(world.call("n%d" % (number % 3), "POST", ident, job(1.5, count=4, cpu=500)))
            await asyncio.sleep(1 / JOBS_PER_S)

    clients = asyncio.ensure_future(submit())
    await asyncio.sleep(4)
    end = now() + 85
    while now() < end and not world.problems:
        # The executor on which tasks are being started: the scheduler fills one after the other.
        worker = max(world.workers.values(), key=lambda w: w.last_start)
        if trouble:
            worker.crash(silent=True)
            await asyncio.sleep(DOWN_S)
            worker.born_now()
            world.log("executor %s starts again" % worker.id)
        await asyncio.sleep(6)
    clients.cancel()


main(HERE, case)
