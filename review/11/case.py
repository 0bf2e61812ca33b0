"""The holder loses the store as a rack restarts; subtasks run twice."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import scenario  # noqa: E402
from jobs import Step  # noqa: E402
from minions import Minion  # noqa: E402
from world import World  # noqa: E402

MINIONS = 16  # of one rack
ENTRIES = 3
TIMED_JOBS = 32
SUBMIT_WITHIN_S = 4.5
PRESENT_BEFORE_S = 2.2
PRESENT_S = 2.7  # it ends after the cut, before the crash
CRASH_AFTER_S = 1.2  # after the cut
CRASH_SPREAD_S = 0.3
DOWN_S = 2.5
RETURN_SPREAD_S = 0.4
DUE_AFTER_S = 3.6  # after the cut
CUT_S = 5.5
SETTLE_S = 30.0


async def restart(world: World, minion: Minion, rng: random.Random) -> None:
    """Crash a minion of the rack, and start it again."""
    await asyncio.sleep(rng.uniform(0.0, CRASH_SPREAD_S))
    await world.crash(minion, DOWN_S + rng.uniform(0.0, RETURN_SPREAD_S))


async def make_trouble(world: World) -> None:
    """Cut the holder off from the store, and let the rack crash and come back."""
    rng = random.Random()
    holder = world.leader()
    world.record.write("cut from the store", entry=holder.name, for_s=CUT_S)
    holder.door.mode = "silent"
    await asyncio.sleep(CRASH_AFTER_S)
    for minion in list(world.minions.values()):
        world.spawn(restart(world, minion, rng))
    await asyncio.sleep(CUT_S - CRASH_AFTER_S)
    holder.door.mode = ""
    holder.door.server.reset_connections()
    world.record.write("the cut ends", entry=holder.name)


async def run_case(world: World) -> None:
    """Submit jobs, one that runs now and timed ones; the ledger checks TWICE."""
    await world.configure(
        [{"name": "quotes", "host": "a.example", "prefix": "/q/", "service": "s"}],
        [{"name": "s"}],
    )
    for _ in range(MINIONS):
        await world.add_minion("s", labels=["a", "r1-0"])
    await scenario.start_entries(world, ENTRIES)
    await asyncio.sleep(2.5)
    cut_at_s = time.time() + SUBMIT_WITHIN_S
    due_ms = (cut_at_s + DUE_AFTER_S) * 1000
    fields = {"count": 4, "cpu": 3500, "mem_mb": 100, "estimate_ms": 2000}
    timed = [
        world.new_job(
            "quotes",
            [Step(fields, work_s=2.0)],
            repeats=1,
            start_ms=due_ms,
            period_ms=1000,
        )
        for _ in range(TIMED_JOBS)
    ]
    fields = {"count": MINIONS, "cpu": 500, "mem_mb": 100, "estimate_ms": 2700}
    step = Step(fields | {"max_per_server": 1}, work_s=PRESENT_S)
    present = world.new_job("quotes", [step])
    for job in timed:
        if not await world.submit(job):
            raise scenario.CannotRun("a job was not accepted")
        await asyncio.sleep(0.02)
    await asyncio.sleep(cut_at_s - PRESENT_BEFORE_S - time.time())
    if not await world.submit(present):
        raise scenario.CannotRun("a job was not accepted")
    await asyncio.sleep(cut_at_s - time.time())
    if len(world.ledger.starts) < MINIONS:
        raise scenario.CannotRun("the present job did not start")
    if scenario.has_trouble():
        await make_trouble(world)
    jobs = [present, *timed]
    if not await world.poll(jobs, {"completed", "failed"}, SETTLE_S):
        raise scenario.CannotRun("the jobs did not end")


scenario.run(FOLDER, run_case)
