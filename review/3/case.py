"""A job whose minion crashes several times is shown as failed."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from world import Minion, World, now_ms, play, subtasks_running

SERVICE = "theke"
MINIONS = 8
CPU = 4000
JOB = "00000000000000d4"
CRASHES = 6
DOWN_S = 2.0
UP_S = 2.0


async def case(world: World, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    for number in range(MINIONS):
        labels = ("b" if number == 0 else "a", f"r1-{number // 4}")
        world.minions.append(Minion(world, number, SERVICE, labels, CPU))
    await world.start()
    job = {
        "spec": '{"ms": 5000}',
        "steps": [
            {
                "count": 1,
                "cpu": CPU,
                "mem_mb": 100,
                "estimate_ms": 5000,
                "requires": "b",
            }
        ],
    }
    await world.submit(world.entries[0], JOB, SERVICE, job)

    async def runs() -> bool:
        return bool(subtasks_running(world, JOB))

    await world.wait_for("the subtask runs", runs, 10.0)
    for _ in range(CRASHES if has_trouble else 0):
        await asyncio.sleep(UP_S)
        await world.minions[0].crash()
        await asyncio.sleep(DOWN_S)
        await world.minions[0].boot()
    deadline_ms = now_ms() + 30_000.0

    async def is_settled() -> bool:
        if await world.state(JOB, SERVICE) in ("completed", "failed"):
            return True
        await asyncio.sleep(0.2)
        return now_ms() >= deadline_ms

    await world.wait_for("the end", is_settled, 40.0)
    state = await world.state(JOB, SERVICE)
    failed_ends = [how for _, _, how in world.overs if how == "failed"]
    world.record.add("job", state=state, ends_failed=len(failed_ends))
    return state == "completed"


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
