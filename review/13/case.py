"""Open channels go silent in a quiet hour; all lasting subtasks lose their leases."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import scenario  # noqa: E402
from jobs import Job, Step  # noqa: E402
from world import BOUNDS, World  # noqa: E402

MINIONS = 7
ENTRIES = 3
JOBS = 3
SUBTASKS = 4
BUDGET = 1
CALLS_AT_ONCE = 30  # to each entry, in a busy moment before
QUIET_S = 2.0
WATCH_S = 16.0
NEAR_S = BOUNDS["contact_ms"] / 1000.0


def check_availability(world: World, jobs: list[Job], trouble_s: float) -> None:
    """Report each lapse beyond the budget with no disturbance near."""
    lapsed = [
        (end_s, task)
        for end_s, task, _, how, _ in world.ledger.ends
        if how == "lapsed" and end_s > trouble_s + NEAR_S
    ]
    for job in jobs:
        tasks = job.task_names()
        ended = [(end_s, task) for end_s, task in lapsed if task in tasks]
        for number, (end_s, task) in enumerate(ended):
            since_s = ended[0][0]
            back = {
                name
                for start_s, name, _, _ in world.ledger.starts
                if since_s < start_s < end_s
            }
            away = [name for _, name in ended[:number] if name not in back]
            if len(away) >= BUDGET:
                world.record.violation(
                    f"AVAIL: the lease of {task} lapses {end_s - trouble_s:.1f} s "
                    f"after the disturbance, while {len(away)} others of its step are "
                    f"away and max_unavailable is {BUDGET}"
                )


async def run_case(world: World) -> None:
    """Submit lasting jobs; let the open channels go silent, or not."""
    await world.configure(
        [{"name": "ledger", "host": "a.example", "prefix": "/l/", "service": "s"}],
        [{"name": "s"}],
    )
    for number in range(MINIONS):
        await world.add_minion("s", labels=["a", f"r1-{number // 4}"])
    await scenario.start_entries(world, ENTRIES)
    fields = {"count": SUBTASKS, "cpu": 500, "mem_mb": 500, "long_running": True}
    jobs = [
        world.new_job("ledger", [Step(fields | {"max_unavailable": BUDGET})])
        for _ in range(JOBS)
    ]
    tasks = [task for job in jobs for task in job.task_names()]
    for job in jobs:
        if not await world.submit(job):
            raise scenario.CannotRun("a job was not accepted")
    await world.until(lambda: all(map(world.ledger.runs_of, tasks)), 15.0)
    await asyncio.sleep(1.0)
    if not all(map(world.ledger.runs_of, tasks)):
        raise scenario.CannotRun("the jobs did not start as a whole")
    await asyncio.gather(
        *(
            world.send("GET", jobs[number % JOBS], entry)
            for number in range(CALLS_AT_ONCE)
            for entry in world.entries
        )
    )
    await asyncio.sleep(QUIET_S)
    trouble_s = world.record.now_s()
    if scenario.has_trouble():
        world.silence_channels()
    await asyncio.sleep(WATCH_S)
    check_availability(world, jobs, trouble_s)
    for job in jobs:
        await world.send("GET", job)


scenario.run(FOLDER, run_case)
