"""A zone is cut off with the holder, and a rack in it restarts; subtasks run twice."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import scenario  # noqa: E402
from jobs import Step  # noqa: E402
from world import World  # noqa: E402

ZONES = ("zone-a", "zone-b", "zone-c")
MINIONS_PER_ZONE = 2  # of one rack
TIMED_JOBS = 3
PREPARE_S = 4.5  # until the cut
PRESENT_BEFORE_S = 2.2  # the cut
PRESENT_S = 2.7
CUT_S = 5.5
CRASH_AFTER_S = 1.5  # the cut
DOWN_S = 1.5
DUE_AFTER_S = 2.9  # the cut
SETTLE_S = 30.0


async def make_trouble(world: World) -> None:
    """Cut the holder's zone off, and let the rack in it crash and come back."""
    zone = world.leader().zone
    rack = [minion for minion in world.minions.values() if minion.zone == zone]
    world.cut_zone(zone)
    await asyncio.sleep(CRASH_AFTER_S)
    for minion in rack:
        world.spawn(world.crash(minion, DOWN_S))
    await asyncio.sleep(CUT_S - CRASH_AFTER_S)
    world.heal_zones()


async def run_case(world: World) -> None:
    """Submit a job that runs now and timed ones; the ledger checks TWICE."""
    await world.configure(
        [{"name": "quotes", "host": "a.example", "prefix": "/q/", "service": "s"}],
        [{"name": "s"}],
    )
    for number, zone in enumerate(ZONES):
        await world.add_entry(zone)
        for _ in range(MINIONS_PER_ZONE):
            await world.add_minion("s", zone=zone, labels=["a", f"r1-{number}"])
    await world.open_paths()
    await scenario.start_entries(world)
    await asyncio.sleep(2.5)
    cut_at_s = time.time() + PREPARE_S
    fields = {"count": 4, "cpu": 1000, "mem_mb": 100, "estimate_ms": 4000}
    timed = [
        world.new_job(
            "quotes",
            [Step(fields, work_s=4.0)],
            repeats=1,
            start_ms=(cut_at_s + DUE_AFTER_S) * 1000,
            period_ms=1000,
        )
        for _ in range(TIMED_JOBS)
    ]
    count = len(world.minions)
    fields = {"count": count, "cpu": 500, "mem_mb": 100, "max_per_server": 1}
    step = Step(fields | {"estimate_ms": 2700}, work_s=PRESENT_S)
    present = world.new_job("quotes", [step])
    for job in timed:
        if not await world.submit(job):
            raise scenario.CannotRun("a job was not accepted")
    await asyncio.sleep(cut_at_s - PRESENT_BEFORE_S - time.time())
    if not await world.submit(present):
        raise scenario.CannotRun("a job was not accepted")
    await asyncio.sleep(cut_at_s - time.time())
    if len(world.ledger.starts) < count:
        raise scenario.CannotRun("the present job did not start")
    if scenario.has_trouble():
        await make_trouble(world)
    if not await world.poll([present, *timed], {"completed", "failed"}, SETTLE_S):
        raise scenario.CannotRun("the jobs did not end")


scenario.run(FOLDER, run_case)
