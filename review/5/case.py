"""Jobs whose starts were lost with a dark rack are not counted as waiting."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from world import BOUNDS, Minion, World, now_ms, play

SERVICE = "theke"
MINIONS = 6
MINIONS_PER_RACK = 4
CPU = 4000
JOBS = [f"{number:016x}" for number in range(0xF1, 0xF1 + MINIONS)]
RACK = "r1-0"
DARK_S = 7.0
READ_AGE_MS = 2000  # a count may be that old


async def case(world: World, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    for number in range(MINIONS):
        labels = ("a", f"r1-{number // MINIONS_PER_RACK}")
        world.minions.append(Minion(world, number, SERVICE, labels, CPU))
    await world.start()
    caller = world.entries[0]
    rack = [minion for minion in world.minions if minion.labels[1] == RACK]
    if has_trouble:
        for minion in rack:
            await minion.go_dark()
    until_ms = now_ms() + DARK_S * 1000.0
    job = {
        "spec": '{"ms": 20000}',
        "steps": [{"count": 1, "cpu": CPU, "mem_mb": 100, "estimate_ms": 20000}],
    }
    accepted: dict[str, float] = {}
    for name in JOBS:
        accepted[name] = await world.submit(caller, name, SERVICE, job)
    is_kept = True
    while now_ms() < until_ms:
        limit_ms = now_ms() - BOUNDS["visible_ms"] - READ_AGE_MS
        status, answer = await world.call_entry(caller, "GET", f"/{SERVICE}/")
        due = [
            name
            for name, at_ms in accepted.items()
            if at_ms < limit_ms and not has_begun(world, name)
        ]
        world.record.add("count", waiting_long=len(due), told=answer.get("waiting"))
        if status == 200 and answer["waiting"] < len(due) / 2:
            is_kept = False
        await asyncio.sleep(0.25)
    if has_trouble:
        for minion in rack:
            await minion.boot()
    return is_kept


def has_begun(world: World, job: str) -> bool:
    """Return whether a minion has started a subtask of a job."""
    return any(task.startswith(job + ".") for _, task, _, _ in world.starts)


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
