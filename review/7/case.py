"""Jobs whose cancelling was acknowledged come back after a partial store outage."""

import asyncio
import json
import signal
import sys
from pathlib import Path
from zlib import crc32

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from fleet import CannotRun, Entry, Fleet, Route, run_case  # noqa: E402

QUEUE = Route("ledgers", "zuschnitt")
JOBS = 3
OUTAGE_S = 4.2
STOP_HOLDER_AFTER_S = 2.0  # of the outage
CANCEL_MS = 3000
CONTACT_MS = 3000
KILL_GRACE_MS = 200
WATCH_S = 14.0


def path_of(job: str) -> str:
    """Return the path of a job."""
    return QUEUE.prefix + job


def jobs_in_one_partition() -> list[str]:
    """Return ids that have the same remainder of the checksum that spreads jobs."""
    ids = (f"{number:016x}" for number in range(0xC0DE0000, 0xC0DEFFFF))
    return [job for job in ids if crc32(job.encode()) % 4 == 0][:JOBS]


async def hand_in_again_and_cancel(
    fleet: Fleet, job: str, body: dict, entries: list[Entry]
) -> bool:
    """Send the late copy of a POST, then cancel; tell whether both got a 2xx."""
    again, _ = await fleet.ask(entries[0], "POST", path_of(job), body)
    cancelled, _ = await fleet.ask(entries[1], "DELETE", path_of(job))
    return (again, cancelled) == (200, 200)


async def play(fleet: Fleet, has_trouble: bool) -> list[str]:
    """Cancel jobs in an outage of their partition, then stop the holder."""
    holder, others = fleet.holder, fleet.others
    jobs = jobs_in_one_partition()
    step = {"count": 2, "cpu": 500, "mem_mb": 256, "long_running": True}
    body = {"spec": json.dumps({}), "steps": [step]}
    for job in jobs:
        status, _ = await fleet.ask(others[0], "POST", path_of(job), body)
        if status != 200:
            raise CannotRun(f"job {job} was answered {status}")
    await asyncio.sleep(3.5)
    parts = {part for job in jobs for part in fleet.store.partitions_of("jobs", job)}
    if len(parts) != 1:
        raise CannotRun(f"the jobs lie in {len(parts)} partitions")

    outage_began_s = fleet.now_s
    if has_trouble:
        fleet.record("partition silent", part=sorted(parts))
        fleet.store.silent_parts |= parts
    # Callers ask for the states of their jobs at all times.
    asks = [fleet.ask(e, "GET", path_of(j)) for e in others for j in jobs[:2]]
    await asyncio.gather(*asks)
    cancelled: list[str] = []
    for job in jobs:
        if await hand_in_again_and_cancel(fleet, job, body, others):
            cancelled.append(job)
        await asyncio.sleep(0.05)
    acknowledged_s = fleet.now_s
    fleet.record("cancelled", jobs=cancelled)
    if not cancelled:
        raise CannotRun("no job was cancelled with a 2xx")

    if has_trouble:
        await asyncio.sleep(outage_began_s + STOP_HOLDER_AFTER_S - fleet.now_s)
        fleet.record("holder gets SIGTERM", entry=holder.name)
        holder.signal(signal.SIGTERM)
        await asyncio.sleep(outage_began_s + OUTAGE_S - fleet.now_s)
        fleet.record("partition answers again", part=sorted(parts))
        fleet.store.silent_parts.clear()
        await holder.process.wait()
        await fleet.start_entry(holder.name)
    # All are in touch again after CONTACT_MS, and the cancelled jobs must be gone
    # CANCEL_MS and KILL_GRACE_MS later.
    await asyncio.sleep((CONTACT_MS + CANCEL_MS + KILL_GRACE_MS) / 1000.0 + 1.0)
    fleet.record("from here on nothing of the cancelled jobs may run")
    found: list[str] = []
    await asyncio.sleep(WATCH_S)
    at_work = [
        task
        for machine in fleet.machines.machines.values()
        if machine.minion is not None
        for task in machine.minion.runs
    ]
    for job in cancelled:
        running = sorted(task for task in at_work if task.startswith(job))
        _, fields = await fleet.ask(others[1], "GET", path_of(job))
        if running:
            found.append(
                f"UNASKED: {running} run {fleet.now_s - acknowledged_s:.1f} s after "
                f"the ack of the cancelling; the job is shown as {fields.get('state')}"
            )
    return found


if __name__ == "__main__":
    run_case(FOLDER, [QUEUE], minions=6, entries=3, play=play)
