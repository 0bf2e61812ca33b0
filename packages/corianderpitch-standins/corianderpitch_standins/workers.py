"""Stand-in for the platform's workers and the tasks on them.

A task's command is JSON: ``{"run_ms": 200, "fails": false, "uses": [1, 512]}``.
A worker whose lease on a task is not renewed stops the task by its own clock.
"""

import json
import time
from typing import Any

import eventlet

from corianderpitch.domain.jobs import Shape, Task, TaskState, Worker, WorkerState

STEP_S = 0.02


class FakeWorkers:
    """Workers, their tasks and their faults."""

    def __init__(self):
        self._workers: dict[str, tuple[str, Worker]] = {}
        self._tasks: dict[str, tuple[int, Task]] = {}
        self._lease_ends_s: dict[str, float] = {}
        self._cursor = 0
        self._bad_workers: set[str] = set()
        self._starts: list[tuple[str, str, str]] = []
        self._peak: dict[str, int] = {}

    def control(self, command: dict[str, Any]) -> None:
        """Add workers (``[data centre, id, rack, shape]``) and switch faults.

        ``bad_workers`` fail every task; ``lapse_leases`` ends all leases now.
        """
        for data_center, worker, rack, shape in command.get("workers", ()):
            listed = Worker(worker, rack, Shape(*shape), WorkerState.LIVE)
            self._workers[worker] = (data_center, listed)
        if command.get("lapse_leases"):
            self._lease_ends_s = dict.fromkeys(self._lease_ends_s, 0.0)
        if "bad_workers" in command:
            self._bad_workers = set(command["bad_workers"])

    def report(self) -> dict[str, Any]:
        """Return the starts, and the most tasks of one job that ever ran at once."""
        return {"starts": self._starts, "peak": self._peak}

    def serve(self, path: str, body: Any) -> Any:
        """Handle one request of the platform's protocol."""
        match path:
            case "/workers/list":
                return [
                    [w.worker, w.rack, _fields(w.capacity), w.state.value]
                    for site, w in self._workers.values()
                    if site == body
                ]
            case "/tasks/changed":
                return self._changed(*body)
            case "/tasks/start":
                self._start(*body)
            case "/tasks/renew":
                self._renew(*body)
            case "/tasks/stop":
                self._stop(body[0])
        return None

    def _changed(self, data_center: str, cursor: int) -> list[Any]:
        changed = [
            [t.task_id, t.job_id, t.worker, t.state.value, _fields(t.usage)]
            for changed_at, t in self._tasks.values()
            if changed_at > cursor and self._workers[t.worker][0] == data_center
        ]
        return [self._cursor, changed]

    def _start(
        self,
        task_id: str,
        job_id: str,
        worker: str,
        shape: list[float],
        command: str,
        lease_ms: int,
    ) -> None:
        if task_id in self._tasks:
            return
        self._starts.append((task_id, job_id, worker))
        self._lease_ends_s[task_id] = time.monotonic() + lease_ms / 1000.0
        work = json.loads(command or "{}")
        usage = Shape(*work.get("uses", shape))
        self._set(Task(task_id, job_id, worker, TaskState.RUNNING, usage))
        running = sum(
            1
            for _, task in self._tasks.values()
            if task.job_id == job_id and task.state is TaskState.RUNNING
        )
        self._peak[job_id] = max(running, self._peak.get(job_id, 0))
        eventlet.spawn_n(self._run, task_id, work)

    def _run(self, task_id: str, work: dict[str, Any]) -> None:
        end_s = time.monotonic() + work.get("run_ms", 100) / 1000.0
        while time.monotonic() < end_s:
            eventlet.sleep(STEP_S)
            if self._tasks[task_id][1].state is not TaskState.RUNNING:
                return
            if time.monotonic() > self._lease_ends_s[task_id]:
                self._end(task_id, TaskState.LAPSED)
                return
        is_bad = self._tasks[task_id][1].worker in self._bad_workers
        has_failed = work.get("fails", False) or is_bad
        self._end(task_id, TaskState.FAILED if has_failed else TaskState.DONE)

    def _renew(self, task_ids: list[str], lease_ms: int) -> None:
        for task_id in task_ids:
            self._lease_ends_s[task_id] = time.monotonic() + lease_ms / 1000.0

    def _stop(self, task_id: str) -> None:
        found = self._tasks.get(task_id)
        if found is not None and found[1].state is TaskState.RUNNING:
            self._end(task_id, TaskState.STOPPED)

    def _end(self, task_id: str, state: TaskState) -> None:
        task = self._tasks[task_id][1]
        self._set(Task(task.task_id, task.job_id, task.worker, state, task.usage))

    def _set(self, task: Task) -> None:
        self._cursor += 1
        self._tasks[task.task_id] = (self._cursor, task)


def _fields(shape: Shape) -> list[float]:
    return [shape.processors, shape.memory_mb, shape.accelerators]
