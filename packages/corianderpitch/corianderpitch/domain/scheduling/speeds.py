"""Workers that are slow, and tasks that stand still on a worker.

A worker reports the progress of each run. Compared with what is expected of the tasks,
it shows the worker's speed, but only together: one slow step says nothing of its
worker, and one slow worker nothing of a step. A worker counts as slow while most of the
steps that it runs, two at least, go far slower there than expected. It then gets no new
tasks as long as its pool has others, and is tried again a while after the last
evidence.

A task is moved off a slow worker if it would end sooner elsewhere, from its checkpoint
or from the beginning. So is one whose progress has not changed for a time in which even
a task of many times its length would have moved on. It is started again only after the
worker has listed the end of its run. Nothing is moved while no worker has reported any
progress between none and all: there may be workers that report the end only.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from corianderpitch.domain.scheduling.placing import (
    choose_worker,
    is_schedulable,
)
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import Run, RunState, WorkerView
from corianderpitch.ids import JobId, ServiceName, WorkerId

CHECK_INTERVAL_MS = 200.0
SLOW_SPEED = 0.4  # of what is expected; steps differ by about half without cause
MIN_STEPS = 2  # of different jobs or steps, to tell a worker from a task
SLOW_HOLD_MS = 2500.0  # until a worker without further evidence is tried again
MAX_SLOW_SHARE = 1 / 3  # of a pool may be left out, so that it never stands still
EVIDENCE_MS = 1500.0  # older progress tells nothing of the present speed
STILL_MS = 600.0  # progress is reported in percent: tasks of a minute move in this time
STILL_SHARE = 0.5  # of the expected time, for longer tasks
RESTART_MS = 400.0  # to stop a run, list its end and start the task elsewhere
MIN_GAIN = 1.5  # a run goes on unless it takes this much longer than a new one
MAX_MOVES = 2  # of one task
ASK_INTERVAL_MS = 400.0  # of workers with overdue tasks, whose reports come slowly


class MovableRun(NamedTuple):
    """A run that may be moved for its speed, with its job and step."""

    job: ActiveJob
    step: ActiveStep
    run: Run

    @property
    def expected_ms(self) -> float:
        """Return the run time that is expected of its task."""
        return self.job.expected[self.step.number].task_ms


@dataclass(frozen=True, slots=True)
class SlowWorker:
    """A worker that was found to be slow, and its speed as a share of the expected."""

    worker: WorkerId
    speed: float


def relocate(scheduler: Scheduler, now_ms: float) -> list[SlowWorker]:
    """Move tasks off slow workers; return the workers that were found to be slow."""
    if not scheduler.shows_progress:
        return []
    found: list[SlowWorker] = []
    due: dict[ServiceName, list[MovableRun]] = defaultdict(list)
    isolated = {w for g in scheduler.crashes.groups.values() for w in g.workers}
    for worker in scheduler.workers.values():
        if not worker.runs or worker.is_silent:
            continue
        runs = movable_runs(scheduler, worker)
        speed = worker_speed(runs, now_ms)
        if speed is not None and speed < SLOW_SPEED:
            if not worker.is_slow(now_ms):
                found.append(SlowWorker(worker.info.worker, speed))
            worker.slow_until_ms = now_ms + SLOW_HOLD_MS
        if _awaits_report(worker, runs, now_ms):
            worker.asked_ms = now_ms
            scheduler.request_report(worker.info.worker)
        if worker.info.worker not in isolated:
            due[worker.info.service] += [r for r in runs if _is_due(r, worker, now_ms)]
    for service, service_runs in due.items():
        _move(scheduler, service, service_runs, now_ms)
    return found


def movable_runs(scheduler: Scheduler, worker: WorkerView) -> list[MovableRun]:
    """Return the runs on a worker whose progress shows its speed.

    Others last, wait for each other, or run beside a copy.
    """
    runs: list[MovableRun] = []
    for run in worker.runs.values():
        job, step = scheduler.find_step(run.task)
        if step is None or run.state is not RunState.RUNNING:
            continue
        kind = step.step
        if kind.has_own_run_time and kind.estimate_ms > 0 and not kind.is_speculative:
            runs.append(MovableRun(job, step, run))
    return runs


def worker_speed(runs: Iterable[MovableRun], now_ms: float) -> float | None:
    """Return a worker's speed as a share of what is expected, ``None`` if not known.

    It is the median over the steps at work there, the higher one of two.
    """
    speeds: dict[tuple[JobId, int], list[float]] = defaultdict(list)
    for movable in runs:
        run = movable.run
        if run.rate_per_ms is not None and _is_recent(run, now_ms):
            speed = run.rate_per_ms * movable.expected_ms / 100.0
            speeds[movable.job.job_id, movable.step.number].append(speed)
    if len(speeds) < MIN_STEPS:
        return None
    means = sorted(sum(samples) / len(samples) for samples in speeds.values())
    return means[len(means) // 2]


def without_slow(workers: list[WorkerView], now_ms: float) -> list[WorkerView]:
    """Return the workers of a pool that get new tasks.

    Slow ones are left out, unless there are so many that others would be overfilled.
    """
    fast = [worker for worker in workers if not worker.is_slow(now_ms)]
    is_few = len(workers) - len(fast) <= MAX_SLOW_SHARE * len(workers)
    return fast if is_few else workers


def _stands_still(movable: MovableRun, now_ms: float) -> bool:
    """Return whether a run's progress has not changed for long, by a recent report."""
    run = movable.run
    if run.progress_ms is None or not _is_recent(run, now_ms):
        return False
    still_ms = run.progress_ms - max(_known_since_ms(run), run.changed_ms)
    return still_ms >= max(STILL_MS, STILL_SHARE * movable.expected_ms)


def _known_since_ms(run: Run) -> float:
    """Return since when a run is known to be at work, by this holder."""
    return run.begun_ms if run.begun_ms is not None else run.state_since_ms


def _is_recent(run: Run, now_ms: float) -> bool:
    return run.progress_ms is not None and now_ms - run.progress_ms < EVIDENCE_MS


def _awaits_report(
    worker: WorkerView, runs: Iterable[MovableRun], now_ms: float
) -> bool:
    """Return whether tasks should have ended, and there was no report for a while."""
    if now_ms - max(worker.asked_ms, worker.clock_received_ms) < ASK_INTERVAL_MS:
        return False
    return any(
        now_ms - _known_since_ms(run)
        > max(STILL_MS, job.expected[step.number].slowest_ms)
        for job, step, run in runs
    )


def _is_due(movable: MovableRun, worker: WorkerView, now_ms: float) -> bool:
    """Return whether a run would end sooner if its task were started elsewhere."""
    job, step, run = movable
    moved = job.failed_on.get((step.number, run.task.index), frozenset())
    if len(moved) >= MAX_MOVES:
        return False
    if _stands_still(movable, now_ms):
        return True
    if not worker.is_slow(now_ms) or run.rate_per_ms is None:
        return False
    left = 1.0 - run.percent / 100.0
    again_ms = movable.expected_ms * (left if step.step.saves_progress else 1.0)
    return 100.0 * left > run.rate_per_ms * MIN_GAIN * (RESTART_MS + again_ms)


def _move(
    scheduler: Scheduler,
    service: ServiceName,
    runs: Iterable[MovableRun],
    now_ms: float,
) -> None:
    """Stop runs of a service that are to be moved, as far as there is room."""
    others = [
        worker
        for worker in scheduler.workers.values()
        if worker.info.service == service
        and not worker.is_slow(now_ms)
        and is_schedulable(worker, now_ms)
    ]
    room = sum(max(0.0, worker.free.processors) for worker in others)
    for job, step, run in runs:
        room -= run.reservation.processors
        usable = [worker for worker in others if worker.info.worker != run.worker]
        index = run.task.index
        if room < 0 or choose_worker(step, index, usable, frozenset()) is None:
            return
        job.add_failed_worker(step.number, index, run.worker)
        scheduler.stop(run, now_ms)
