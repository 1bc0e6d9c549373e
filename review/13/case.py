"""A task runs on two executors at once: an order that an executor carries out late meets its next life."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standin3"))
import standin

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
# The order is carried out this long after it was sent; the pages allow 2 to 12 s.
LATE_S = 6.0
DOWN_S = 1.0


async def scenario(platform, with_trouble):
    late = {}

    async def carry_out(executor, call, at):
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        if not executor.is_up:
            platform.record(f"executor {executor.id} is down; the order is lost")
            return
        if call.get("fencing-token", 0) < executor.fence:
            platform.record(f"late order on {executor.id}: refused (fence)")
            return
        executor.fence = call["fencing-token"]
        answer = executor.start_run(call)
        platform.record(f"late order on {executor.id}: {answer}")

    async def on_start_call(executor, call):
        if with_trouble and not late:
            late.update(executor=executor, call=call, sent=time.monotonic())
            platform.record(f"executor {executor.id} leaves the order to start {call['task']} run {call['run']} "
                            f"unanswered, and will carry it out after {LATE_S} s")
            late["task"] = asyncio.create_task(carry_out(executor, call, late["sent"] + LATE_S))
            return None
        return executor.start_run(call)

    platform.on_start_call = on_start_call
    await platform.start([standin.route()])
    await platform.ready()
    await platform.submit(JOB, [{"count": 1, "cpu": 1000, "mem-mb": 512, "estimate-ms": 9000}], {"ms": 9000})
    if with_trouble:
        await platform.until(lambda: late, 10, "order")
        await platform.until(lambda: platform.starts, 12, "start on another executor")
        await asyncio.sleep(max(0.0, late["sent"] + LATE_S - DOWN_S - 0.1 - time.monotonic()))
        late["executor"].crash()
        await asyncio.sleep(DOWN_S)
        await late["executor"].start(keep_id=True)
    most = 0
    broken = None

    async def completed():
        return await platform.state(JOB) == "completed"

    end = time.monotonic() + 40
    while time.monotonic() < end:
        runs = [(e.id, run.number) for e in platform.executors if e.is_up
                for run in e.active.values() if run.task == TASK]
        if len(runs) > most:
            most = len(runs)
            platform.record(f"at work on the task: {runs}")
        if len(runs) > 1 and broken is None:
            broken = f"TWICE: two runs of {TASK} at the same time, on executors that are up: {runs}"
        if await completed():
            break
        await asyncio.sleep(0.03)
    else:
        raise standin.CannotRun("the job has not ended")
    return broken


standin.main(__file__, scenario)
