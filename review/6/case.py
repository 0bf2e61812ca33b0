"""Jobs of which no subtask has failed are shown as failed after minions crash."""

import asyncio
import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from fleet import CannotRun, Fleet, Route, run_case  # noqa: E402
from minions import Minion  # noqa: E402

QUEUE = Route("quotes", "theke", max_attempts=2)
DOWN_S = 1.0
POLL_S = 0.5


@dataclass(frozen=True)
class Ordeal:
    """A job of one subtask, and when the minions that begin it crash."""

    job: str
    work_ms: int
    crashes: int
    crash_after_s: float
    watch_s: float


ORDEALS = (
    Ordeal("5c0e7a21d94b36f8", 1000, 2, 0.15, 25.0),
    Ordeal("a94b36f85c0e7a21", 5000, 4, 1.0, 45.0),
)


async def hand_in(fleet: Fleet, ordeal: Ordeal, has_trouble: bool) -> str | None:
    """Hand a job in, and return what is wrong with how it is shown, if anything."""
    crashed: list[str] = []

    async def crash_soon(minion: Minion) -> None:
        await asyncio.sleep(ordeal.crash_after_s)
        await fleet.machines.crash(minion, DOWN_S)

    def on_start(minion: Minion, task: str) -> None:
        if has_trouble and len(crashed) < ordeal.crashes:
            crashed.append(minion.name)
            fleet.spawn(crash_soon(minion))

    fleet.machines.on_start = on_start
    entry = fleet.others[0]
    path = QUEUE.prefix + ordeal.job
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": ordeal.work_ms}
    body = {"spec": json.dumps({"work_ms": ordeal.work_ms}), "steps": [step]}
    status, _ = await fleet.ask(entry, "POST", path, body)
    if status != 200:
        raise CannotRun(f"the job was answered {status}")
    until_s = time.monotonic() + ordeal.watch_s
    state = ""
    while time.monotonic() < until_s and state not in ("completed", "failed"):
        await asyncio.sleep(POLL_S)
        _, fields = await fleet.ask(entry, "GET", path)
        state = fields.get("state", state)
    if state == "completed":
        return None
    failed_ends = fleet.record_path.read_text().count("how=failed")
    return (
        f"LOST: job {ordeal.job} is shown as {state}; {failed_ends} runs have ended as "
        f"failed, {len(crashed)} minions have crashed"
    )


async def play(fleet: Fleet, has_trouble: bool) -> list[str]:
    """Let one job after the other live through crashes of minions."""
    found = [await hand_in(fleet, ordeal, has_trouble) for ordeal in ORDEALS]
    return [line for line in found if line is not None]


if __name__ == "__main__":
    run_case(FOLDER, [QUEUE], minions=6, entries=3, play=play)
