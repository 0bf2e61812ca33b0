"""Counts of crashes of workers, and the jobs suspected of them, during a term."""

from collections.abc import Mapping

from corianderpitch.domain.scheduling.crashes import (
    Cell,
    CrashLog,
    RecordedRuns,
    Verdict,
    WorkerCrash,
    count_crash,
    judge,
)
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.workers import WorkerView
from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.ids import JobId, WorkerId


class CrashTracker:
    """Counts crashes for the tasks of ``jobs``, and passes verdicts on them.

    ``suspect_jobs`` have tasks that may crash the workers that start them, and
    ``cells`` holds the workers on which each of these is started in isolation.
    """

    def __init__(self, jobs: Mapping[JobId, ActiveJob]):
        self._jobs = jobs
        self._log = CrashLog()
        self._recorded_runs = RecordedRuns()
        self.suspect_jobs: set[JobId] = set()
        self.cells: dict[JobId, Cell] = {}

    def add_job(self, job: ActiveJob, workers: Mapping[WorkerId, WorkerView]) -> None:
        """Add a job, new or recovered, with what predecessors have recorded of it."""
        if job.has_suspects:
            self.suspect_jobs.add(job.job_id)
        for worker_id in self._recorded_runs.add(job):
            worker = workers.get(worker_id)
            if worker is not None and worker.incarnation is not None:
                self.count_before_term(worker_id, worker.incarnation)

    def drop_job(self, job: ActiveJob) -> None:
        """Drop a job that has ended."""
        self.suspect_jobs.discard(job.job_id)

    def clear(self, job: ActiveJob, step: ActiveStep, index: int) -> None:
        """Clear a task of suspicion: its run has ended or passed its probation."""
        step.suspects.discard(index)
        if not job.has_suspects:
            self.suspect_jobs.discard(job.job_id)

    def count(self, worker: WorkerView) -> WorkerCrash | None:
        """Count the end of a worker's process for the tasks that were at work there.

        Returns ``None`` for a planned end and if nothing was at work. Runs that had
        passed their probation are blamed only if all runs had.
        """
        runs = [*worker.runs.values(), *worker.lapsed_runs]
        worker.lapsed_runs.clear()
        if not runs or worker.is_leaving:
            return None
        unproven = [run for run in runs if not run.is_proven]
        blamed = {run.task for run in unproven or runs}
        is_explained = any(self._is_suspect(task) for task in blamed)
        suspects: dict[TaskRef, int] = {}
        for run in runs:
            crashes = self._count_run(run.task, run.number, run.is_proven)
            if crashes and run.task in blamed:
                suspects[run.task] = crashes
        crash = WorkerCrash(worker.info, suspects, is_explained)
        self._log.add(crash)
        return crash

    def count_before_term(self, worker_id: WorkerId, incarnation: str | None) -> None:
        """Count a crash before this term for the runs that a predecessor recorded.

        ``incarnation`` is the worker's present one, ``None`` if its process has ended.
        """
        for task, number in self._recorded_runs.pop_crashed(worker_id, incarnation):
            self._count_run(task, number, False)

    def pop_verdicts(self, now_ms: float) -> list[Verdict]:
        """Return the open jobs that are to be given up now."""
        verdicts = [
            judge(crash, has_common_cause)
            for crash, has_common_cause in self._log.pop_due(now_ms)
        ]
        by_job = {v.job_id: v for v in verdicts if v is not None}
        return [v for job_id, v in by_job.items() if job_id in self._jobs]

    def awaits_verdict(self, job_id: JobId) -> bool:
        """Return whether a crash that a job may have caused is not decided on yet."""
        return self._log.is_undecided(job_id)

    def _find(self, task: TaskRef) -> tuple[ActiveJob, ActiveStep] | None:
        job = self._jobs.get(task.job_id)
        step = job.find_step(task) if job is not None else None
        return (job, step) if job is not None and step is not None else None

    def _is_suspect(self, task: TaskRef) -> bool:
        found = self._find(task)
        return found is not None and task.index in found[1].suspects

    def _count_run(self, task: TaskRef, number: int, is_proven: bool) -> int:
        """Count a crash during a run; return its task's count if it is a suspect."""
        found = self._find(task)
        if found is None:
            return 0
        job, step = found
        job.is_dirty = True
        if not count_crash(step, task.index, number, is_proven):
            return 0
        self.suspect_jobs.add(job.job_id)
        return step.crash_count(task.index)
