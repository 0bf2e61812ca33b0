"""A job runs whose cancelling was answered before a thawed machine stored it."""

import asyncio
import json
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from fleet import Fleet, Route, run_case  # noqa: E402

QUEUE = Route("quotes", "theke")
JOB = "5c0e7a21d94b36f8"
PATH = QUEUE.prefix + JOB
FREEZE_S = 3.5
GIVE_UP_S = 0.3
CANCEL_MS = 3000
STEPS = 4
STEP_MS = 1500
WATCH_S = 14.0


async def play(fleet: Fleet, has_trouble: bool) -> list[str]:
    """Hand a job in at a frozen machine, give up, and cancel it at another one."""
    starts: list[tuple[float, str]] = []
    fleet.machines.on_start = lambda minion, task: starts.append((fleet.now_s, task))
    frozen, asked = fleet.others
    steps = [
        {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": STEP_MS}
        | ({"after": [number - 1]} if number else {})
        for number in range(STEPS)
    ]
    body = {"spec": json.dumps({"work_ms": STEP_MS}), "steps": steps}
    if has_trouble:
        fleet.record("machine freezes", entry=frozen.name)
        frozen.signal(signal.SIGSTOP)
    frozen_s = fleet.now_s
    await fleet.ask(frozen, "POST", PATH, body, timeout_s=GIVE_UP_S)
    status, _ = await fleet.ask(asked, "DELETE", PATH)
    acknowledged_s = fleet.now_s
    if has_trouble:
        await asyncio.sleep(frozen_s + FREEZE_S - fleet.now_s)
        frozen.signal(signal.SIGCONT)
        fleet.record("machine thaws", entry=frozen.name)
    await asyncio.sleep(WATCH_S)
    _, fields = await fleet.ask(asked, "GET", PATH)
    if status not in (200, 410):
        return []  # the cancelling was not acknowledged
    late = [
        f"{task} {1000 * (at_s - acknowledged_s):.0f} ms"
        for at_s, task in starts
        if 1000 * (at_s - acknowledged_s) > CANCEL_MS
    ]
    if not late:
        return []
    return [
        f"UNASKED: the cancelling was answered {status}; started after that: "
        f"{', '.join(late)}; the job is shown as {fields.get('state')}"
    ]


if __name__ == "__main__":
    run_case(FOLDER, [QUEUE], minions=6, entries=3, play=play)
