"""Job scheduler task: places the jobs of its data centre while it holds that role.

The table holds every job. The holder of the role also keeps the jobs in memory and
is the only entry that changes them, except for submissions and cancellations: any
entry writes these to the table and lists them in the inbox row. A job is committed
as running before its task is started. The task's id is derived from the job's row,
so that a successor can safely repeat the start of the same task.
"""

from collections.abc import Iterable

import eventlet
from returns.result import Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.domain.fleetsections import FleetFile
from corianderpitch.domain.jobs import Job, JobState, Task, TaskState, Worker
from corianderpitch.domain.membership import MemberInfo
from corianderpitch.domain.placement import (
    JobChange,
    JobsSnapshot,
    JobStep,
    StopTask,
    UsageEstimator,
    WorkerFailureTracker,
    apply_task_reports,
    place_jobs,
)
from corianderpitch.ids import JobId, TaskId, WorkerId
from corianderpitch.ports import Check, Row, TableService, TaskSpec, Workers, Write
from corianderpitch.records import (
    DrainedWorkers,
    JobInbox,
    decode_row,
    drained_workers_key,
    encode_row,
    job_inbox_key,
    job_key,
    job_prefix,
)

BUSY_TICK_MS = 300.0
IDLE_TICK_MS = 500.0
ROLE_RENEW_INTERVAL_MS = 2000.0
JOB_SCHEDULER_LEASE_MS = 8000.0
WORKER_LIST_INTERVAL_MS = 5000.0
ROWS_PER_COMMIT = 100
MAX_ENDED_JOBS = 1000

log = logger("jobs")


class JobSchedulerTask:
    """Schedules the jobs of one data centre on its workers."""

    def __init__(
        self,
        own: MemberInfo,
        members: MembershipTask,
        documents: DocumentTask,
        table: TableService,
        workers: Workers,
        clock: Clock,
    ):
        self._site = own.data_center
        self._members = members
        self._documents = documents
        self._table = table
        self._workers = workers
        self._clock = clock
        self._role = RoleLease(
            f"jobs-{self._site}",
            own.entry,
            table,
            clock,
            ROLE_RENEW_INTERVAL_MS,
            JOB_SCHEDULER_LEASE_MS,
        )
        self._reset_state()

    def _reset_state(self) -> None:
        """Discard the state of an earlier term."""
        self._jobs: dict[JobId, Job] = {}
        self._versions: dict[JobId, int] = {}
        self._inbox_version = 0
        self._drained_workers = DrainedWorkers()
        self._drained_workers_version = 0
        self._workers_by_id: dict[WorkerId, Worker] = {}
        self._tasks: dict[TaskId, Task] = {}
        self._task_cursor = 0
        self._usage_estimator = UsageEstimator()
        self._failure_tracker = WorkerFailureTracker()
        self._must_rescan = True
        self._next_list_ms = 0.0
        self._next_renew_ms = 0.0

    @property
    def is_holder(self) -> bool:
        """Return whether this entry places the jobs of its data centre."""
        return self._role.has_valid_lease

    def quarantined(self) -> frozenset[WorkerId]:
        """Return the workers that get no jobs because too many jobs failed there."""
        return self._failure_tracker.quarantined()

    def run(self) -> None:
        """Try to acquire the role, and place jobs while holding it, for ever."""
        while True:
            if self._role.is_held:
                self.run_round()
            elif self._may_acquire_role():
                self.try_acquire_role()
            eventlet.sleep(self._interval_ms() / 1000.0)

    def _interval_ms(self) -> float:
        if not self._role.is_held:
            return ROLE_RENEW_INTERVAL_MS
        return BUSY_TICK_MS if self._has_open_jobs() else IDLE_TICK_MS

    def _has_open_jobs(self) -> bool:
        return any(not job.state.has_ended for job in self._jobs.values())

    def try_acquire_role(self) -> bool:
        """Acquire the role if it is free; return whether it was acquired."""
        if not self._role.try_acquire():
            return False
        self._reset_state()
        return True

    def _may_acquire_role(self) -> bool:
        return self._documents.is_ready and self._members.has_highest_name()

    def run_round(self) -> None:
        """Run one scheduling round while this entry holds the role.

        The round reads what has changed, applies the workers' task reports, places
        queued jobs, starts their tasks and renews the leases of running tasks.
        """
        config = self._documents.config
        if config is None or not self._role.renew() or not self._refresh():
            return
        site = config.for_site(self._site)
        snapshot = self._snapshot(site)
        self._apply_steps(
            apply_task_reports(snapshot, self._failure_tracker, self._clock.wall_ms())
        )
        self._apply_steps(
            place_jobs(snapshot, self._usage_estimator, self.quarantined())
        )
        self._start_tasks(site.jobs.lease_ms)
        self._renew_tasks(site.jobs.lease_ms)
        self._delete_old_jobs()

    def _snapshot(self, site: FleetFile) -> JobsSnapshot:
        return JobsSnapshot(
            self._jobs,
            self._workers_by_id,
            self._tasks,
            site.quotas(),
            site.jobs.default_quota(),
            self._drained_workers.drained,
        )

    def _refresh(self) -> bool:
        """Read the workers, jobs and tasks that have changed.

        Return whether the jobs, and the tasks if they are needed, were read. An
        outdated list of workers is used until it can be read again.
        """
        now_ms = self._clock.now_ms()
        if now_ms >= self._next_list_ms:
            match self._workers.list_workers(self._site):
                case Success(workers):
                    self._workers_by_id = {worker.worker: worker for worker in workers}
                    self._next_list_ms = now_ms + WORKER_LIST_INTERVAL_MS
        if self._must_rescan and not self._scan_jobs():
            return False
        if not self._read_inbox():
            return False
        return not self._has_open_jobs() or self._read_tasks()

    def _scan_jobs(self) -> bool:
        """Read every job, at the start of a term or after an overflow of the inbox."""
        match self._table.scan(job_prefix(self._site)):
            case Success(rows):
                self._jobs.clear()
                self._versions.clear()
                for row in rows:
                    self._store_job(row)
                self._must_rescan = False
                return True
        return False

    def _read_tasks(self) -> bool:
        match self._workers.changed_tasks(self._site, self._task_cursor):
            case Success(changes):
                self._task_cursor = changes.cursor
                for task in changes.tasks:
                    self._tasks[task.task_id] = task
                    self._observe_usage(task)
                return True
        return False

    def _observe_usage(self, task: Task) -> None:
        job = self._jobs.get(task.job_id)
        if job is not None and task.usage.processors > 0.0:
            self._usage_estimator.observe(job.kind, task.usage)

    def _read_inbox(self) -> bool:
        """Read the drained workers and the jobs in the inbox, then clear the inbox."""
        inbox_key = job_inbox_key(self._site)
        workers_key = drained_workers_key(self._site)
        known_versions = {
            inbox_key: self._inbox_version,
            workers_key: self._drained_workers_version,
        }
        match self._table.read(known_versions):
            case Success(rows):
                if workers_key in rows:
                    self._drained_workers = decode_row(
                        DrainedWorkers, rows[workers_key].value
                    )
                    self._drained_workers_version = rows[workers_key].version
                return inbox_key not in rows or self._process_inbox(rows[inbox_key])
        return False

    def _process_inbox(self, row: Row) -> bool:
        inbox = decode_row(JobInbox, row.value)
        self._inbox_version = row.version
        if inbox.must_rescan:
            self._must_rescan = True
        elif inbox.job_ids and not self._read_jobs(inbox.job_ids):
            self._inbox_version = 0
            return False
        if inbox == JobInbox():
            return True
        check = Check(row.key, row.version)
        write = Write(row.key, encode_row(JobInbox()))
        match self._table.commit((self._role.fence(), check), (write,)):
            case Success(versions):
                self._inbox_version = versions[row.key]
        return True

    def _read_jobs(self, job_ids: Iterable[JobId]) -> bool:
        known_versions = {
            job_key(self._site, j): self._versions.get(j, 0) for j in job_ids
        }
        match self._table.read(known_versions):
            case Success(rows):
                for row in rows.values():
                    self._store_job(row)
                return True
        return False

    def _store_job(self, row: Row) -> None:
        job = decode_row(Job, row.value)
        self._jobs[job.job_id] = job
        self._versions[job.job_id] = row.version

    def _apply_steps(self, steps: list[JobStep]) -> None:
        changes = [step.job for step in steps if isinstance(step, JobChange)]
        for first in range(0, len(changes), ROWS_PER_COMMIT):
            self._commit(changes[first : first + ROWS_PER_COMMIT])
        for step in steps:
            if isinstance(step, StopTask):
                self._workers.stop_task(step.task_id, step.has_checkpoint)

    def _commit(self, jobs: list[Job]) -> None:
        """Write jobs in one transaction.

        If the transaction fails, the role is verified and the jobs are read again.
        """
        checks = [self._role.fence()]
        writes = []
        for job in jobs:
            key = job_key(self._site, job.job_id)
            checks.append(Check(key, self._versions[job.job_id]))
            writes.append(Write(key, encode_row(job)))
        match self._table.commit(tuple(checks), tuple(writes)):
            case Success(versions):
                for job in jobs:
                    self._jobs[job.job_id] = job
                    self._versions[job.job_id] = versions[
                        job_key(self._site, job.job_id)
                    ]
                    self._log_state(job)
            case _:
                self._role.verify_holder()
                self._read_jobs([job.job_id for job in jobs])

    def _log_state(self, job: Job) -> None:
        location = f" on {job.worker}" if job.worker else ""
        log.info("Job {} is {}{}.", job.job_id, job.state.value, location)

    def _start_tasks(self, lease_ms: int) -> None:
        """Start the tasks of running jobs that the platform has not reported yet."""
        if not self._role.is_held:
            return
        for job in self._running_jobs():
            if job.task_id not in self._tasks:
                spec = TaskSpec(
                    job.task_id,
                    job.job_id,
                    job.worker,
                    job.shape,
                    job.command,
                    lease_ms,
                )
                self._workers.start_task(spec)

    def _renew_tasks(self, lease_ms: int) -> None:
        now_ms = self._clock.now_ms()
        running = tuple(
            job.task_id
            for job in self._running_jobs()
            if job.task_id in self._tasks
            and self._tasks[job.task_id].state is TaskState.RUNNING
        )
        if not running or now_ms < self._next_renew_ms:
            return
        self._next_renew_ms = now_ms + lease_ms / 3.0
        self._workers.renew_tasks(running, lease_ms)

    def _running_jobs(self) -> list[Job]:
        return [j for j in self._jobs.values() if j.state is JobState.RUNNING]

    def _delete_old_jobs(self) -> None:
        """Delete the oldest ended jobs, at most ``ROWS_PER_COMMIT`` at a time.

        The ``MAX_ENDED_JOBS`` jobs that ended last are kept for operators.
        """
        ended = [job for job in self._jobs.values() if job.state.has_ended]
        excess = len(ended) - MAX_ENDED_JOBS
        if excess <= 0:
            return
        oldest = sorted(ended, key=lambda job: job.ended_ms)[:excess][:ROWS_PER_COMMIT]
        keys = {job.job_id: job_key(self._site, job.job_id) for job in oldest}
        checks = tuple(Check(keys[j], self._versions[j]) for j in keys)
        writes = tuple(Write(key, None) for key in keys.values())
        match self._table.commit((self._role.fence(), *checks), writes):
            case Success(_):
                for job_id in keys:
                    del self._jobs[job_id], self._versions[job_id]
