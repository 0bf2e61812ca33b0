"""A gang that is started again gets a different checkpoint for each member."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from world import BOUNDS, Minion, World, minion_of, now_ms, play, subtasks_running

SERVICE = "theke"
MINIONS = 8
CPU = 4000
MEMBERS = 4
GANG = "00000000000000c3"
DOWN_S = 4.5


async def case(world: World, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    for number in range(MINIONS):
        labels = ("a", f"r1-{number // 4}")
        world.minions.append(Minion(world, number, SERVICE, labels, CPU))
    await world.start()
    gang = {
        "spec": f'{{"ms": 9000, "gang": {MEMBERS}, "saves": true}}',
        "steps": [
            {
                "count": MEMBERS,
                "cpu": CPU,
                "mem_mb": 100,
                "estimate_ms": 9000,
                "gang": True,
                "saves_progress": True,
            }
        ],
    }
    await world.submit(world.entries[0], GANG, SERVICE, gang)

    async def all_run() -> bool:
        return len(subtasks_running(world, GANG)) == MEMBERS

    await world.wait_for("the gang works", all_run, 10.0)
    calm_ms = now_ms()
    if has_trouble:
        victim = await crash_before_it_tells(world)
        await asyncio.sleep(DOWN_S)
        await victim.boot()
        calm_ms = now_ms() + BOUNDS["contact_ms"]
    deadline_ms = now_ms() + 45_000.0

    async def is_settled() -> bool:
        if await world.state(GANG, SERVICE) == "completed":
            return True
        await asyncio.sleep(0.5)
        return now_ms() >= deadline_ms

    await world.wait_for("the end", is_settled, 60.0)
    state = await world.state(GANG, SERVICE)
    alone = [at for at, _, how in world.overs if how == "alone" and at > calm_ms]
    world.record.add("gang-job", state=state, alone_ends_in_calm=len(alone))
    return state == "completed" and not alone


async def crash_before_it_tells(world: World) -> Minion:
    """Crash a minion with a checkpoint that no list of its runs has shown yet."""
    while True:
        await asyncio.sleep(0.01)
        for task in subtasks_running(world, GANG):
            minion = minion_of(world, task)
            run = minion.runs[task]
            if run.saved != run.told:
                world.record.add("untold", task=task, saved=run.saved, told=run.told)
                await minion.crash()
                return minion


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
