"""A subtask runs twice after a minion has lost power for a second."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from world import KEEP_ALIVE_S, Minion, World, now_ms, play, subtasks_running

SERVICE = "theke"
MINIONS = 8
CPU = 4000
FIRST, SECOND = "00000000000000a1", "00000000000000b2"
COUNT = 4
DARK_S = 1.0
FIRST_REPORT_S = 0.5  # a minion writes a status report about every 1.5 s


async def case(world: World, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    for number in range(MINIONS):
        labels = ("a", f"r1-{number // 4}")
        world.minions.append(Minion(world, number, SERVICE, labels, CPU))
    await world.start()
    caller = world.entries[0]
    await world.submit(caller, FIRST, SERVICE, job_of(300))
    # The pool is idle for a while, and the minions close idle connections.
    await asyncio.sleep(KEEP_ALIVE_S + 1.0)
    victim = next(minion for minion in world.minions if minion.end_count)
    await victim.next_hold()
    if has_trouble:
        await victim.go_dark()
        await asyncio.sleep(DARK_S)
        await victim.boot(FIRST_REPORT_S)
    await world.submit(caller, SECOND, SERVICE, job_of(3000))
    began_ms = now_ms()
    twice: dict[str, float] = {}
    while now_ms() - began_ms < 12_000.0:
        await asyncio.sleep(0.005)
        running = subtasks_running(world, SECOND)
        for task in set(running):
            if running.count(task) > 1:
                twice[task] = twice.get(task, 0) + 5
    state = await world.state(SECOND, SERVICE)
    world.record.add("second-job", state=state, side_by_side_ms=twice)
    return not twice


def job_of(run_ms: int) -> dict:
    """Return a job whose subtasks each fill a minion."""
    step = {"count": COUNT, "cpu": CPU, "mem_mb": 100, "estimate_ms": run_ms}
    return {"spec": f'{{"ms": {run_ms}}}', "steps": [step]}


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
