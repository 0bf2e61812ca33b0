"""Tasks that watch one worker and send orders to it."""

import eventlet
from eventlet.queue import LightQueue
from returns.result import Failure, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.commits import CommitTask
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.domain.scheduling.orders import (
    Order,
    OrderResult,
    PaceRun,
    RequestReport,
    RunOrder,
    StartReply,
    StartRun,
    StopRun,
)
from corianderpitch.domain.scheduling.pacing import needs_frequent_reports
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.workers import WorkerInfo
from corianderpitch.errors import WorkerError, WorkerProblem
from corianderpitch.ids import WorkerId
from corianderpitch.ports import WorkerLink

REPORT_WAIT_MS = 1000  # limits the time to detect a dead connection
IDLE_REPORT_WAIT_MS = 2000  # applies to a worker on which nothing runs
FREQUENT_REPORT_WAIT_MS = 400  # tail latencies cover the last half second

# A start that is executed later than this is refused. The first renewal may have to
# wait for a report of the idle worker that was requested before the start.
START_LEASE_MS = IDLE_REPORT_WAIT_MS + 1000.0

COMMIT_WAIT_MS = 150.0
SILENT_RETRY_MS = 300.0
UNREAD_RETRY_MS = 200.0
LEASE_SLACK_MS = 500.0

log = logger("links")


class WorkerTask:
    """Watches one worker during a term and sends its orders in sequence."""

    def __init__(
        self,
        worker_id: WorkerId,
        scheduler: Scheduler,
        link: WorkerLink,
        role: RoleLease,
        commits: CommitTask,
        clock: Clock,
        meters: JobMeters,
        lease_ms: float,
        role_lease_ms: float,
        on_change,
    ):
        self._worker_id = worker_id
        self._scheduler = scheduler
        self._link = link
        self._role = role
        self._commits = commits
        self._clock = clock
        self._meters = meters
        self._lease_ms = lease_ms
        self._role_lease_ms = role_lease_ms
        self._on_change = on_change
        self._orders: LightQueue = LightQueue()

    def enqueue_order(self, order: Order) -> None:
        """Queue an order; a ``RequestReport`` order fetches a report at once."""
        if isinstance(order, RequestReport):
            eventlet.spawn(self._fetch_report, 0)
        else:
            self._orders.put(order)

    def watch(self) -> None:
        """Fetch the worker's report repeatedly until the scheduler removes the worker.

        Each request renews the lease of a worker that runs tasks and answers.
        """
        info: WorkerInfo | None = None
        while self._worker_id in self._scheduler.workers:
            worker = self._scheduler.workers[self._worker_id]
            info = worker.info
            wait_ms = REPORT_WAIT_MS if worker.is_running else IDLE_REPORT_WAIT_MS
            if worker.clock_ms is None:
                wait_ms = 0
            if worker.has_unneeded_runs or needs_frequent_reports(
                self._scheduler, worker
            ):
                wait_ms = min(wait_ms, FREQUENT_REPORT_WAIT_MS)
            if worker.processed_sequence != worker.committed_sequence:
                wait_ms = 0
            if not self._fetch_report(wait_ms):
                eventlet.sleep(SILENT_RETRY_MS / 1000.0)
            elif worker.processed_sequence != worker.committed_sequence:
                self._commits.wait_for_commit(COMMIT_WAIT_MS)
            elif worker.has_unread_ends:
                eventlet.sleep(UNREAD_RETRY_MS / 1000.0)
        self._orders.put(None)
        if info is not None:
            self._link.disconnect(info)

    def execute_orders(self) -> None:
        """Send queued orders one after the other until ``watch`` returns."""
        while (order := self._orders.get()) is not None:
            if self._worker_id in self._scheduler.workers:
                self._execute(order)

    def _bound_lease_ms(self, requested_ms: float) -> float:
        """Limit a lease to end before a successor may treat the worker as free.

        A holder that cannot renew its role continues with its runs, but never leases
        a worker beyond the time that a successor waits. The result is not positive
        once no lease may be granted.
        """
        end_ms = self._role_lease_ms + self._lease_ms - LEASE_SLACK_MS
        return min(requested_ms, end_ms - self._role.renewal_age_ms)

    def _fetch_report(self, wait_ms: int) -> bool:
        """Fetch a report and renew the lease; returns ``False`` if that failed."""
        worker = self._scheduler.workers.get(self._worker_id)
        if worker is None:
            return True
        now_ms = self._clock.now_ms()
        length_ms = self._bound_lease_ms(self._lease_ms)
        until_ms = None
        if length_ms > 0 and worker.is_running and not worker.is_silent:
            until_ms = self._scheduler.extend_lease(self._worker_id, length_ms, now_ms)
        fence = self._scheduler.fence_of(self._worker_id)
        result = self._link.report(
            worker.info, fence, worker.pop_acknowledgement(now_ms), until_ms, wait_ms
        )
        match result:
            case Success(report):
                self._scheduler.apply_report(
                    self._worker_id, report, now_ms, self._clock.now_ms()
                )
                self._on_change()
                return True
            case Failure(WorkerError(problem)):
                self._handle_problem(problem, fence)
        return False

    def _handle_problem(self, problem: WorkerProblem, fence: int) -> None:
        """Handle a failed report; a fence that is superseded ends the term."""
        worker = self._scheduler.workers.get(self._worker_id)
        if worker is None:
            return
        worker.acknowledged_sequence = 0
        if problem is WorkerProblem.SUPERSEDED:
            if fence == self._scheduler.fence_of(self._worker_id):
                self._scheduler.is_superseded = True
            return
        if not worker.is_silent:
            log.warning(
                "Could not get a worker's report.",
                worker=self._worker_id,
                problem=problem.value,
            )
        self._scheduler.mark_silent(self._worker_id, self._clock.now_ms())

    def _execute(self, order: RunOrder) -> None:
        worker = self._scheduler.workers[self._worker_id]
        order = self._scheduler.with_current_fence(order)
        sent_ms = self._clock.now_ms()
        clock_ms: float | None = None
        match order:
            case StartRun():
                reply = self._start(order, sent_ms)
                result, clock_ms = reply.result, reply.clock_ms
            case StopRun():
                result = self._link.stop(worker.info, order)
            case PaceRun():
                result = self._link.pace(worker.info, order)
        now_ms = self._clock.now_ms()
        log.info(
            type(order).__name__,
            job=order.task.job_id,
            task=order.task.position,
            run=order.number,
            worker=self._worker_id,
            fence=order.fence,
            result=result.value,
            took_ms=round(now_ms - sent_ms, 1),
        )
        self._meters.record_order(type(order).__name__, result.value, now_ms - sent_ms)
        self._scheduler.apply_order_result(order, result, now_ms, clock_ms)
        if result is not OrderResult.DONE:
            self._on_change()

    def _start(self, order: StartRun, now_ms: float) -> StartReply:
        worker = self._scheduler.workers[self._worker_id]
        if not self._scheduler.is_awaiting_start(order):
            return StartReply(OrderResult.WITHDRAWN)
        if order.is_repeat and not self._role.has_valid_lease:
            return StartReply(OrderResult.WITHDRAWN)  # a successor may know of its end
        length_ms = self._bound_lease_ms(START_LEASE_MS)
        if length_ms <= 0:
            return StartReply(OrderResult.NOT_SENT)
        if worker.is_over_capacity:  # it has shrunk while the order was queued
            return StartReply(OrderResult.NO_ROOM)
        until_ms = self._scheduler.extend_lease(self._worker_id, length_ms, now_ms)
        if until_ms is None:
            return StartReply(OrderResult.NOT_SENT)
        self._scheduler.mark_sent(order, now_ms)
        return self._link.start(worker.info, order, until_ms)
