"""One of seven minions goes down and up by turns; jobs are shown as failed."""

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
PERIOD_S = 0.86
FLAP_S = 6.5
KIND = "b"  # only the first minion is of this kind
SETTLE_S = 12.0


async def flap(world: World) -> None:
    """Let the first minion go down and up by turns."""
    minion = next(iter(world.minions.values()))
    until_s = world.record.now_s() + FLAP_S
    while world.record.now_s() < until_s:
        await asyncio.sleep(PERIOD_S / 2)
        await world.crash(minion, PERIOD_S / 2)


async def run_case(world: World) -> None:
    """Submit jobs whose subtasks never fail, with the disruption or without."""
    await world.configure(
        [{"name": "quotes", "host": "a.example", "prefix": "/q/", "service": "s"}],
        [{"name": "s"}],
    )
    for number in range(MINIONS):
        kind = "a" if number else KIND
        await world.add_minion("s", labels=[kind, f"r1-{number // 4}"])
    await scenario.start_entries(world, ENTRIES)
    fields = {"cpu": 1000, "mem_mb": 100, "requires": KIND}
    lasting = world.new_job(
        "quotes", [Step(fields | {"count": 2, "long_running": True})]
    )
    batch = world.new_job(
        "quotes", [Step(fields | {"count": 1, "estimate_ms": 2000}, work_s=2.0)]
    )
    for job in (lasting, batch):
        if not await world.submit(job):
            raise scenario.CannotRun("a job was not accepted")
    await asyncio.sleep(0.5)
    if scenario.has_trouble():
        await flap(world)
    await world.poll([batch], {"completed", "failed"}, SETTLE_S)
    await asyncio.sleep(1.0)
    await world.send("GET", lasting)
    failed_ends = {task for _, task, _, how, _ in world.ledger.ends if how == "failed"}
    for job, owed in ((lasting, "running"), (batch, "completed")):
        if job.last_state != owed and not failed_ends.intersection(job.task_names()):
            world.record.violation(
                f"LOST: job {job.job_id} is shown as {job.last_state}, not as {owed}, "
                "and no run of it has ended failed"
            )


scenario.run(FOLDER, run_case)
