"""One accepted job that can never be done ends each holder of the scheduler's role."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from world import BOUNDS, Minion, World, now_ms, play

SERVICE = "theke"
MINIONS = 8
CPU = 4000
MEMORY_MB = 300
JOBS_BEFORE, JOBS_AFTER = 20, 10
HOPELESS = "00000000000000ff"


async def case(world: World, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    for number in range(MINIONS):
        labels = ("a", f"r1-{number // 4}")
        world.minions.append(Minion(world, number, SERVICE, labels, CPU))
    await world.start()
    for entry in world.entries:
        world.record.add("memory", entry=entry.name, used_mb=round(entry.memory_mb))
        world.spawn(world.limit_memory(entry, MEMORY_MB))
    jobs = [f"{number:016x}" for number in range(1, 1 + JOBS_BEFORE + JOBS_AFTER)]
    small = {
        "spec": '{"ms": 500}',
        "steps": [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 500}],
    }
    for job in jobs[:JOBS_BEFORE]:
        await hand_in(world, job, small)
    if has_trouble:
        step = {"count": 10_000, "cpu": 500, "mem_mb": 100, "requires": "none"}
        hopeless = {"spec": '{"ms": 500}', "steps": [step] * 400}
        await hand_in(world, HOPELESS, hopeless)
    for job in jobs[JOBS_BEFORE:]:
        await hand_in(world, job, small)
    handed_in_ms = now_ms()
    deadline_ms = handed_in_ms + (BOUNDS["finish_s"] + 16) * 1000.0
    while now_ms() < deadline_ms:
        await asyncio.sleep(1.0)
        if now_ms() - handed_in_ms > 3000.0 and len(completed(world)) == len(jobs):
            break
    unfinished = sorted(set(jobs) - completed(world))
    states = {job: await world.state(job, SERVICE) for job in unfinished}
    world.record.add(
        "end", unfinished=states, kills_for_memory=world.memory_kills, jobs=len(jobs)
    )
    return not unfinished or not is_idle(world)


def is_idle(world: World) -> bool:
    """Return whether the minions have run nothing for the last 3 s."""
    if any(minion.runs for minion in world.minions):
        return False
    return all(now_ms() - at_ms > 3000.0 for at_ms, _, _ in world.overs)


async def hand_in(world: World, job: str, body: dict) -> None:
    """Hand a job in, at any entry that accepts it."""
    world.jobs[job] = body
    until_ms = now_ms() + 20_000.0
    while now_ms() < until_ms:
        for entry in world.entries:
            status, _ = await world.call_entry(entry, "POST", f"/{SERVICE}/{job}", body)
            if status == 200:
                await asyncio.sleep(0.2)
                return
        await asyncio.sleep(0.3)
    raise TimeoutError("a job was not accepted")


def completed(world: World) -> set[str]:
    """Return the jobs whose only subtask has ended ``done``."""
    return {task.split(".")[0] for _, task, how in world.overs if how == "done"}


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
