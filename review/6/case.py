"""A member of a gang runs twice after its start order was carried out late."""

import asyncio
import json
import sys
import time
from collections import defaultdict
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from fleet import CannotRun, Fleet, Route, run_case  # noqa: E402
from httpserver import Request  # noqa: E402
from minions import Minion  # noqa: E402

QUEUE = Route("quotes", "theke", max_attempts=3)
SMALL = Route("counts", "theke", max_attempts=3)
JOB = "5c0e7a21d94b36f8"
MEMBERS = 3
WORK_MS = 7000
LATE_TASK = f"{JOB}.0.0.1"
LATE_S = 2.4
SMALL_JOBS = 24
SMALL_INTERVAL_S = 0.15
WATCH_S = 14.0


async def play(fleet: Fleet, has_trouble: bool) -> list[str]:
    """Carry out late the first start of a member, and the orders to stop that run."""
    orders: list[str] = []
    late_run: list[int] = []

    def late_s(minion: Minion, request: Request) -> float | None:
        if request.name not in ("run-start", "run-stop"):
            return None
        orders.append(request.name)
        task, run = request.fields["task"], request.fields["run"]
        if not has_trouble or task != LATE_TASK:
            return None
        if not late_run:
            late_run.append(run)
        return LATE_S if run == late_run[0] else None

    fleet.machines.late_s = late_s
    entry = fleet.others[0]
    fleet.spawn(hand_in_small_jobs(fleet))
    await asyncio.sleep(SMALL_INTERVAL_S * SMALL_JOBS / 2)
    step = {"count": MEMBERS, "cpu": 1000, "mem_mb": 256, "estimate_ms": WORK_MS}
    steps = [step | {"gang": True, "max_per_server": 1}]
    spec = {"work_ms": WORK_MS, "gang": MEMBERS, "fails": "0.0.0"}
    body = {"spec": json.dumps(spec), "steps": steps}
    status, _ = await fleet.ask(entry, "POST", QUEUE.prefix + JOB, body)
    if status != 200:
        raise CannotRun(f"the job was answered {status}")
    twice: dict[str, set[str]] = {}
    until_s = time.monotonic() + WATCH_S
    while time.monotonic() < until_s:
        await asyncio.sleep(0.005)
        at_work: dict[str, set[str]] = defaultdict(set)
        for machine in fleet.machines.machines.values():
            for task in machine.minion.runs:
                at_work[task].add(machine.minion.name)
        twice |= {task: names for task, names in at_work.items() if len(names) > 1}
    late = fleet.record_path.read_text().count("order unanswered")
    fleet.record("orders", unanswered=late, all=len(orders))
    return [
        f"TWICE: {task} runs on {' and '.join(sorted(names))} at the same time"
        for task, names in sorted(twice.items())
    ]


async def hand_in_small_jobs(fleet: Fleet) -> None:
    """Keep all minions busy with short subtasks."""
    step = {"count": 12, "cpu": 100, "mem_mb": 16, "estimate_ms": 60}
    body = {
        "spec": json.dumps({"work_ms": 60}),
        "steps": [step | {"max_per_server": 2}],
    }
    for number in range(SMALL_JOBS):
        path = SMALL.prefix + f"{number:016x}"
        fleet.spawn(fleet.ask(fleet.others[0], "POST", path, body))
        await asyncio.sleep(SMALL_INTERVAL_S)


if __name__ == "__main__":
    run_case(FOLDER, [QUEUE, SMALL], minions=6, entries=3, play=play)
