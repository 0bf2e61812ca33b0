"""The scheduler: jobs, workers and runs of all pools, and what follows from events.

It does no I/O and reads no clock. Every method takes the holder's time in
milliseconds; orders are collected and handed out by ``take_orders``.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.orders import (
    Order,
    OrderResult,
    PaceRun,
    RunNotice,
    SettleWorker,
    StartRun,
    StopRun,
)
from corianderpitch.domain.scheduling.progress import (
    ActiveJob,
    ActiveStep,
    ProgressRecord,
)
from corianderpitch.domain.scheduling.workers import (
    EndKind,
    EndRef,
    ListedEnd,
    ListedRun,
    Run,
    RunState,
    WorkerInfo,
    WorkerReport,
    WorkerView,
)
from corianderpitch.domain.scheduling.workloads import Queue, TaskRef
from corianderpitch.ids import JobId, QueueName, WorkerId

FENCES_PER_TERM = 1_000_000  # room for the numbers raised within one term
RUNS_PER_TERM = 1_000_000  # run numbers of a later term are always higher
STOP_REPEAT_MS = 500.0
REST_AFTER_REFUSAL_MS = 100.0
REST_AFTER_TROUBLE_MS = 1000.0
REST_AFTER_FAILURES_MS = 4000.0
FAILED_JOBS_TO_REST = 2


@dataclass(frozen=True, slots=True)
class Term:
    """One tenure of the scheduler's role.

    ``number`` counts tenures; ``version`` is the store's version of the row
    that began it, and so larger than that of any tenure before, of any role.
    ``leases_end_ms`` is when every lease of a predecessor has lapsed.
    """

    number: int
    version: int
    leases_end_ms: float

    @property
    def fence(self) -> int:
        """Return the lowest fence number of the tenure."""
        return self.version * FENCES_PER_TERM


@dataclass(frozen=True, slots=True)
class JobChange:
    """A job's progress to be committed; a final one ends the job.

    ``ends`` are those that it takes in; workers keep them until then.
    """

    job: ActiveJob
    record: ProgressRecord
    ends: tuple[EndRef, ...] = ()

    @property
    def is_final(self) -> bool:
        """Tell whether the job has ended."""
        return self.record.state.has_ended


class Scheduler:
    """State of one tenure, and the transitions on each event."""

    def __init__(self, term: Term):
        self.term = term
        self.queues: dict[QueueName, Queue] = {}
        self.jobs: dict[JobId, ActiveJob] = {}
        self.ended: set[JobId] = set()
        self.diverted: set[JobId] = set()  # served from their fallback partitions
        self.filler_jobs: set[JobId] = set()
        self.workers: dict[WorkerId, WorkerView] = {}
        self.unheard: set[WorkerId] = set()
        self.is_superseded = False
        self.leases_end_ms = term.leases_end_ms
        self.is_whole = True  # all partitions of jobs have been read
        self._numbers = term.number * RUNS_PER_TERM
        self._fence_bump = 0
        self._orders: list[Order] = []
        self._notices: list[RunNotice] = []
        self._final: dict[JobId, tuple[ActiveJob, ProgressRecord]] = {}
        self._ending: dict[JobId, ActiveJob] = {}  # final record not committed yet
        self._stops_sent_ms: dict[tuple[TaskRef, int], float] = {}

    # Inputs from the store.

    def set_queues(self, queues: Mapping[QueueName, Queue]) -> None:
        """Put a configuration's queues in force."""
        self.queues = dict(queues)

    def add_job(self, job: ActiveJob) -> None:
        """Take a job in, new or recovered.

        Rows read before a job's end was committed still name it as open.
        """
        if job.job_id in self.jobs or job.job_id in self.ended:
            return
        job.is_uncertain = job.version < self.term.version
        self.jobs[job.job_id] = job
        if job.workload.has_fillers:
            self.filler_jobs.add(job.job_id)

    def cancel_job(self, job_id: JobId) -> None:
        """End a job at its caller's wish; its runs are stopped."""
        job = self.jobs.get(job_id)
        if job is not None:
            self._end_job(job, JobState.CANCELLED)

    def set_worker(self, info: WorkerInfo, now_ms: float) -> bool:
        """Take in what the platform's list says of a worker; True if it is new."""
        worker = self.workers.get(info.worker)
        is_new = worker is None
        if worker is None:
            worker = WorkerView(info, now_ms, fence_bump=self._fence_bump)
            self.workers[info.worker] = worker
        elif info.life not in (worker.info.life, worker.life):
            self._begin_life(worker, None)
        worker.info = info
        worker.is_listed = True
        if not info.is_draining:
            worker.draining_since_ms = None
        elif worker.draining_since_ms is None:
            worker.draining_since_ms = now_ms
        return is_new

    def unlist_worker(self, worker_id: WorkerId) -> None:
        """Note that a worker is no longer listed; its leases may still run."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.is_listed = False

    # Inputs from workers.

    def take_report(
        self, worker_id: WorkerId, report: WorkerReport, asked_ms: float, now_ms: float
    ) -> None:
        """Take in a worker's list that was asked for at ``asked_ms``."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if report.life != worker.life:
            self._begin_life(worker, report.life)
        worker.clock_ms = report.clock_ms
        worker.clock_at_ms = now_ms
        worker.is_silent = False
        self._take_ends(worker, report.ended, now_ms)
        listed = {(run.task, run.number) for run in report.running}
        worker.has_unread_runs = any(
            self._may_be_unread(run.task.job_id) for run in report.running
        )
        for run in report.running:
            self._take_run(worker, run, now_ms)
        if not report.is_whole:
            return
        for run in list(worker.runs.values()):
            if (run.task, run.number) not in listed:
                self._take_absence(worker, run, asked_ms)
        self.unheard.discard(worker_id)

    def take_silence(self, worker_id: WorkerId) -> None:
        """Note that a worker did not answer; nothing new is given to it."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.is_silent = True

    def take_result(self, order: Order, result: OrderResult, now_ms: float) -> None:
        """Take in what came of an order."""
        match order:
            case StartRun():
                self._take_start_result(order, result, now_ms)
            case PaceRun() if result is OrderResult.DONE:
                self._take_pace(order)
            case StopRun() | PaceRun() if result is OrderResult.SUPERSEDED:
                self._check_fence(order.worker, order.fence)

    def lease(self, worker_id: WorkerId, length_ms: float, now_ms: float) -> int | None:
        """Return until when, on its own clock, a worker's lease is extended.

        ``None`` stands for a worker whose clock is not known yet.
        """
        worker = self.workers[worker_id]
        clock_ms = worker.clock_estimate_ms(now_ms)
        if clock_ms is None:
            return None
        until_ms = int(clock_ms + length_ms)
        worker.leased_until_ms = max(worker.leased_until_ms, until_ms)
        return until_ms

    def take_gone(self, worker_ids: Iterable[WorkerId]) -> None:
        """Note that the processes of workers have certainly ended."""
        for worker_id in worker_ids:
            self.unheard.discard(worker_id)
            worker = self.workers.get(worker_id)
            if worker is not None and worker.is_silent:
                worker.has_unread_runs = False
                for run in list(worker.runs.values()):
                    self._lose(worker, run)

    def workers_to_record(self) -> set[WorkerId]:
        """Return the workers that may run something: known here, or unheard of."""
        return set(self.workers) | self.unheard

    def hear_again(self, leases_end_ms: float) -> None:
        """Ask all workers anew what runs there, for jobs that are read late.

        Their runs were left alone so far, and are leased like all others.
        """
        self.unheard = set(self.workers)
        self.leases_end_ms = leases_end_ms

    def note_recorded(self, worker_ids: Iterable[WorkerId]) -> None:
        """Note that the store names these workers."""
        for worker_id in worker_ids:
            if worker_id in self.workers:
                self.workers[worker_id].is_recorded = True

    def fence_of(self, worker_id: WorkerId) -> int:
        """Return the fence number that orders to a worker carry."""
        return self.term.fence + self.workers[worker_id].fence_bump

    def expire(self, now_ms: float) -> None:
        """Give up runs whose lease has lapsed, and forget workers that are gone."""
        if now_ms >= self.leases_end_ms:
            self.unheard.clear()
        for worker in list(self.workers.values()):
            lapsed = worker.lease_end_ms(self.leases_end_ms) <= now_ms
            if lapsed and worker.is_silent:
                worker.has_unread_runs = False
                for run in list(worker.runs.values()):
                    self._lose(worker, run)
                self.unheard.discard(worker.info.worker)
            is_gone = not worker.is_listed and not worker.is_running and lapsed
            if worker.is_silent and lapsed and not worker.is_listed:
                worker.open_ends.clear()
            if is_gone and worker.seen == worker.settled:
                del self.workers[worker.info.worker]
                self.unheard.discard(worker.info.worker)

    def is_certain(self, job: ActiveJob, now_ms: float) -> bool:
        """Tell whether what waits of a job cannot be running unknown to us."""
        if job.is_uncertain and (not self.unheard or now_ms >= self.leases_end_ms):
            job.is_uncertain = False
        return not job.is_uncertain

    # Outputs.

    def next_number(self) -> int:
        """Return a run number above all before."""
        self._numbers += 1
        return self._numbers

    def start(
        self,
        job: ActiveJob,
        step: ActiveStep,
        index: int,
        worker: WorkerView,
        now_ms: float,
        number: int = 0,
    ) -> None:
        """Order the start of a task; the tasks of a gang share their ``number``."""
        number = number or self.next_number()
        task = TaskRef(job.job_id, step.occurrence, step.number, index)
        fence = self.fence_of(worker.info.worker)
        run = Run(
            task,
            number,
            worker.info.worker,
            step.step.room,
            fence,
            RunState.STARTING,
            now_ms,
        )
        worker.add(run)
        step.runs.setdefault(index, []).append(run)
        step.pending.discard(index)
        step.begun.add(index)
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
        self._changed(job)
        self._orders.append(
            StartRun(
                worker.info.worker,
                task,
                run.number,
                job.workload.text,
                step.checkpoints.get(index, ""),
                fence,
                step.ticket_for(worker.info.worker),
            )
        )

    def stop(self, run: Run, now_ms: float) -> None:
        """Order a run to stop, again if the last order is some time ago."""
        key = (run.task, run.number)
        if now_ms - self._stops_sent_ms.get(key, -STOP_REPEAT_MS) < STOP_REPEAT_MS:
            return
        self._stops_sent_ms[key] = now_ms
        if run.state is not RunState.UNSETTLED:
            run.state = RunState.STOPPING
        self._order_stop(run.worker, run.task, run.number)

    def take_orders(self) -> list[Order]:
        """Return the orders given since the last call."""
        orders, self._orders = self._orders, []
        return orders

    def take_notices(self) -> list[RunNotice]:
        """Return which runs have ended otherwise than done since the last call."""
        notices, self._notices = self._notices, []
        return notices

    def take_changes(self) -> list[JobChange]:
        """Return what is to be committed, with the ends that each settles."""
        changes = [
            JobChange(job, record, job.take_open_ends())
            for job, record in self._final.values()
        ]
        self._final = {}
        for job in self.jobs.values():
            if job.is_dirty:
                job.is_dirty = False
                changes.append(JobChange(job, job.record(), job.take_open_ends()))
        return changes

    def keep_changes(self, changes: Iterable[JobChange]) -> None:
        """Take back changes whose commit failed, to be committed again.

        The job may have ended since; its ends then wait for its final record.
        """
        for change in changes:
            job = change.job
            job.open_ends = [*change.ends, *job.open_ends]
            if change.is_final:
                self._final.setdefault(job.job_id, (job, change.record))
            else:
                job.is_dirty = True

    def settle(self, changes: Iterable[JobChange]) -> None:
        """Note that changes are committed; workers may forget their ends."""
        for change in changes:
            ends = change.ends
            if change.is_final:
                del self._ending[change.job.job_id]
                ends += change.job.take_open_ends()
            for end in ends:
                worker = self.workers.get(end.worker)
                if worker is not None and worker.life == end.life:
                    worker.open_ends.discard(end.sequence)

    @property
    def has_final_changes(self) -> bool:
        """Tell whether the end of a job waits to be committed."""
        return bool(self._final)

    # Transitions.

    def _changed(self, job: ActiveJob) -> None:
        job.is_dirty = True

    def _begin_life(self, worker: WorkerView, life: str | None) -> None:
        """Start afresh with a worker; whatever ran in its earlier life is gone.

        The fence is raised, so that a start which is still under way to the
        earlier life does nothing in the new one.
        """
        had_life = worker.life is not None
        worker.life = life
        worker.seen = 0
        worker.taken_ahead.clear()
        worker.open_ends.clear()
        worker.has_unread_runs = False
        worker.clock_ms = None
        worker.leased_until_ms = 0.0
        worker.failed_jobs.clear()
        if had_life:
            self._raise_fence(worker)
            for run in list(worker.runs.values()):
                self._lose(worker, run)

    def _notice(self, worker: WorkerView, task: TaskRef, number: int, how: str) -> None:
        self._notices.append(RunNotice(worker.info.worker, task, number, how))

    def _raise_fence(self, worker: WorkerView) -> None:
        """Raise a worker's fence above all of this tenure, also of forgotten ones."""
        self._fence_bump += 1
        worker.fence_bump = self._fence_bump

    def _take_ends(
        self, worker: WorkerView, ends: Iterable[ListedEnd], now_ms: float
    ) -> None:
        """Take in the ends that are new.

        One of a job that is not read yet waits; the worker lists it again, with all
        behind it. These are taken in meanwhile, for their runs are not lost.
        """
        worker.has_unread_ends = False
        for end in sorted(ends, key=lambda e: e.sequence):
            if end.sequence <= worker.seen:
                continue
            if self._may_be_unread(end.task.job_id):
                worker.has_unread_ends = True
                continue
            if end.sequence not in worker.taken_ahead:
                self._take_end(worker, end, now_ms)
            if worker.has_unread_ends:
                worker.taken_ahead.add(end.sequence)
            else:
                worker.taken_ahead.discard(end.sequence)
                worker.seen = end.sequence

    def _take_end(self, worker: WorkerView, end: ListedEnd, now_ms: float) -> None:
        self._stops_sent_ms.pop((end.task, end.number), None)
        run = worker.runs.get(end.task)
        if run is not None and run.number == end.number:
            worker.drop(run)
        self._hold_end(worker, end)
        job = self.jobs.get(end.task.job_id)
        step = job.find(end.task) if job is not None else None
        if job is None or step is None:
            return
        index = end.task.index
        if run is not None and run.number == end.number:
            self._forget(step, run)
        if index in step.done:
            return
        self._changed(job)
        if end.kind is not EndKind.DONE:
            self._notice(worker, end.task, end.number, end.kind.value)
        match end.kind:
            case EndKind.DONE:
                worker.failed_jobs.clear()
                self._finish(job, step, index, now_ms)
                return
            case EndKind.FAILED if not step.step.is_lasting:
                step.failed.setdefault(index, set()).add(end.number)
                job.avoid(step.number, index, worker.info.worker)
                self._blame(worker, job, now_ms)
                if step.failures(index) >= self._max_attempts(job):
                    self._end_job(job, JobState.FAILED)
                    return
        if end.checkpoint:
            step.checkpoints[index] = end.checkpoint
        if not step.runs.get(index):
            step.pending.add(index)

    def _hold_end(self, worker: WorkerView, end: ListedEnd) -> None:
        """Let a worker keep an end until the job that it concerns is committed."""
        job_id = end.task.job_id
        job = self.jobs.get(job_id) or self._ending.get(job_id)
        if job is not None and worker.life is not None:
            ref = EndRef(worker.info.worker, worker.life, end.sequence)
            job.open_ends.append(ref)
            job.is_dirty = True
            worker.open_ends.add(end.sequence)

    def _finish(
        self, job: ActiveJob, step: ActiveStep, index: int, now_ms: float
    ) -> None:
        """Note that a task is done; all of a gang's tasks end together."""
        for each in range(step.step.count) if step.step.is_gang else (index,):
            step.finish(each)
            for copy in step.runs.get(each, ()):
                self.stop(copy, now_ms)
        job.recount()
        if step.is_done and job.settle_occurrences():
            self._end_job(job, JobState.DONE)

    def _blame(self, worker: WorkerView, job: ActiveJob, now_ms: float) -> None:
        """Rest a worker on which runs of several jobs in a row have failed."""
        if job.job_id not in worker.failed_jobs:
            worker.failed_jobs.append(job.job_id)
        if len(worker.failed_jobs) >= FAILED_JOBS_TO_REST:
            worker.rest_until_ms = now_ms + REST_AFTER_FAILURES_MS

    def _max_attempts(self, job: ActiveJob) -> int:
        queue = self.queues.get(job.workload.queue)
        return queue.max_attempts if queue is not None else 1

    def _take_run(self, worker: WorkerView, listed: ListedRun, now_ms: float) -> None:
        run = worker.runs.get(listed.task)
        job = self.jobs.get(listed.task.job_id)
        step = job.find(listed.task) if job is not None else None
        is_known = run is not None and run.number == listed.number
        if not is_known and step is not None and self._may_adopt(step, listed):
            self._adopt(worker, job, step, listed, now_ms)
            return
        if not is_known or step is None or listed.task.index in step.done:
            if not self._may_be_unread(listed.task.job_id):
                self._stop_unknown(worker, listed, now_ms)
            return
        run.percent = listed.percent
        run.load = listed.load
        if run.state in (RunState.STARTING, RunState.UNSETTLED):
            run.state = RunState.RUNNING
            run.since_ms = now_ms  # lists asked for before may not know of it yet
        if listed.checkpoint:
            step.checkpoints[listed.task.index] = listed.checkpoint
        if run.state is RunState.STOPPING:
            self.stop(run, now_ms)

    def _may_be_unread(self, job_id: JobId) -> bool:
        """Tell whether a job may be in a partition that could not be read yet."""
        is_known = job_id in self.jobs or job_id in self.ended
        return not self.is_whole and not is_known

    def _may_adopt(self, step: ActiveStep, listed: ListedRun) -> bool:
        index = listed.task.index
        is_free = index not in step.done and not step.runs.get(index)
        return is_free or (step.step.is_speculative and index not in step.done)

    def _adopt(
        self,
        worker: WorkerView,
        job: ActiveJob,
        step: ActiveStep,
        listed: ListedRun,
        now_ms: float,
    ) -> None:
        """Take over a run that a predecessor has started."""
        fence = self.fence_of(worker.info.worker)
        run = Run(
            listed.task,
            listed.number,
            worker.info.worker,
            step.step.room,
            fence,
            RunState.RUNNING,
            now_ms,
            listed.percent,
            listed.load,
        )
        worker.add(run)
        step.runs.setdefault(listed.task.index, []).append(run)
        step.pending.discard(listed.task.index)
        step.begun.add(listed.task.index)
        job.state = JobState.RUNNING
        self._changed(job)

    def _stop_unknown(
        self, worker: WorkerView, listed: ListedRun, now_ms: float
    ) -> None:
        """Stop a run that nobody needs: its job has ended, or it is a double."""
        key = (listed.task, listed.number)
        if now_ms - self._stops_sent_ms.get(key, -STOP_REPEAT_MS) < STOP_REPEAT_MS:
            return
        self._stops_sent_ms[key] = now_ms
        self._order_stop(worker.info.worker, listed.task, listed.number)

    def _order_stop(self, worker: WorkerId, task: TaskRef, number: int) -> None:
        self._orders.append(StopRun(worker, task, number, self.fence_of(worker)))

    def _take_absence(self, worker: WorkerView, run: Run, asked_ms: float) -> None:
        """Draw conclusions from a run that a list does not name.

        A list that was asked for before the start was answered proves nothing.
        One under a fence number above the start's does, also where the start
        got no answer: it can no longer be carried out.
        """
        if run.state is RunState.UNSETTLED:
            is_gone = asked_ms >= run.since_ms and worker.fence_bump > (
                run.fence - self.term.fence
            )
        else:
            is_gone = run.state is not RunState.STARTING and asked_ms >= run.since_ms
        if is_gone:
            self._lose(worker, run)

    def _lose(self, worker: WorkerView, run: Run) -> None:
        """Forget a run that has certainly ended without an end in a list."""
        worker.drop(run)
        self._notice(worker, run.task, run.number, f"lost_{run.state.value}")
        self._stops_sent_ms.pop((run.task, run.number), None)
        job = self.jobs.get(run.task.job_id)
        step = job.find(run.task) if job is not None else None
        if job is None or step is None:
            return
        self._forget(step, run)
        if run.task.index not in step.done and not step.runs.get(run.task.index):
            step.pending.add(run.task.index)
        self._changed(job)

    def _forget(self, step: ActiveStep, run: Run) -> None:
        runs = step.runs.get(run.task.index, [])
        step.runs[run.task.index] = [other for other in runs if other is not run]
        if not step.runs[run.task.index]:
            del step.runs[run.task.index]

    def _end_job(self, job: ActiveJob, state: JobState) -> None:
        """End a job: its record is final, and its runs are stopped."""
        del self.jobs[job.job_id]
        self.ended.add(job.job_id)
        self.filler_jobs.discard(job.job_id)
        job.state = state
        record = ProgressRecord(state, job.finished)
        self._final[job.job_id] = (job, record)
        self._ending[job.job_id] = job
        for run in list(job.runs()):
            self._order_stop(run.worker, run.task, run.number)
            if run.state is not RunState.UNSETTLED:
                run.state = RunState.STOPPING

    def _take_start_result(
        self, order: StartRun, result: OrderResult, now_ms: float
    ) -> None:
        worker = self.workers.get(order.worker)
        run = worker.runs.get(order.task) if worker is not None else None
        if worker is None or run is None or run.number != order.number:
            return
        match result:
            case OrderResult.DONE:
                if run.state is RunState.STARTING:
                    run.state = RunState.RUNNING
                run.since_ms = now_ms
                return
            case OrderResult.NO_ANSWER:
                if run.state is RunState.STARTING:
                    run.state = RunState.UNSETTLED
                    run.since_ms = now_ms
                    self._raise_fence(worker)
                    self._orders.append(SettleWorker(order.worker))
                return
            case OrderResult.SUPERSEDED:
                self._check_fence(order.worker, order.fence)
            case OrderResult.NOT_ALLOWED:
                self._drop_ticket(order)
            case OrderResult.NO_ROOM:
                worker.rest_until_ms = now_ms + REST_AFTER_REFUSAL_MS
            case _:
                worker.rest_until_ms = now_ms + REST_AFTER_TROUBLE_MS
        if run.state is not RunState.RUNNING:
            self._lose(worker, run)

    def _take_pace(self, order: PaceRun) -> None:
        worker = self.workers.get(order.worker)
        run = worker.runs.get(order.task) if worker is not None else None
        if run is not None and run.number == order.number:
            run.pace_percent = order.percent

    def _drop_ticket(self, order: StartRun) -> None:
        """Forget a ticket that a worker does not take; another one is asked for."""
        job = self.jobs.get(order.task.job_id)
        step = job.find(order.task) if job is not None else None
        if step is not None:
            step.tickets.pop(order.worker, None)

    def _check_fence(self, worker_id: WorkerId, fence: int) -> None:
        """Conclude from a refused fence number whether somebody else has taken over."""
        if worker_id in self.workers and fence == self.fence_of(worker_id):
            self.is_superseded = True
