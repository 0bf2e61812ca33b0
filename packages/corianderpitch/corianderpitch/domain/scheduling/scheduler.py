"""State machine that tracks the jobs, workers and runs of all pools.

It does no I/O and reads no clock. Methods that depend on the time take it as a
parameter, in milliseconds of the role holder's clock. Orders to workers are queued
until ``pop_orders`` returns them.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.changes import ChangeLog, JobChange
from corianderpitch.domain.scheduling.crashes import (
    CrashNotice,
    has_passed_probation,
)
from corianderpitch.domain.scheduling.crashtracker import CrashTracker
from corianderpitch.domain.scheduling.ends import new_ends
from corianderpitch.domain.scheduling.learning import RunTimeLearner
from corianderpitch.domain.scheduling.notices import NoticeLog
from corianderpitch.domain.scheduling.orders import (
    LossCause,
    Order,
    OrderResult,
    RequestReport,
    RunNotice,
    RunOrder,
    StartRun,
    StopRun,
)
from corianderpitch.domain.scheduling.progress import (
    ActiveJob,
    ActiveStep,
)
from corianderpitch.domain.scheduling.queues import served_queues
from corianderpitch.domain.scheduling.restarts import (
    is_restart_overdue,
    runs_from_before,
    runs_of_ended_process,
    unsent_starts,
)
from corianderpitch.domain.scheduling.results import apply_result
from corianderpitch.domain.scheduling.runs import (
    adopted_run,
    may_adopt,
    planned_run,
    start_order,
)
from corianderpitch.domain.scheduling.shares import ShareMeter
from corianderpitch.domain.scheduling.stops import RecentStops
from corianderpitch.domain.scheduling.term import Term
from corianderpitch.domain.scheduling.unanswered import (
    confirm_start,
    is_certainly_missing,
)
from corianderpitch.domain.scheduling.usage import TeamUsage
from corianderpitch.domain.scheduling.workers import (
    EndKind,
    ReportedEnd,
    ReportedRun,
    Run,
    RunState,
    StartState,
    WorkerInfo,
    WorkerReport,
    WorkerView,
)
from corianderpitch.domain.scheduling.workloads import Queue, TaskRef
from corianderpitch.ids import JobId, QueueName, WorkerId

Notice = RunNotice | CrashNotice


class Scheduler:
    """State of one term, and its transitions on each event.

    ``awaiting_report`` names workers that may run something that is not known yet:
    those that a predecessor recorded and that have not sent a complete report since.
    """

    def __init__(self, term: Term):
        self.term = term
        self.queues: dict[QueueName, Queue] = {}
        self._configured_queues: Mapping[QueueName, Queue] = {}
        self.jobs: dict[JobId, ActiveJob] = {}
        self.ended: set[JobId] = set()
        self.diverted: set[JobId] = set()  # served from their fallback partitions
        self.filler_jobs: set[JobId] = set()
        self.crashes = CrashTracker(self.jobs)
        self.workers: dict[WorkerId, WorkerView] = {}
        self.awaiting_report: set[WorkerId] = set()
        self.is_superseded = False
        self.leases_end_ms = term.leases_end_ms
        self.has_read_all_jobs = True  # false while a partition of jobs is unread
        self.shows_progress = False  # whether workers have reported a run half way
        self._last_run_number = term.first_run_number
        self._last_fence_increment = 0
        self._orders: list[Order] = []
        self._notices = NoticeLog()
        self._changes = ChangeLog(self.jobs, self.workers)
        self._stops = RecentStops()
        self.usage = TeamUsage()
        self._shares = ShareMeter()
        self.run_times = RunTimeLearner()

    # Inputs from the store.

    def set_queues(self, queues: Mapping[QueueName, Queue]) -> None:
        """Replace the queues with those of a configuration.

        Dropped ones are kept as long as they have open jobs. Jobs whose queue was not
        known may have used all their attempts meanwhile.
        """
        if queues is not self._configured_queues:
            self._configured_queues = queues
            self._update_queues()

    def count_usage(self) -> None:
        """Count what teams have running and have sent, before a planning round."""
        self._shares.mark_new_jobs(self.usage)
        self.usage.count(
            self.workers, self.jobs, self.awaiting_report, self.has_read_all_jobs
        )

    def _update_queues(self) -> None:
        known = self.queues
        jobs = self.jobs.values()
        self.queues = served_queues(self._configured_queues, known, jobs)
        if new_names := self.queues.keys() - known.keys():
            for job in list(jobs):
                if job.workload.queue in new_names:
                    self._fail_if_exhausted(job)

    def add_job(self, job: ActiveJob) -> None:
        """Add a job, new or recovered.

        A job that is known or has ended is ignored: rows that were read before
        its end was committed still list it as open.
        """
        if job.job_id in self.jobs or job.job_id in self.ended:
            return
        job.may_have_unknown_runs = job.version < self.term.version
        self.jobs[job.job_id] = job
        self._shares.add(job)
        self.run_times.expect(job)
        if job.workload.has_fillers:
            self.filler_jobs.add(job.job_id)
        self.crashes.add_job(job)
        if job.workload.queue not in self.queues and job.workload.accepted_under:
            self._update_queues()
        self._fail_if_exhausted(job)

    def cancel_job(self, job_id: JobId) -> None:
        """End a job on its caller's request, and stop its runs."""
        job = self.jobs.get(job_id)
        if job is not None:
            self._end_job(job, JobState.CANCELLED)

    def set_worker(self, info: WorkerInfo, now_ms: float) -> bool:
        """Update a worker from the platform's list; return whether it is new."""
        worker = self.workers.get(info.worker)
        is_new = worker is None
        if worker is None:
            worker = WorkerView(
                info, now_ms, fence_increment=self._last_fence_increment
            )
            self.workers[info.worker] = worker
        elif info.incarnation not in (worker.info.incarnation, worker.incarnation):
            self.note_restart(worker, now_ms)
        worker.set_info(info)
        worker.is_listed = True
        if not info.is_draining:
            worker.draining_since_ms = None
        elif worker.draining_since_ms is None:
            worker.draining_since_ms = now_ms
        return is_new

    def unlist_worker(self, worker_id: WorkerId) -> None:
        """Mark a worker as no longer listed; its leases may still be valid."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.is_listed = False

    # Inputs from workers.

    def apply_report(
        self,
        worker_id: WorkerId,
        report: WorkerReport,
        requested_ms: float,
        now_ms: float,
    ) -> None:
        """Apply a worker's report that was requested at ``requested_ms``."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if report.incarnation != worker.incarnation:
            self._begin_incarnation(worker, report, requested_ms, now_ms)
        elif worker.restarted_ms is not None and requested_ms >= worker.restarted_ms:
            worker.restarted_ms = None  # the list showed an earlier process
        if report.is_complete:
            self.crashes.count_before_term(worker_id, report)
        worker.lapsed_runs.clear()
        worker.clock_ms = report.clock_ms
        worker.clock_received_ms = now_ms
        worker.heard_ms = now_ms
        worker.is_silent = False
        worker.silent_since_ms = None
        worker.has_terminated = False
        for end in new_ends(worker, report.ended, self._may_be_unread):
            self._process_end(worker, end, now_ms)
        reported_runs = {(run.task, run.number) for run in report.running}
        worker.has_unread_runs = any(
            self._may_be_unread(run.task.job_id) for run in report.running
        )
        worker.has_unneeded_runs = False
        for run in report.running:
            self._process_run(worker, run, requested_ms, now_ms)
        if not report.is_complete:
            return
        for run in list(worker.runs.values()):
            if run.key not in reported_runs:
                self._process_missing_run(worker, run, requested_ms)
        self.awaiting_report.discard(worker_id)

    def mark_silent(self, worker_id: WorkerId, now_ms: float | None = None) -> None:
        """Mark a worker as silent after a call without an answer.

        No new task is started on a silent worker. Without ``now_ms`` it is not known
        since when the worker has been silent.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.acknowledged_sequence = 0
        if not worker.is_silent:
            worker.silent_since_ms = now_ms
            worker.is_silent = True
            if now_ms is not None and not worker.is_leaving:
                self._check_rack(worker)

    def _check_rack(self, silent: WorkerView) -> None:
        """Request reports from a silent worker's rack, which may be down as a whole."""
        for worker in self.workers.values():
            if not worker.is_silent and worker.info.rack == silent.info.rack:
                self.request_report(worker.info.worker)

    def apply_order_result(
        self,
        order: Order,
        result: OrderResult,
        now_ms: float,
        clock_ms: float | None = None,
    ) -> None:
        """Apply the result of an order; an answer may show the worker's clock."""
        apply_result(self, order, result, now_ms, clock_ms)

    def extend_lease(
        self, worker_id: WorkerId, length_ms: float, now_ms: float
    ) -> int | None:
        """Extend a worker's lease, and return its end in ms of the worker's clock.

        Returns ``None`` for a worker whose clock is not known yet.
        """
        return self.workers[worker_id].extend_lease(length_ms, now_ms)

    def mark_terminated(
        self, worker_ids: Iterable[WorkerId], asked_ms: float | None = None
    ) -> None:
        """Mark the runs of silent workers as lost, as their processes have ended.

        The list that shows this was requested at ``asked_ms``. Runs that may have begun
        since are left to the next list: another process may serve them.
        """
        for worker_id in worker_ids:
            self.awaiting_report.discard(worker_id)
            worker = self.workers.get(worker_id)
            if worker is None or worker.incarnation is None:
                self.crashes.count_before_term(worker_id, None)
            if worker is None or not worker.is_silent:
                continue
            ended = runs_from_before(worker, asked_ms)
            if not worker.has_terminated:
                worker.has_terminated = True
                worker.has_unread_runs = False
                self.crashes.count(worker, ended)
            for run in ended:
                self.mark_run_lost(worker, run, LossCause.PROCESS_ENDED)

    def workers_to_record(self) -> set[WorkerId]:
        """Return the workers that may run something, known or awaiting a report."""
        return set(self.workers) | self.awaiting_report

    def request_fresh_reports(self, leases_end_ms: float) -> None:
        """Require a new report from all workers, for jobs that are read late.

        Runs of these jobs were not touched so far, and are leased like all others.
        They may therefore last until ``leases_end_ms``. Recorded workers that are
        not listed yet remain awaited.
        """
        self.awaiting_report |= self.workers.keys()
        self.leases_end_ms = leases_end_ms

    def mark_recorded(self, worker_ids: Iterable[WorkerId]) -> None:
        """Mark workers as recorded in the store."""
        for worker_id in worker_ids:
            if worker_id in self.workers:
                self.workers[worker_id].is_recorded = True

    def fence_of(self, worker_id: WorkerId) -> int:
        """Return the fence number of orders to a worker."""
        return self.term.fence + self.workers[worker_id].fence_increment

    def with_current_fence(self, order: RunOrder) -> RunOrder:
        """Return an order that was not sent yet with its worker's present fence.

        An order without an answer raises the fence, so that the worker refuses that
        order from then on. It would also refuse the orders that waited behind it.
        """
        fence = self.fence_of(order.worker)
        if isinstance(order, StartRun) and self.is_awaiting_start(order):
            self.workers[order.worker].runs[order.task].fence = fence
        return replace(order, fence=fence)

    def is_awaiting_start(self, order: StartRun) -> bool:
        """Return whether the run of a start order that was not sent is still wanted."""
        _, run = self.find_run(order)
        return run is not None and run.state is not RunState.STOPPING

    def mark_sent(self, order: StartRun, now_ms: float) -> None:
        """Record when a start order is sent: its run cannot have begun before."""
        run = self.workers[order.worker].runs[order.task]
        run.ordered_ms = now_ms
        run.start = StartState.SENT

    def expire(self, now_ms: float) -> None:
        """Mark runs with expired leases as lost, and drop workers that have left."""
        if now_ms >= self.leases_end_ms:
            self.awaiting_report.clear()
        for worker in list(self.workers.values()):
            if is_restart_overdue(worker, now_ms):
                self._end_process(worker, None, now_ms, now_ms)
            has_expired = worker.lease_end_ms(self.leases_end_ms) <= now_ms
            if has_expired and worker.is_silent:
                worker.has_unread_runs = False
                worker.has_unneeded_runs = False
                worker.lapsed_runs += worker.runs.values()
                self._mark_all_lost(worker, LossCause.LEASE_EXPIRED)
                self.awaiting_report.discard(worker.info.worker)
            has_left = not worker.is_listed and not worker.is_running and has_expired
            if worker.is_silent and has_expired and not worker.is_listed:
                worker.uncommitted_ends.clear()
            if has_left and worker.processed_sequence == worker.committed_sequence:
                del self.workers[worker.info.worker]
                self.awaiting_report.discard(worker.info.worker)

    def is_safe_to_start(self, job: ActiveJob, now_ms: float) -> bool:
        """Return whether no waiting task of a job may already run on a worker.

        A predecessor may have started tasks of a job that is older than this term.
        They are certain to be known once all workers have sent a report, or all
        leases of the predecessor have expired.
        """
        if job.may_have_unknown_runs and (
            not self.awaiting_report or now_ms >= self.leases_end_ms
        ):
            job.may_have_unknown_runs = False
        return not job.may_have_unknown_runs

    # Outputs.

    def next_run_number(self) -> int:
        """Return a run number above all earlier ones."""
        self._last_run_number += 1
        return self._last_run_number

    def start(
        self,
        job: ActiveJob,
        step: ActiveStep,
        index: int,
        worker: WorkerView,
        now_ms: float,
        number: int = 0,
    ) -> None:
        """Order the start of a task.

        The tasks of a gang share a run ``number``; 0 draws a new one.
        """
        number = number or self.next_run_number()
        fence = self.fence_of(worker.info.worker)
        run = planned_run(job, step, index, number, worker, fence, now_ms)
        self.usage.add(run.team, run.usage)
        worker.add_run(run)
        self._orders.append(start_order(job, step, run))
        step.runs.setdefault(index, []).append(run)
        step.pending.discard(index)
        step.open.add(index)
        self._mark_changed(job)

    def stop(self, run: Run, now_ms: float) -> None:
        """Order a run to stop, unless it was ordered a short while ago."""
        if self._stops.note_if_due(run.key, now_ms):
            run.state = RunState.STOPPING
            self._order_stop(run.worker, run.task, run.number)

    def pop_orders(self) -> list[Order]:
        """Return the orders queued since the last call."""
        orders, self._orders = self._orders, []
        return orders

    def request_report(self, worker_id: WorkerId) -> None:
        """Order a report to be requested at once."""
        self._orders.append(RequestReport(worker_id))

    def give_up_crashing_jobs(self, now_ms: float) -> None:
        """Give up the jobs that are shown to crash the workers that start them."""
        for decision in self.crashes.pop_given_up(self.workers.values(), now_ms):
            self._end_job(self.jobs[decision.task.job_id], JobState.FAILED)

    def pop_notices(self) -> list[Notice]:
        """Return what is to be logged about runs and workers since the last call.

        These are runs that ended without success, crashes of workers, and jobs given
        up for such crashes.
        """
        return [*self.crashes.pop_notices(), *self._notices.pop()]

    def pop_changes(self) -> list[JobChange]:
        """Return the changes to commit, each with the ends that it includes."""
        return self._changes.pop()

    def requeue_changes(self, changes: Iterable[JobChange]) -> None:
        """Queue changes whose commit failed for another commit."""
        self._changes.requeue(changes)

    def mark_committed(self, changes: Iterable[JobChange]) -> None:
        """Mark changes as committed, so that workers may drop their ends."""
        self._changes.mark_committed(changes)

    def has_committed_end(self, job_id: JobId) -> bool:
        """Return whether the store holds the final state of a job."""
        return job_id in self.ended and not self._changes.awaits_final_commit(job_id)

    @property
    def has_final_changes(self) -> bool:
        """Return whether the final change of a job waits for its commit."""
        return self._changes.has_final

    # Transitions.

    def find_step(self, task: TaskRef) -> tuple[ActiveJob | None, ActiveStep | None]:
        """Return the open job and the step of a task, if there are such."""
        job = self.jobs.get(task.job_id)
        return job, job.find_step(task) if job is not None else None

    def find_run(self, order: RunOrder) -> tuple[WorkerView | None, Run | None]:
        """Return the worker and the run that an order is about, if there still are."""
        worker = self.workers.get(order.worker)
        run = worker.runs.get(order.task) if worker is not None else None
        is_current = run is not None and run.number == order.number
        return worker, run if is_current else None

    def _mark_changed(self, job: ActiveJob) -> None:
        job.is_dirty = True

    def mark_begun(self, job_id: JobId) -> None:
        """Record that a task of a job has begun: an order to start it is no proof."""
        job = self.jobs.get(job_id)
        if job is not None and job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self._mark_changed(job)

    def note_restart(self, worker: WorkerView, now_ms: float) -> None:
        """Note that the list or an answer shows another process of a worker.

        What that process runs already, its report tells: it is requested at once, and
        the runs are kept until it arrives (see ``expire``).
        """
        if not worker.runs:
            self._end_process(worker, None, now_ms, now_ms)
            return
        for run in unsent_starts(worker):
            self.mark_run_lost(worker, run, LossCause.NEW_INCARNATION)
        worker.restarted_ms = now_ms
        self.request_report(worker.info.worker)

    def _begin_incarnation(
        self,
        worker: WorkerView,
        report: WorkerReport,
        requested_ms: float,
        now_ms: float,
    ) -> None:
        """Reset a worker on the first report of a new process."""
        self._end_process(worker, report, requested_ms, now_ms)
        worker.incarnation = report.incarnation
        listed = report.run_keys
        if any(run.key not in listed for run in worker.runs.values()):
            self.request_report(worker.info.worker)

    def _end_process(
        self,
        worker: WorkerView,
        report: WorkerReport | None,
        requested_ms: float,
        now_ms: float,
    ) -> None:
        """Mark the runs of a worker's previous process as lost, and reset the worker.

        The fence is raised, so that the new process refuses a start order that was
        sent to the earlier one and arrives late.
        """
        if worker.incarnation is not None:
            self.raise_fence(worker)
            ended = runs_of_ended_process(worker, report, requested_ms)
            if not worker.has_terminated:
                self.crashes.count(worker, ended)
            for run in ended:
                self.mark_run_lost(worker, run, LossCause.NEW_INCARNATION)
        worker.forget_process()
        for run in worker.runs.values():
            if run.start is StartState.UNANSWERED:
                run.state_since_ms = now_ms  # earlier reports had the former fence
        worker.stray_leases_end_ms = now_ms + self.term.max_lease_ms

    def raise_fence(self, worker: WorkerView) -> None:
        """Raise a worker's fence above all others of this term.

        These include the fences of workers that were dropped and may come back.
        """
        self._last_fence_increment += 1
        worker.fence_increment = self._last_fence_increment

    def _process_end(self, worker: WorkerView, end: ReportedEnd, now_ms: float) -> None:
        self._stops.forget((end.task, end.number))
        run = worker.runs.get(end.task)
        if run is not None and run.number == end.number:
            worker.remove_run(run)
        self._changes.retain_end(worker, end)
        job, step = self.find_step(end.task)
        if job is None or step is None:
            return
        index = end.task.index
        if run is not None and run.number == end.number:
            self._remove_run(step, run)
        if index in step.done:
            return
        self.mark_begun(job.job_id)
        self._mark_changed(job)
        if end.kind is not EndKind.DONE:
            self._notices.add(worker, end.task, end.number, end.kind.value)
        match end.kind:
            case EndKind.DONE:
                worker.consecutive_failed_jobs.clear()
                if run is not None and run.number == end.number:
                    self.run_times.observe_done(job, step, run, worker, now_ms)
                self._finish_task(job, step, index, now_ms)
                return
            case EndKind.FAILED if not step.step.is_lasting:
                step.failed.setdefault(index, set()).add(end.number)
                self.crashes.clear(job, step, index)
                job.add_failed_worker(step.number, index, worker.info.worker)
                worker.count_failed_job(job.job_id, now_ms)
                if self._is_exhausted(job, step, index):
                    self._end_job(job, JobState.FAILED)
                    return
        if end.checkpoint:
            step.save_checkpoint(index, end.checkpoint)
        if not step.runs.get(index):
            step.pending.add(index)

    def _finish_task(
        self, job: ActiveJob, step: ActiveStep, index: int, now_ms: float
    ) -> None:
        """Mark a task as done; all tasks of a gang are done together."""
        done = range(step.step.count) if step.step.is_gang else (index,)
        for done_index in done:
            step.mark_done(done_index)
            job.failed_on.pop((step.number, done_index), None)
            self.crashes.clear(job, step, done_index)
            for copy in step.runs.get(done_index, ()):
                self.stop(copy, now_ms)
        job.count_done_task(step, len(done))
        if step.is_done and job.drop_finished_occurrences():
            self._end_job(job, JobState.DONE)

    def _is_exhausted(self, job: ActiveJob, step: ActiveStep, index: int) -> bool:
        """Return whether a task has failed as often as its queue allows.

        How often that is, is not known while the configuration lacks the queue.
        """
        queue = self.queues.get(job.workload.queue)
        return queue is not None and step.failure_count(index) >= queue.max_attempts

    def _fail_if_exhausted(self, job: ActiveJob) -> None:
        """End a job if one of its unfinished tasks has used all its attempts."""
        if any(
            self._is_exhausted(job, step, index)
            for step in job.steps()
            for index in step.failed.keys() - step.done
        ):
            self._end_job(job, JobState.FAILED)

    def _process_run(
        self,
        worker: WorkerView,
        reported: ReportedRun,
        requested_ms: float,
        now_ms: float,
    ) -> None:
        """Apply a reported run, which was at work some time after ``requested_ms``."""
        run = worker.runs.get(reported.task)
        job, step = self.find_step(reported.task)
        is_known = run is not None and run.number == reported.number
        if not is_known and step is not None and may_adopt(step, reported):
            self._adopt(worker, job, step, reported, now_ms)
            return
        if not is_known or step is None or reported.task.index in step.done:
            if not self._may_be_unread(reported.task.job_id):
                self._stop_unneeded_run(worker, reported, now_ms)
            return
        run.is_attributed = True
        if run.incarnation != worker.incarnation:
            run.incarnation = worker.incarnation or ""
            self._mark_changed(job)
        run.note_progress(reported.percent, now_ms)
        self.shows_progress |= 0 < run.percent < 100 and not step.step.is_lasting
        run.load = reported.load
        confirm_start(run, now_ms)
        self.mark_begun(job.job_id)
        if not run.is_proven and has_passed_probation(step, run, requested_ms):
            run.is_proven = True
            self.crashes.clear(job, step, run.task.index)
        if reported.checkpoint:
            step.save_checkpoint(reported.task.index, reported.checkpoint)
        if run.state is RunState.STOPPING:
            self.stop(run, now_ms)

    def _may_be_unread(self, job_id: JobId) -> bool:
        """Return whether a job may be in a partition that is not read yet."""
        is_known = job_id in self.jobs or job_id in self.ended
        return not self.has_read_all_jobs and not is_known

    def _adopt(
        self,
        worker: WorkerView,
        job: ActiveJob,
        step: ActiveStep,
        reported: ReportedRun,
        now_ms: float,
    ) -> None:
        """Add a run that a predecessor has started."""
        fence = self.fence_of(worker.info.worker)
        run = adopted_run(job, step, reported, worker, fence, now_ms)
        worker.add_run(run)
        step.runs.setdefault(reported.task.index, []).append(run)
        step.pending.discard(reported.task.index)
        step.open.add(reported.task.index)
        self.mark_begun(job.job_id)
        self._mark_changed(job)

    def _stop_unneeded_run(
        self, worker: WorkerView, reported: ReportedRun, now_ms: float
    ) -> None:
        """Stop a run whose job has ended, or that duplicates another run.

        Nothing is started on its worker meanwhile, as its reservation is not known.
        """
        run = worker.runs.get(reported.task)
        worker.has_unneeded_runs |= run is None or run.number != reported.number
        if self._stops.note_if_due((reported.task, reported.number), now_ms):
            self._order_stop(worker.info.worker, reported.task, reported.number)

    def _order_stop(self, worker: WorkerId, task: TaskRef, number: int) -> None:
        self._orders.append(StopRun(worker, task, number, self.fence_of(worker)))

    def _process_missing_run(
        self, worker: WorkerView, run: Run, requested_ms: float
    ) -> None:
        """Mark a run that is missing from a report as lost, if that is certain."""
        if is_certainly_missing(worker, run, requested_ms, self.term.fence):
            self.mark_run_lost(worker, run, LossCause.NOT_REPORTED)

    def _mark_all_lost(self, worker: WorkerView, cause: LossCause) -> None:
        for run in list(worker.runs.values()):
            self.mark_run_lost(worker, run, cause)

    def mark_run_lost(self, worker: WorkerView, run: Run, cause: LossCause) -> None:
        """Remove a run that ended without a reported end; its task waits again."""
        worker.remove_run(run)
        how = f"lost_{run.state.value}"
        self._notices.add(worker, run.task, run.number, how, cause)
        self._stops.forget(run.key)
        job, step = self.find_step(run.task)
        if job is None or step is None:
            return
        self._remove_run(step, run)
        if run.task.index not in step.done and not step.runs.get(run.task.index):
            step.pending.add(run.task.index)
        self._mark_changed(job)

    def _remove_run(self, step: ActiveStep, run: Run) -> None:
        runs = step.runs.get(run.task.index, [])
        step.runs[run.task.index] = [other for other in runs if other is not run]
        if not step.runs[run.task.index]:
            del step.runs[run.task.index]

    def _end_job(self, job: ActiveJob, state: JobState) -> None:
        """End a job: queue its final record, and order its runs to stop."""
        del self.jobs[job.job_id]
        self.ended.add(job.job_id)
        self.filler_jobs.discard(job.job_id)
        self.crashes.drop_job(job)
        job.state = state
        self._changes.add_end(job)
        for run in list(job.runs()):
            self._order_stop(run.worker, run.task, run.number)
            run.state = RunState.STOPPING
