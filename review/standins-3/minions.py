"""Stand-in for the minions: they run subtasks as PROTOCOL.md tells."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from httpserver import HttpServer, NoAnswer, Reply, Request
from jobs import LASTING_STARTUP_S, Job, Step
from record import Record

HOLD_MAX_S = 6.0
KILL_GRACE_S = 0.2
GANG_WAIT_S = 3.0
TICK_S = 0.01
MAX_ENDS = 500
CHECKPOINT_S = 0.5
RESTORE_S = 0.25


@dataclass
class Run:
    """One run of a subtask on a minion."""

    task: str
    number: int
    need: tuple[int, int, int]
    began_s: float
    work_s: float
    saved_s: float = 0.0
    checkpoint: str = ""
    stops_at_s: float | None = None
    gang_since_s: float | None = None
    paced: int = 100

    @property
    def gang(self) -> tuple[str, int]:
        """Return the step of its subtask and its number, which a gang shares."""
        return self.task.rpartition(".")[0], self.number


@dataclass
class DoneEnd:
    """A run that ended as done, and whether that was taken note of."""

    task: str
    minion: str
    born: int
    sequence: int
    ended_s: float
    is_noted: bool = False
    has_lapsed: bool = False


@dataclass
class Ledger:
    """All runs of all minions, and the rules about them that hold at all times."""

    record: Record
    jobs: dict[str, Job]
    running: dict[str, list["Minion"]] = field(default_factory=dict)
    starts: list[tuple[float, str, int, str]] = field(default_factory=list)
    ends: list[tuple[float, str, int, str, str]] = field(default_factory=list)
    done: dict[str, list[DoneEnd]] = field(default_factory=dict)
    restarted: dict[str, float] = field(default_factory=dict)
    gangs: dict[tuple[str, int], dict[str, "Minion"]] = field(default_factory=dict)

    def step_of(self, task: str) -> tuple[Job | None, Step | None]:
        """Return the job and the step of a subtask's name."""
        job_id, _, number, _ = task.split(".")
        job = self.jobs.get(job_id)
        return job, job.steps[int(number)] if job else None

    def note_start(self, minion: "Minion", run: Run, spec: str) -> None:
        """Check and record a start."""
        now_s = self.record.now_s()
        self.starts.append((now_s, run.task, run.number, minion.name))
        self.record.write("start", task=run.task, run=run.number, on=minion.name)
        job, step = self.step_of(run.task)
        if job is None or job.sent_s is None or spec != job.spec:
            self.record.violation(f"UNASKED: {run.task} was not sent, or differs")
            return
        others = [m for m in self.running.get(run.task, []) if m.is_up]
        if others and not step.flag("speculative"):
            self.record.violation(
                f"TWICE: {run.task} starts on {minion.name} while it runs on "
                f"{[m.name for m in others]}"
            )
        ends = [e for e in self.done.get(run.task, []) if not e.has_lapsed]
        if any(e.is_noted for e in ends) and not step.flag("speculative"):
            self.record.violation(f"TWICE: {run.task} starts after a noted end")
        if ends:
            self.restarted[run.task] = now_s
        self._check_order(job, step, run, now_s)
        label = step.fields.get("requires")
        if label and label not in minion.labels:
            self.record.violation(
                f"ROUTE: {run.task} starts on {minion.name} without {label!r}"
            )
        most = step.fields.get("max_per_server")
        prefix = run.task.rpartition(".")[0] + "."
        beside = sum(1 for task in minion.runs if task.startswith(prefix))
        if most and beside > most:
            self.record.violation(f"ROUTE: {run.task} beyond max_per_server")
        if not minion.guards and min(minion.free()) < 0:
            self.record.violation(
                f"LIMIT: {run.task} brings {minion.name} over its capacity"
            )
        if job.cancel_acked_s is not None and now_s > job.cancel_acked_s + 3.0:
            self.record.violation(f"UNASKED: {run.task} starts after its cancelling")
        self.running.setdefault(run.task, []).append(minion)
        if step.flag("gang"):
            self.gangs.setdefault(run.gang, {})[run.task] = minion

    def _check_order(self, job: Job, step: Step, run: Run, now_s: float) -> None:
        _, occurrence, _, _ = run.task.split(".")
        for earlier in step.fields.get("after", ()):
            names = job.task_names(earlier, int(occurrence))
            if job.steps[earlier].flag("gang"):
                missing = [] if any(n in self.done for n in names) else names
            else:
                missing = [n for n in names if n not in self.done]
            if missing:
                self.record.violation(f"ORDER: {run.task} starts before {missing[0]}")
        if job.repeats:
            due_ms = job.start_ms + int(occurrence) * job.period_ms
            if time.time() * 1000 < due_ms - 250:
                self.record.violation(f"ORDER: {run.task} starts before its time")

    def note_end(self, minion: "Minion", run: Run, how: str) -> None:
        """Record the end of a run."""
        self.ends.append((self.record.now_s(), run.task, run.number, how, minion.name))
        self.record.write("end", task=run.task, run=run.number, how=how, on=minion.name)
        minions = self.running.get(run.task, [])
        if minion in minions:
            minions.remove(minion)
        self.gangs.get(run.gang, {}).pop(run.task, None)

    def note_seen(self, minion: "Minion", last_seen: int) -> None:
        """Note that ends were taken note of."""
        for ends in self.done.values():
            for end in ends:
                if (
                    (end.minion, end.born) == (minion.name, minion.born)
                    and end.sequence <= last_seen
                    and not end.has_lapsed
                    and not end.is_noted
                ):
                    end.is_noted = True
                    _, step = self.step_of(end.task)
                    if end.task in self.restarted and not step.flag("speculative"):
                        self.record.violation(
                            f"TWICE: {end.task} had started again before its end "
                            "was taken note of"
                        )

    def runs_of(self, task: str) -> list["Minion"]:
        """Return the minions that run a subtask and are up."""
        return [m for m in self.running.get(task, []) if m.is_up]


class Minion:
    """One minion; a crash ends its process and ``boot`` starts a new one."""

    def __init__(
        self,
        ledger: Ledger,
        name: str,
        service: str,
        zone: str,
        labels: list[str],
        capacity: tuple[int, int, int],
        machine: str,
        guards: bool = True,
        work_factor: Callable[["Minion", Step], float] = lambda minion, step: 1.0,
        host: str = "127.0.0.1",
    ):
        self.ledger = ledger
        self.name, self.service, self.zone = name, service, zone
        self.labels, self.capacity, self.machine = labels, capacity, machine
        self.guards = guards
        self.work_factor = work_factor
        self.server = HttpServer(self._serve, host)
        self.gates: dict[str, HttpServer] = {}
        self.cut_from: set[str] = set()
        self.is_up = False
        self.is_draining = False
        self.is_dark = False
        self.is_cut_from_store = False
        self.late_orders: Callable[[Request], float | None] = lambda request: None
        self.born = 0
        self._ended = asyncio.Event()

    async def open_gate(self, entry: str) -> None:
        """Listen on a port of its own for one entry, whose path may be cut."""

        async def serve(request: Request) -> Reply:
            if entry in self.cut_from:
                raise NoAnswer
            reply = await self._serve(request)
            if entry in self.cut_from:
                raise NoAnswer
            return reply

        self.gates[entry] = HttpServer(serve, self.server.host)
        if self.is_up:
            await self.gates[entry].start()

    async def boot(self) -> None:
        """Start a process that holds and knows nothing of before."""
        self.born = max(int(time.time() * 1000), self.born + 1)
        self._boot_s = time.monotonic()
        self.runs: dict[str, Run] = {}
        self.ends: list[tuple[int, str, int, str, str]] = []
        self.sequence = 0
        self.fence = 0
        self.highest: dict[str, int] = {}
        self.lease_end_ms = 0.0
        self.seq = 0
        self.is_draining = False
        self.is_dark = False
        await self.server.start()
        for gate in self.gates.values():
            await gate.start()
        self.is_up = True
        self.ledger.record.write("minion up", id=self.name, born=self.born)

    async def crash(self) -> None:
        """End the process; everything on it ends, and its connections are reset."""
        if not self.is_up:
            return
        self.ledger.record.write("minion crashes", id=self.name, runs=len(self.runs))
        self.is_up = False
        for run in list(self.runs.values()):
            self.ledger.note_end(self, run, "lost")
        self.runs = {}
        self._lapse()
        await self.close()

    async def close(self) -> None:
        """Close all listeners and connections."""
        for server in (self.server, *self.gates.values()):
            await server.stop()

    def _lapse(self) -> None:
        for ends in self.ledger.done.values():
            for end in ends:
                if (end.minion, end.born) == (self.name, self.born):
                    end.has_lapsed = end.has_lapsed or not end.is_noted

    def clock_ms(self) -> int:
        """Return the minion's steady clock."""
        return int((time.monotonic() - self._boot_s) * 1000) + 1000

    def free(self) -> tuple[int, int, int]:
        """Return what is left of the capacity."""
        used = [sum(n) for n in zip(*(r.need for r in self.runs.values()), strict=True)]
        used = used or [0, 0, 0]
        return tuple(c - u for c, u in zip(self.capacity, used, strict=True))

    def entry(self) -> dict[str, Any]:
        """Return its entry in the store."""
        self.seq += 1
        cpu, mem_mb, gpus = self.capacity
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": cpu, "mem_mb": mem_mb, "gpus": gpus},
            "labels": self.labels,
            "machine": self.machine,
            "born": self.born,
            "clock_ms": self.clock_ms(),
            "seq": self.seq,
        }

    # Work.

    def advance(self) -> None:
        """End what is due: leases, stops and work."""
        if not self.is_up:
            return
        now_s = time.monotonic()
        if self.clock_ms() >= self.lease_end_ms:
            self._lapse()
            for run in list(self.runs.values()):
                self._end(run, "lapsed")
            return
        for run in list(self.runs.values()):
            if run.task not in self.runs:
                continue
            _, step = self.ledger.step_of(run.task)
            if run.stops_at_s is not None:
                if now_s >= run.stops_at_s:
                    self._end(run, "stopped")
                continue
            if step is None:
                continue
            if step.flag("gang") and not self._gang_works(run, step, now_s):
                continue
            if step.flag("long_running"):
                continue
            if now_s - run.began_s >= run.work_s:
                self._finish(run, step)

    def _finish(self, run: Run, step: Step) -> None:
        index = int(run.task.rpartition(".")[2])
        if step.failures.get(index, 0) > 0:
            step.failures[index] -= 1
            self._end(run, "failed")
            return
        if not step.flag("gang"):
            self._end(run, "done")
            return
        for minion, member in self._members(run):
            minion._end(member, "done")

    def _members(self, run: Run) -> list[tuple["Minion", Run]]:
        members = self.ledger.gangs.get(run.gang, {})
        return [(minion, minion.runs[task]) for task, minion in members.items()]

    def _gang_works(self, run: Run, step: Step, now_s: float) -> bool:
        """Return whether the gang works; break it or wait otherwise."""
        if len(self.ledger.gangs.get(run.gang, {})) == step.count:
            if run.gang_since_s is not None:
                for _, member in self._members(run):
                    member.began_s, member.gang_since_s = now_s, None
            return True
        if run.gang_since_s is None:
            self._end(run, "broken")
        elif now_s - run.gang_since_s >= GANG_WAIT_S:
            self._end(run, "alone")
        return False

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.sequence += 1
        self.ledger.note_end(self, run, how)
        saved = run.checkpoint
        self.ends.append((self.sequence, run.task, run.number, how, saved))
        if how == "done":
            end = DoneEnd(
                run.task,
                self.name,
                self.born,
                self.sequence,
                self.ledger.record.now_s(),
            )
            self.ledger.done.setdefault(run.task, []).append(end)
        self._ended.set()

    def _percent(self, run: Run) -> int:
        _, step = self.ledger.step_of(run.task)
        if run.gang_since_s is not None or run.stops_at_s is not None:
            return 0
        elapsed_s = time.monotonic() - run.began_s
        if step is not None and step.flag("long_running"):
            return 100 if elapsed_s >= LASTING_STARTUP_S else 0
        return min(99, int(100 * elapsed_s / max(0.001, run.work_s)))

    # Calls.

    async def _serve(self, request: Request) -> Reply:
        if not self.is_up or self.is_dark:
            raise NoAnswer
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return Reply(421)
        name = request.name
        if name not in ("run-start", "run-stop", "pace", "hold"):
            return Reply(404)
        born = self.born
        body = request.json()
        if name == "hold":
            return await self._hold(body)
        late_s = self.late_orders(request)
        if late_s is not None:
            asyncio.get_running_loop().create_task(
                self._carry_out_late(late_s, name, body, born)
            )
            raise NoAnswer
        return self._execute(name, body)

    async def _carry_out_late(
        self, late_s: float, name: str, body: dict[str, Any], born: int
    ) -> None:
        await asyncio.sleep(late_s)
        if self.is_up and self.born == born:
            reply = self._execute(name, body)
            self.ledger.record.write(
                "late order", call=name, task=body["task"], status=reply.status
            )

    def _execute(self, name: str, body: dict[str, Any]) -> Reply:
        self.advance()
        fence = body.get("fence_token", 0)
        if fence < self.fence:
            return self._refuse("fence")
        self.fence = fence
        match name:
            case "run-start":
                return self._start(body)
            case "run-stop":
                return self._stop(body)
            case "pace":
                run = self.runs.get(body["task"])
                if run is not None and run.number == body["run"]:
                    run.paced = body["percent"]
        return Reply(200, {"clock_ms": self.clock_ms()})

    def _refuse(self, reason: str) -> Reply:
        return Reply(409, {"clock_ms": self.clock_ms(), "reason": reason})

    def _extend(self, until_ms: float | None) -> None:
        if until_ms is not None:
            most_ms = self.clock_ms() + HOLD_MAX_S * 1000
            self.lease_end_ms = max(self.lease_end_ms, min(until_ms, most_ms))

    def _start(self, body: dict[str, Any]) -> Reply:
        task, number = body["task"], body["run"]
        present = self.runs.get(task)
        if body["until_ms"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(body["until_ms"])
        if present is not None and present.number == number:
            return Reply(200, {"clock_ms": self.clock_ms()})
        if present is not None or number <= self.highest.get(task, 0):
            return self._refuse("old")
        _, step = self.ledger.step_of(task)
        if step is None:
            self.ledger.record.violation(f"UNASKED: {task} was not sent")
            return Reply(400)
        free = self.free()
        if self.guards and any(n > f for n, f in zip(step.need, free, strict=True)):
            self.ledger.record.write("no room", task=task, on=self.name)
            return self._refuse("room")
        now_s = time.monotonic()
        work_s = step.work_s * self.work_factor(self, step)
        run = Run(task, number, step.need, now_s, work_s)
        if step.flag("gang"):
            run.gang_since_s = now_s
        self.runs[task] = run
        self.ledger.note_start(self, run, body["spec"])
        return Reply(200, {"clock_ms": self.clock_ms()})

    def _stop(self, body: dict[str, Any]) -> Reply:
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stops_at_s is None:
            run.stops_at_s = time.monotonic() + KILL_GRACE_S / 2
        self.highest[task] = max(number, self.highest.get(task, 0))
        return Reply(200, {"clock_ms": self.clock_ms()})

    async def _hold(self, body: dict[str, Any]) -> Reply:
        self.advance()
        if body.get("fence_token", 0) < self.fence:
            return self._refuse("fence")
        self.fence = body.get("fence_token", 0)
        self._extend(body.get("until_ms"))
        last_seen = body.get("last_seen", 0)
        if last_seen:
            self.ledger.note_seen(self, last_seen)
            self.ends = [end for end in self.ends if end[0] > last_seen]
        until_s = time.monotonic() + body.get("wait_ms", 0) / 1000.0
        while not self.ends and (left_s := until_s - time.monotonic()) > 0:
            self._ended.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), left_s)
        if not self.is_up or self.is_dark:
            raise NoAnswer
        running = [
            [r.task, r.number, r.checkpoint, self._percent(r), 0]
            for r in self.runs.values()
        ]
        return Reply(
            200,
            {
                "clock_ms": self.clock_ms(),
                "born": self.born,
                "running": running,
                "finished": [list(end) for end in self.ends[:MAX_ENDS]],
            },
        )
