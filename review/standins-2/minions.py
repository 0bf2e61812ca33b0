"""Stand-ins for minions and for the platform's list of machines.

A job's ``spec`` tells the minions of this stand-in how long its subtasks work:
``{"work_ms": 800}``. A subtask without it lasts until it is stopped. With ``"gang": 3``
the subtasks of a step work once 3 of them are there under one number. With
``"fails": "0.0.0"`` the first run of the subtask at that place ends as failed.
"""

import asyncio
import itertools
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from httpserver import HttpServer, Reply, Request
from store import Store, steady_ms

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STARTUP_MS = 300.0
STOP_S = 0.02
FAILS_AFTER_MS = 100.0
GANG_WAIT_MS = 3000.0
TICK_S = 0.005
CAPACITY = {"cpu": 16000, "mem_mb": 32768, "gpus": 0}

Record = Callable[..., None]


@dataclass
class Run:
    """A subtask at work; it ends at ``done_ms`` of the minion's clock."""

    number: int
    begun_ms: float
    done_ms: float | None
    is_stopping: bool = False
    how: str = "done"


@dataclass
class Gangs:
    """The members of gangs that are present, by step and number."""

    members: dict[tuple[str, int], dict[str, "Minion"]] = field(default_factory=dict)
    failed: set[str] = field(default_factory=set)

    def join(self, task: str, number: int, minion: "Minion") -> dict[str, "Minion"]:
        """Add a member, and return all members that are present."""
        gang = self.members.setdefault((task.rpartition(".")[0], number), {})
        gang[task] = minion
        return gang

    def leave(self, task: str, number: int) -> dict[str, "Minion"]:
        """Remove a member, and return the others."""
        gang = self.members.get((task.rpartition(".")[0], number), {})
        gang.pop(task, None)
        return dict(gang)


@dataclass
class Machine:
    """A machine and the minion that runs on it, if there is one."""

    name: str
    pool: str
    rack: str
    minion: "Minion | None" = None


@dataclass
class Minion:
    """One life of a machine. ``on_start`` is called with each subtask it begins."""

    name: str
    machine: Machine
    store: Store
    record: Record
    on_start: Callable[["Minion", str], None]
    late_s: Callable[["Minion", Request], float | None]
    gangs: Gangs
    runs: dict[str, Run] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    highest_runs: dict[str, int] = field(default_factory=dict)
    fence: int = 0
    lease_end_ms: float = 0.0
    reports: int = 0

    def __post_init__(self):
        self.server = HttpServer(self._serve)
        self.born = int(time.time() * 1000)
        self._started_ms = steady_ms()
        self._next_end = itertools.count(1)
        self._ended = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    @property
    def clock_ms(self) -> int:
        """Return the minion's own steady clock."""
        return int(steady_ms() - self._started_ms)

    async def start(self) -> None:
        """Listen, and report to the store from now on."""
        await self.server.start()
        await self._report()
        self._tasks = [
            asyncio.create_task(loop()) for loop in (self._heartbeat, self._work)
        ]

    def crash(self) -> None:
        """End at once, with everything that runs here."""
        self.record("minion crashes", minion=self.name, runs=sorted(self.runs))
        for task in self._tasks:
            task.cancel()
        self.server.abort()
        self.runs.clear()
        self.machine.minion = None

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self._report()

    async def _report(self) -> None:
        await self.store.put("servers", self.name, self.row())
        self.reports += 1

    def row(self) -> dict[str, Any]:
        """Return what the minion writes about itself into the store."""
        return {
            "service": self.machine.pool,
            "address": self.server.address,
            "zone": "here",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": CAPACITY,
            "labels": ["a", self.machine.rack],
            "machine": self.machine.name,
            "born": self.born,
            "clock_ms": self.clock_ms,
            "seq": self.clock_ms // 1000 + 1,
        }

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for task, run in list(self.runs.items()):
                if self.clock_ms >= self.lease_end_ms:
                    self._end(task, "lapsed")
                elif run.done_ms is not None and self.clock_ms >= run.done_ms:
                    self._end(task, run.how)

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        self.highest_runs[task] = max(self.highest_runs.get(task, 0), run.number)
        self.ends.append([next(self._next_end), task, run.number, how, ""])
        self.record("run ends", minion=self.name, task=task, run=run.number, how=how)
        self._ended.set()
        others = self.gangs.leave(task, run.number)
        if how != "done":
            for other, minion in others.items():
                present = minion.runs.get(other)
                if present is not None and present.number == run.number:
                    minion._end(other, "broken")

    async def _serve(self, request: Request) -> Reply | None:
        late_s = self.late_s(self, request)
        if late_s is None:
            return await self._execute(request)
        self.record("order unanswered", minion=self.name, **request.fields)
        asyncio.get_running_loop().call_later(
            late_s, lambda: asyncio.ensure_future(self._execute(request))
        )
        return None

    async def _execute(self, request: Request) -> Reply:
        fields = request.fields
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return Reply(421)
        if fields.get("fence_token", 0) < self.fence:
            return self._conflict("fence")
        self.fence = fields.get("fence_token", 0)
        match request.name:
            case "hold":
                return await self._hold(fields)
            case "run-start":
                return self._start_run(fields)
            case "run-stop":
                return self._stop_run(fields)
            case "pace":
                return Reply(200, {"clock_ms": self.clock_ms})
        return Reply(404)

    def _conflict(self, reason: str) -> Reply:
        return Reply(409, {"clock_ms": self.clock_ms, "reason": reason})

    def _extend(self, until_ms: float) -> None:
        limit_ms = self.clock_ms + HOLD_MAX_MS
        self.lease_end_ms = max(self.lease_end_ms, min(until_ms, limit_ms))

    async def _hold(self, fields: dict[str, Any]) -> Reply:
        if "until_ms" in fields:
            self._extend(fields["until_ms"])
        last_seen = fields.get("last_seen", 0)
        self.ends = [end for end in self.ends if end[0] > last_seen]
        until_ms = self.clock_ms + min(2000, fields.get("wait_ms", 0))
        while not self.ends and (remaining_ms := until_ms - self.clock_ms) > 0:
            self._ended.clear()
            try:
                await asyncio.wait_for(self._ended.wait(), remaining_ms / 1000.0)
            except TimeoutError:
                break
        running = [
            [task, run.number, "", self._percent(run), 0]
            for task, run in self.runs.items()
        ]
        body = {"clock_ms": self.clock_ms, "born": self.born, "running": running}
        return Reply(200, body | {"finished": self.ends[:500]})

    def _percent(self, run: Run) -> int:
        if run.done_ms is None:
            return 100 if self.clock_ms - run.begun_ms >= STARTUP_MS else 0
        share = (self.clock_ms - run.begun_ms) / max(1.0, run.done_ms - run.begun_ms)
        return min(99, int(100 * share))

    def _start_run(self, fields: dict[str, Any]) -> Reply:
        task, number = fields["task"], fields["run"]
        if fields["until_ms"] <= self.clock_ms:
            return self._conflict("late")
        self._extend(fields["until_ms"])
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return Reply(200, {"clock_ms": self.clock_ms})
        if present is not None or number <= self.highest_runs.get(task, 0):
            return self._conflict("old")
        spec = json.loads(fields["spec"])
        work_ms = spec.get("work_ms")
        now_ms = self.clock_ms
        run = self.runs[task] = Run(number, now_ms, None)
        if (
            spec.get("fails") == task.partition(".")[2]
            and task not in self.gangs.failed
        ):
            self.gangs.failed.add(task)
            run.done_ms, run.how = now_ms + FAILS_AFTER_MS, "failed"
        elif "gang" in spec:
            self._join_gang(task, run, spec)
        elif work_ms is not None:
            run.done_ms = now_ms + work_ms
        self.record("run starts", minion=self.name, task=task, run=number)
        self.on_start(self, task)
        return Reply(200, {"clock_ms": self.clock_ms})

    def _join_gang(self, task: str, run: Run, spec: dict[str, Any]) -> None:
        """Begin the work of a gang once all are there; a run that waits ends alone."""
        run.done_ms, run.how = self.clock_ms + GANG_WAIT_MS, "alone"
        gang = self.gangs.join(task, run.number, self)
        if len(gang) == spec["gang"]:
            for member, minion in gang.items():
                present = minion.runs[member]
                present.done_ms = minion.clock_ms + spec["work_ms"]
                present.how = "done"

    def _stop_run(self, fields: dict[str, Any]) -> Reply:
        task, number = fields["task"], fields["run"]
        self.highest_runs[task] = max(self.highest_runs.get(task, 0), number)
        run = self.runs.get(task)
        if run is None or run.number > number:
            return Reply(200, {"clock_ms": self.clock_ms})
        if not run.is_stopping:
            run.is_stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self._finish_stop, task, run)
        return Reply(200, {"clock_ms": self.clock_ms})

    def _finish_stop(self, task: str, run: Run) -> None:
        if self.runs.get(task) is run:
            self._end(task, "stopped")


class Machines:
    """The platform's machines; each minion that crashes is followed by a new one."""

    def __init__(self, store: Store, record: Record):
        self.server = HttpServer(self._serve)
        self.machines: dict[str, Machine] = {}
        self.on_start: Callable[[Minion, str], None] = lambda minion, task: None
        self.late_s: Callable[[Minion, Request], float | None] = lambda *call: None
        self._gangs = Gangs()
        self._store = store
        self._record = record
        self._numbers = itertools.count(1)

    async def add(self, pool: str, rack: str) -> Machine:
        """Add a machine with a minion."""
        machine = Machine(f"m-{len(self.machines) + 1:03d}", pool, rack)
        self.machines[machine.name] = machine
        await self._boot(machine)
        return machine

    async def _boot(self, machine: Machine) -> None:
        name = f"i-{next(self._numbers):04d}"
        minion = Minion(
            name,
            machine,
            self._store,
            self._record,
            lambda minion, task: self.on_start(minion, task),
            lambda minion, request: self.late_s(minion, request),
            self._gangs,
        )
        machine.minion = minion
        await minion.start()

    async def crash(self, minion: Minion, down_s: float) -> None:
        """Crash a minion; a new one starts on its machine ``down_s`` later."""
        machine = minion.machine
        minion.crash()
        await asyncio.sleep(down_s)
        await self._boot(machine)
        await asyncio.sleep(3 * HEARTBEAT_S - down_s)
        await self._store.remove("servers", minion.name)

    async def _serve(self, request: Request) -> Reply:
        if request.name != "machines":
            return Reply(409, {"reason": "busy"})
        rows = [
            {
                "machine": machine.name,
                "pool": machine.pool,
                "state": "up" if machine.minion else "down",
                "zone": "here",
                "labels": ["a", machine.rack],
                "capacity": CAPACITY,
                "id": machine.minion.name if machine.minion else "",
            }
            for machine in self.machines.values()
        ]
        return Reply(200, {"machines": rows, "next_token": None})
