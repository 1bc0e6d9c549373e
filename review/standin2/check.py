"""Checks of RULES.md that the cases share, on what the executors of the rig see."""

import asyncio

FINISH_S = 14.0  # `finish_s`
IDLE_S = 3.0  # LOST: "for 3 s, a job has nothing running"


def at_work(rig, job):
    return sum(1 for e in rig.executors if e.up for t in e.active.values() if t.name.split(".")[0] == job)


def room_for(rig, cpu, mem):
    """How many more tasks of that size the executors that are up have room for."""
    total = 0
    for e in rig.executors:
        if e.up:
            used_cpu = sum(rig.sizes[t.name.split(".")[0]][0] for t in e.active.values())
            used_mem = sum(rig.sizes[t.name.split(".")[0]][1] for t in e.active.values())
            total += max(0, min((e.cpu - used_cpu) // cpu, (e.mem - used_mem) // mem))
    return total


def share_in_use(rig):
    cpu = sum(e.cpu for e in rig.executors if e.up)
    return sum(rig.sizes[t.name.split(".")[0]][0] for e in rig.executors if e.up for t in e.active.values()) / cpu


async def longest_idle(rig, job, count, seconds, turn=lambda: True):
    """Longest time on end, within the next `seconds`, in which the job has nothing running while its tasks' turn has come,
    there is room for them twice over, and under half of the capacity is in use. Ends early once the job is done."""
    cpu, mem = rig.sizes[job]
    longest, since = 0.0, None
    until = rig.record.seconds() + seconds
    while (now := rig.record.seconds()) < until:
        idle = (turn() and at_work(rig, job) == 0 and room_for(rig, cpu, mem) >= 2 * count and share_in_use(rig) < 0.5)
        if not idle:
            since = None
        else:
            since = now if since is None else since
            longest = max(longest, now - since)
        await asyncio.sleep(0.05)
    return longest


def done(rig, job, step):
    """Number of the step's tasks that have ended `done`."""
    return len({name for name, _, _, _, _, how in rig.runs
                if how == "done" and name.split(".")[0] == job and name.split(".")[2] == str(step)})


def failed_runs(rig, job):
    return sorted({run for name, run, _, _, _, how in rig.runs if how == "failed" and name.split(".")[0] == job})
