"""Stand-in for the platform's workers and the tasks on them.

A task's command is JSON, such as ``{"run_ms": 200, "fails": false, "uses": [1, 512]}``.
``uses`` gives the processors, the memory in megabytes and optionally the
accelerators that the task uses; by default it uses its whole shape. A worker
stops a task by its own clock if the lease on the task ends without a renewal.
"""

import json
import time
from typing import Any

import eventlet

from corianderpitch.domain.jobs import Shape, Task, TaskState, Worker, WorkerState

POLL_INTERVAL_S = 0.02


class FakeWorkers:
    """Simulated workers, their tasks and their faults."""

    def __init__(self):
        self._workers: dict[str, tuple[str, Worker]] = {}
        self._tasks: dict[str, tuple[int, Task]] = {}
        self._lease_ends_s: dict[str, float] = {}
        self._change_cursor = 0
        self._failing_workers: set[str] = set()
        self._starts: list[tuple[str, str, str]] = []
        self._peak_running: dict[str, int] = {}

    def control(self, command: dict[str, Any]) -> None:
        """Add workers (``[data centre, id, rack, shape]``) and switch faults.

        All tasks of the workers named in ``bad_workers`` fail. ``lapse_leases`` ends
        all leases at once.
        """
        for data_center, worker, rack, shape in command.get("workers", ()):
            new_worker = Worker(worker, rack, Shape(*shape), WorkerState.LIVE)
            self._workers[worker] = (data_center, new_worker)
        if command.get("lapse_leases"):
            self._lease_ends_s = dict.fromkeys(self._lease_ends_s, 0.0)
        if "bad_workers" in command:
            self._failing_workers = set(command["bad_workers"])

    def report(self) -> dict[str, Any]:
        """Return the started tasks and the peak concurrency of each job.

        ``starts`` holds the task id, job id and worker of each started task.
        ``peak`` maps a job id to the largest number of its tasks that ran at
        the same time.
        """
        return {"starts": self._starts, "peak": self._peak_running}

    def serve(self, path: str, body: Any) -> Any:
        """Handle one request of the platform's worker protocol."""
        match path:
            case "/workers/list":
                return [
                    [w.worker, w.rack, _shape_fields(w.capacity), w.state.value]
                    for site, w in self._workers.values()
                    if site == body
                ]
            case "/tasks/changed":
                return self._changed_tasks(*body)
            case "/tasks/start":
                self._start(*body)
            case "/tasks/renew":
                self._renew(*body)
            case "/tasks/stop":
                self._stop(body[0])
        return None

    def _changed_tasks(self, data_center: str, cursor: int) -> list[Any]:
        changed = [
            [t.task_id, t.job_id, t.worker, t.state.value, _shape_fields(t.usage)]
            for changed_at, t in self._tasks.values()
            if changed_at > cursor and self._workers[t.worker][0] == data_center
        ]
        return [self._change_cursor, changed]

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
        spec = json.loads(command or "{}")
        usage = Shape(*spec.get("uses", shape))
        self._store_task(Task(task_id, job_id, worker, TaskState.RUNNING, usage))
        running = sum(
            1
            for _, task in self._tasks.values()
            if task.job_id == job_id and task.state is TaskState.RUNNING
        )
        self._peak_running[job_id] = max(running, self._peak_running.get(job_id, 0))
        eventlet.spawn_n(self._run, task_id, spec)

    def _run(self, task_id: str, spec: dict[str, Any]) -> None:
        end_s = time.monotonic() + spec.get("run_ms", 100) / 1000.0
        while time.monotonic() < end_s:
            eventlet.sleep(POLL_INTERVAL_S)
            if self._tasks[task_id][1].state is not TaskState.RUNNING:
                return
            if time.monotonic() > self._lease_ends_s[task_id]:
                self._end(task_id, TaskState.LAPSED)
                return
        worker_fails = self._tasks[task_id][1].worker in self._failing_workers
        has_failed = spec.get("fails", False) or worker_fails
        self._end(task_id, TaskState.FAILED if has_failed else TaskState.DONE)

    def _renew(self, task_ids: list[str], lease_ms: int) -> None:
        for task_id in task_ids:
            self._lease_ends_s[task_id] = time.monotonic() + lease_ms / 1000.0

    def _stop(self, task_id: str) -> None:
        record = self._tasks.get(task_id)
        if record is not None and record[1].state is TaskState.RUNNING:
            self._end(task_id, TaskState.STOPPED)

    def _end(self, task_id: str, state: TaskState) -> None:
        task = self._tasks[task_id][1]
        self._store_task(
            Task(task.task_id, task.job_id, task.worker, state, task.usage)
        )

    def _store_task(self, task: Task) -> None:
        self._change_cursor += 1
        self._tasks[task.task_id] = (self._change_cursor, task)


def _shape_fields(shape: Shape) -> list[float]:
    return [shape.processors, shape.memory_mb, shape.accelerators]
