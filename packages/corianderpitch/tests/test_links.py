"""Orders to one worker: those that wait behind one without an answer."""

from dataclasses import replace
from types import SimpleNamespace

import pytest
from returns.result import Success
from schedulers import NOW_MS, add_worker, make_job, make_scheduler, starts

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.links import WorkerTask
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.crashes import DECISION_DELAY_MS, PROBATION_MS
from corianderpitch.domain.scheduling.orders import LossCause, OrderResult, StartReply
from corianderpitch.domain.scheduling.workers import RunState, WorkerReport
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import WorkerId


class SilentOnceLink:
    """Leaves the first start unanswered, and then refuses fences below the highest."""

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.fences = []

    def start(self, info, order, until_ms):
        self.fences.append(order.fence)
        if len(self.fences) == 1:
            return StartReply(OrderResult.NO_ANSWER)
        is_current = order.fence == self.scheduler.fence_of(info.worker)
        result = OrderResult.DONE if is_current else OrderResult.SUPERSEDED
        return StartReply(result)


class IdleWorkerLink:
    """A worker that holds its first report back for the time that it may wait.

    ``while_waiting`` is called as the wait begins. The worker is removed with the
    second report, which arrives after the holder has lost ``holder_delay_ms``.
    """

    def __init__(self, scheduler, clock, holder_delay_ms):
        self.scheduler = scheduler
        self.clock = clock
        self.holder_delay_ms = holder_delay_ms
        self.while_waiting = lambda: None
        self.leased_until_ms = 0.0
        self.lease_left_ms = None

    def start(self, info, order, until_ms):
        self.leased_until_ms = until_ms
        return StartReply(OrderResult.DONE)

    def report(self, info, fence, last_seen, until_ms, wait_ms):
        if self.leased_until_ms == 0.0:
            self.clock.advance(1.0)
            self.while_waiting()
            self.clock.advance(wait_ms + self.holder_delay_ms)
        else:
            assert until_ms is not None
            self.lease_left_ms = self.leased_until_ms - self.clock.now_ms()
            del self.scheduler.workers[info.worker]
        return Success(WorkerReport("1", self.clock.now_ms(), (), ()))

    def disconnect(self, info):
        pass


def make_task(scheduler, link, clock=None, worker="w1"):
    role = SimpleNamespace(renewal_age_ms=0.0, has_valid_lease=True)
    clock = clock or ManualClock(NOW_MS)
    return WorkerTask(
        WorkerId(worker),
        scheduler,
        link,
        role,
        None,
        clock,
        JobMeters(),
        6000.0,
        2000.0,
        lambda: None,
    )


def test_an_order_behind_one_without_an_answer_is_sent_with_the_raised_fence():
    """Each order without an answer made the worker refuse all that waited behind it.

    Their tasks were started anew only after the next planning round.
    """
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job("a"))
    scheduler.add_job(make_job("b"))
    link = SilentOnceLink(scheduler)
    task = make_task(scheduler, link)
    task._fetch_report = lambda wait_ms: None
    first, *behind = starts(scheduler)
    for order in (first, *behind):
        task._execute(order)
    assert len(link.fences) > 1
    assert min(link.fences[1:]) > link.fences[0]
    states = [run.state for run in scheduler.workers[WorkerId("w1")].runs.values()]
    assert states.count(RunState.RUNNING) == len(behind)
    assert not scheduler.is_superseded


def test_a_start_that_was_replaced_by_a_newer_run_is_not_sent():
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job("a"))
    link = SilentOnceLink(scheduler)
    task = make_task(scheduler, link)
    (outdated, *_) = starts(scheduler)
    run = scheduler.workers[WorkerId("w1")].runs[outdated.task]
    worker = scheduler.workers[WorkerId("w1")]
    scheduler.mark_run_lost(worker, run, LossCause.NOT_STARTED)
    assert starts(scheduler)
    task._execute(outdated)
    assert link.fences == []


def test_a_queued_start_is_not_sent_once_its_run_is_to_stop():
    """A worker that was cut off got the starts of jobs cancelled meanwhile."""
    scheduler = make_scheduler(("w1",))
    for name in ("a", "b", "c"):
        scheduler.add_job(make_job(name))
    link = SilentOnceLink(scheduler)
    link.fences.append(0)  # the first start has been answered
    task = make_task(scheduler, link)
    cancelled, stopped, wanted = starts(scheduler)
    worker = scheduler.workers[WorkerId("w1")]
    scheduler.cancel_job(cancelled.task.job_id)
    scheduler.stop(worker.runs[stopped.task], NOW_MS)
    for order in (cancelled, stopped, wanted):
        task._execute(order)
    assert len(link.fences) == 1 + 1
    assert set(worker.runs) == {wanted.task}
    assert worker.backoff_until_ms <= NOW_MS
    (again,) = starts(scheduler)
    assert again.task == stopped.task


def test_a_queued_start_is_not_sent_to_a_worker_that_shrank_meanwhile():
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job("a", [Step(3, Shape(1.0, 100), 100.0)]))
    link = SilentOnceLink(scheduler)
    link.fences.append(0)  # the first start has been answered
    task = make_task(scheduler, link)
    orders = starts(scheduler)
    worker = scheduler.workers[WorkerId("w1")]
    scheduler.set_worker(replace(worker.info, capacity=Shape(2.0, 8000)), NOW_MS)
    for order in orders:
        task._execute(order)
    assert len(link.fences) == 1 + 2
    assert len(worker.runs) == 2
    assert worker.free.processors == 0.0


@pytest.mark.parametrize("is_repeat", [False, True], ids=["first", "repeat"])
def test_a_queued_repeat_is_not_sent_once_the_lease_may_have_lapsed(is_repeat):
    """A task ran again after its end: only the successor knew that it was done."""
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job("a"))
    link = SilentOnceLink(scheduler)
    link.fences.append(0)  # the first start has been answered
    task = make_task(scheduler, link)
    (order,) = starts(scheduler)
    worker = scheduler.workers[WorkerId("w1")]
    if is_repeat:
        run = worker.runs[order.task]
        scheduler.mark_run_lost(worker, run, LossCause.LEASE_EXPIRED)
        (order,) = starts(scheduler)
    task._role.has_valid_lease = False
    task._execute(order)
    assert len(link.fences) == 1 + (not is_repeat)
    assert (order.task in worker.runs) is not is_repeat


def test_a_crash_soon_after_a_start_that_was_sent_late_names_its_cause():
    """Beside a busy holder, a task crashed one worker after the other for ever."""
    scheduler = make_scheduler(())
    for number in range(8):
        add_worker(scheduler, f"w{number}", rack=f"r{number}")
    scheduler.add_job(make_job("a"))
    clock = ManualClock(NOW_MS)
    link = SimpleNamespace(start=lambda *_: StartReply(OrderResult.DONE))
    for _ in range(2):
        (order,) = starts(scheduler, clock.now_ms())
        clock.advance(PROBATION_MS + 100.0)
        make_task(scheduler, link, clock, order.worker)._execute(order)
        scheduler.mark_silent(order.worker, clock.now_ms() + 5.0)
        scheduler.mark_terminated([order.worker])
        clock.advance(100.0)
    assert starts(scheduler, clock.now_ms()) == []
    assert starts(scheduler, clock.now_ms() + DECISION_DELAY_MS) == []
    assert scheduler.jobs == {}


def test_a_start_right_after_a_report_of_an_idle_worker_was_requested_is_renewed():
    """The lease is renewed only once that report has arrived.

    A holder that was a few milliseconds late let the lease expire, and the tasks that
    it had just started ended: lasting ones were away without need.
    """
    clock = ManualClock(NOW_MS)
    scheduler = make_scheduler(("w1",))
    scheduler.add_job(make_job("a"))
    link = IdleWorkerLink(scheduler, clock, holder_delay_ms=500.0)
    task = make_task(scheduler, link, clock)
    worker = scheduler.workers[WorkerId("w1")]
    worker.clock_ms, worker.clock_received_ms = clock.now_ms(), clock.now_ms()

    def start():
        (order,) = starts(scheduler)
        task._execute(order)

    link.while_waiting = start
    task.watch()
    assert link.lease_left_ms > 0.0
