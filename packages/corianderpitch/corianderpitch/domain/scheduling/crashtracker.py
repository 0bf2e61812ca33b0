"""Counts of crashes of workers, and the jobs suspected of them, during a term."""

from collections import Counter
from collections.abc import Iterable, Mapping

from corianderpitch.domain.scheduling.crashes import (
    CrashNotice,
    CrashRelation,
    EarlierCrash,
    IsolationGroup,
    JobGivenUp,
    Outage,
    RecordedRuns,
    WorkerCrash,
    count_crash,
    is_certain_cause,
    is_prompt,
    relate_to_crash,
)
from corianderpitch.domain.scheduling.crashlog import CrashLog
from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.workers import Run, WorkerReport, WorkerView
from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.ids import JobId, WorkerId


class CrashTracker:
    """Counts crashes for the tasks of ``jobs``, and decides which of them to give up.

    ``suspect_jobs`` have tasks that may crash the workers that start them, and
    ``groups`` holds the workers on which each of these is started in isolation.
    """

    def __init__(self, jobs: Mapping[JobId, ActiveJob]):
        self._jobs = jobs
        self._log = CrashLog()
        self._recorded_runs = RecordedRuns()
        self._given_up: dict[JobId, JobGivenUp] = {}
        self._notices: list[CrashNotice] = []
        self.suspect_jobs: set[JobId] = set()
        self.groups: dict[JobId, IsolationGroup] = {}

    def add_job(self, job: ActiveJob) -> None:
        """Add a job, new or recovered, with what predecessors have recorded of it.

        Whether a worker has crashed under a recorded run, its next report tells.
        """
        for step in job.steps():
            for index in step.suspects:
                self._suspect(TaskRef(job.job_id, step.occurrence, step.number, index))
        self._recorded_runs.add(job)

    def drop_job(self, job: ActiveJob) -> None:
        """Drop a job that has ended."""
        self.suspect_jobs.discard(job.job_id)

    def clear(self, job: ActiveJob, step: ActiveStep, index: int) -> None:
        """Clear a task of suspicion: its run has ended or passed its probation."""
        if index in step.suspects:
            step.clear_crashes(index)
            job.is_dirty = True
        if not job.has_suspects:
            self.suspect_jobs.discard(job.job_id)

    def pop_notices(self) -> list[CrashNotice]:
        """Return the crashes and decisions since the last call, for the log."""
        notices, self._notices = self._notices, []
        return notices

    def count(self, worker: WorkerView, ended: Iterable[Run]) -> None:
        """Count the end of a worker's process for the tasks that were at work there.

        ``ended`` are the runs that ended with it, besides those lost before.
        A planned end does not count. Runs that had passed their probation are likely
        only if all runs had. The end of an idle worker is evidence of a common cause.
        """
        runs = [*ended, *worker.lapsed_runs]
        worker.lapsed_runs.clear()
        if worker.is_leaving:
            return
        relations = self._relate(worker, runs)
        likely_runs = _likely_runs(relations)
        likely = {run.task for run in likely_runs}
        had_suspect = any(self._is_suspect(task) for task in likely)
        suspects: dict[TaskRef, int] = {}
        for run, relation in relations:
            crashes = self._count_run(run.task, run.number, relation)
            if crashes is not None and run.task in likely:
                suspects[run.task] = crashes
        crash = WorkerCrash(
            Outage.from_worker(worker, had_suspect),
            suspects,
            is_prompt(worker, likely_runs),
            Counter(relation for _, relation in relations),
        )
        self._log.add(crash)
        if runs:
            self._notices.append(crash)

    def count_before_term(
        self, worker_id: WorkerId, report: WorkerReport | None
    ) -> None:
        """Count a crash before this term for the runs that a predecessor recorded.

        It is not known how soon after their starts the worker crashed.
        ``report`` is a complete one of the worker, ``None`` if its process has ended.
        Runs that the process lists are its own, whatever the predecessor recorded.
        """
        runs = self._recorded_runs.pop_crashed(worker_id, report)
        suspects = tuple(
            task
            for task, number in runs
            if self._count_run(task, number, CrashRelation.POSSIBLE) is not None
        )
        if suspects:
            self._notices.append(EarlierCrash(worker_id, suspects))

    def pop_given_up(
        self, workers: Iterable[WorkerView], now_ms: float
    ) -> list[JobGivenUp]:
        """Return the open jobs that are to be given up now."""
        silent = self._outages(workers)
        for decision in self._log.pop_given_up(silent, now_ms):
            self._given_up.setdefault(decision.task.job_id, decision)
        passed, self._given_up = self._given_up, {}
        decisions = [v for job_id, v in passed.items() if job_id in self._jobs]
        self._notices += decisions
        return decisions

    def awaits_decision(self, job_id: JobId) -> bool:
        """Return whether a crash that a job may have caused is not decided on yet."""
        return self._log.is_undecided(job_id)

    def _outages(self, workers: Iterable[WorkerView]) -> Iterable[Outage]:
        """Return the outages of the silent workers whose end is not planned."""
        for worker in workers:
            if worker.silent_since_ms is None or worker.is_leaving:
                continue
            relations = self._relate(worker, worker.runs.values())
            had_suspect = any(
                self._is_suspect(run.task) for run in _likely_runs(relations)
            )
            yield Outage.from_worker(worker, had_suspect)

    def _relate(
        self, worker: WorkerView, runs: Iterable[Run]
    ) -> list[tuple[Run, CrashRelation]]:
        """Return the runs of open jobs, each with its relation to a worker's crash."""
        relations: list[tuple[Run, CrashRelation]] = []
        for run in runs:
            found = self._find(run.task)
            if found is not None:
                relation = relate_to_crash(found[1], run, worker.silent_since_ms)
                relations.append((run, relation))
        return relations

    def _find(self, task: TaskRef) -> tuple[ActiveJob, ActiveStep] | None:
        job = self._jobs.get(task.job_id)
        step = job.find_step(task) if job is not None else None
        return (job, step) if job is not None and step is not None else None

    def _is_suspect(self, task: TaskRef) -> bool:
        found = self._find(task)
        return found is not None and task.index in found[1].suspects

    def _count_run(
        self, task: TaskRef, number: int, relation: CrashRelation
    ) -> int | None:
        """Count a crash during a run.

        Returns the number of crashes confirmed for its task if that is a suspect.
        """
        found = self._find(task)
        if found is None:
            return None
        job, step = found
        job.is_dirty = True
        if not count_crash(step, task.index, number, relation):
            return None
        return self._suspect(task)

    def _suspect(self, task: TaskRef) -> int:
        """Isolate the job of a suspect, or give it up.

        Returns the number of crashes confirmed for the suspect.
        """
        self.suspect_jobs.add(task.job_id)
        found = self._find(task)
        if found is None:
            return 0
        step = found[1]
        crashes = step.confirmed_crash_count(task.index)
        if is_certain_cause(step, task.index):
            self._given_up.setdefault(task.job_id, JobGivenUp(task, crashes))
        return crashes


def _likely_runs(relations: Iterable[tuple[Run, CrashRelation]]) -> list[Run]:
    """Return the runs that may have just begun, or the late ones if there are none."""
    recent = (CrashRelation.RECENT, CrashRelation.POSSIBLE)
    for likely in (recent, (CrashRelation.LATE,)):
        if runs := [run for run, relation in relations if relation in likely]:
            return runs
    return []
