"""A minion is lost for good; half of a lasting job never runs again."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import scenario  # noqa: E402
from jobs import Step  # noqa: E402
from world import World  # noqa: E402

MINIONS = 7
ENTRIES = 2
KIND = "b"  # the first two minions are of this kind
SUBTASKS = 4
AFTER_LAST_RUN_S = 6.0  # RULES.md, LOST
IDLE_S = 3.0  # RULES.md, LOST
CALM_S = 4.0  # RULES.md, LOST
SAMPLE_S = 0.1


async def run_case(world: World) -> None:
    """Submit a lasting job; lose a minion for good, or not."""
    await world.configure(
        [{"name": "ledger", "host": "a.example", "prefix": "/l/", "service": "s"}],
        [{"name": "s"}],
    )
    for number in range(MINIONS):
        kind = "a" if number > 1 else KIND
        await world.add_minion("s", labels=[kind, f"r1-{number // 4}"])
    await scenario.start_entries(world, ENTRIES)
    fields = {"count": SUBTASKS, "cpu": 1000, "mem_mb": 1000, "requires": KIND}
    job = world.new_job("ledger", [Step(fields | {"long_running": True})])
    if not await world.submit(job):
        raise scenario.CannotRun("the job was not accepted")
    await asyncio.sleep(3.0)
    if not all(world.ledger.runs_of(task) for task in job.task_names()):
        raise scenario.CannotRun("the job did not start as a whole")
    lost, left = list(world.minions.values())[:2]
    if scenario.has_trouble():
        await world.crash(lost, None)
    await asyncio.sleep(max(AFTER_LAST_RUN_S, CALM_S))
    idle = set(job.task_names())
    room_s = 0.0
    until_s = world.record.now_s() + IDLE_S + 4.0
    while world.record.now_s() < until_s:
        await asyncio.sleep(SAMPLE_S)
        idle -= {task for task in idle if world.ledger.runs_of(task)}
        free_cpu, free_mem_mb, _ = left.free()
        has_room = free_cpu >= 2 * 1000 and free_mem_mb >= 2 * 1000
        is_half_free = 2 * free_cpu > left.capacity[0]
        room_s = room_s + SAMPLE_S if has_room and is_half_free else 0.0
    await world.send("GET", job)
    world.record.write("end of watch", room_s=round(room_s, 1), on=left.name)
    if room_s < IDLE_S:
        raise scenario.CannotRun("there was no room for the subtasks")
    for task in sorted(idle):
        world.record.violation(
            f"LOST: {task} has nothing running from {AFTER_LAST_RUN_S:.0f} s after its "
            f"last run on, for over {IDLE_S:.0f} s, while {left.name} has room for "
            "it twice over"
        )


scenario.run(FOLDER, run_case)
