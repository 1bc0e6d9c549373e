"""A zone with the owner of the shard is cut off. The successor starts the owner's tasks again while they still run.

All traffic between the zone and the rest, the store among it, is cut. The owner still reaches the executors of its own
zone, and renews their leases until its ownership lease has ended.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from standin import job, main, now

CUT_S = 15
# Time from a heartbeat of the owner to the cut; heartbeats follow each other after 0.7 s. CUT_AFTER=random takes any.
CUT_AFTER_S = 0.66


async def case(world, trouble):
    await world.start(nodes=3, workers=12, rate=0.98)  # the executors' clocks may be 2% slow
    owner = (await world.wait_owner()).removeprefix("edge-")
    others = [node for node in world.nodes if node != owner]
    await asyncio.sleep(1)
    serving = job(90.0, cpu=14000, **{"long-running": True, "target-ms": 50, "image": "a"})
    filling = job(80.0, cpu=500, fills=True, image="b")
    for number in range(12):
        await world.call(others[number % 2], "POST", "%016x" % (0x5C0E7A21D94B0000 + number), serving)
    await asyncio.sleep(2)
    for number in range(36):
        await world.call(others[number % 2], "POST", "%016x" % (0x7C0E7A21D94B0000 + number), filling)
    await asyncio.sleep(1)

    async def submit():
        number = 0
        while True:
            number += 1
            ident = "%016x" % (0x6C0E7A21D94B0000 + number)
            asyncio.ensure_future(world.call(others[number % 2], "POST", ident, job(0.5, cpu=10)))
            await asyncio.sleep(0.03)

    clients = asyncio.ensure_future(submit())
    await asyncio.sleep(3)
    if trouble:
        beat = world.heartbeat()
        while world.heartbeat() == beat:
            await asyncio.sleep(0.005)
        if os.environ.get("CUT_AFTER") == "random":
            await asyncio.sleep(now() % 0.7)
        else:
            await asyncio.sleep(CUT_AFTER_S)
        world.cut_zone(world.nodes[owner].zone)
    await asyncio.sleep(CUT_S)
    clients.cancel()


main(HERE, case)
