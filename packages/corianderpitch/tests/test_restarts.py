"""Workers whose process starts again under its id before the holder hears of it.

What the new process had confirmed was taken for the work of the old one: a subtask was
started on another worker beside its run, or again after its end.
"""

from dataclasses import replace

import pytest
from schedulers import (
    NOW_MS,
    add_worker,
    done,
    make_job,
    make_scheduler,
    report,
    running,
    starts,
)

from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.orders import OrderResult, RequestReport
from corianderpitch.domain.scheduling.progress import (
    Placement,
    ProgressRecord,
    StepRecord,
)
from corianderpitch.domain.scheduling.restarts import RESTART_REPORT_WAIT_MS
from corianderpitch.domain.scheduling.workers import ReportedRun, WorkerReport
from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.ids import WorkerId

OLD_CLOCK_MS = 1000.0  # of the process that sent the report in ``add_worker``
LATER_MS = NOW_MS + 10_000.0
MAX_LEASE_MS = 6300.0


def start(scheduler, clock_ms=OLD_CLOCK_MS + 10_000.0, now_ms=LATER_MS):
    """Start the only waiting task; the answer shows ``clock_ms``."""
    (order,) = starts(scheduler, now_ms)
    scheduler.mark_sent(order, now_ms)
    scheduler.apply_order_result(order, OrderResult.DONE, now_ms + 1.0, clock_ms)
    return order


def list_process(scheduler, order, incarnation, now_ms):
    info = scheduler.workers[order.worker].info
    scheduler.set_worker(replace(info, incarnation=incarnation), now_ms)


def requested_reports(scheduler):
    return [o.worker for o in scheduler.pop_orders() if isinstance(o, RequestReport)]


@pytest.fixture
def scheduler():
    scheduler = make_scheduler(())
    for name in ("w1", "w2"):
        add_worker(scheduler, name, rack=f"rack-{name}")
    scheduler.term = replace(scheduler.term, max_lease_ms=MAX_LEASE_MS)
    scheduler.add_job(make_job())
    return scheduler


def test_a_start_that_a_new_process_confirmed_is_not_lost_with_the_old_one(scheduler):
    order = start(scheduler, clock_ms=20.0)
    assert requested_reports(scheduler) == [order.worker]
    list_process(scheduler, order, "2", LATER_MS + 500.0)
    assert starts(scheduler, LATER_MS + 501.0) == []
    report(scheduler, order.worker, [running(order)], (), LATER_MS + 502.0, "2")
    assert starts(scheduler, LATER_MS + 600.0) == []
    assert scheduler.crashes.suspect_jobs == set()


def test_a_start_without_an_answer_is_not_lost_when_the_list_shows_a_new_process(
    scheduler,
):
    (order,) = starts(scheduler, LATER_MS)
    scheduler.mark_sent(order, LATER_MS)
    list_process(scheduler, order, "2", LATER_MS + 5.0)
    assert starts(scheduler, LATER_MS + 6.0) == []
    report(scheduler, order.worker, [running(order)], (), LATER_MS + 7.0, "2")
    scheduler.apply_order_result(order, OrderResult.NO_ANSWER, LATER_MS + 400.0)
    assert starts(scheduler, LATER_MS + 401.0) == []


def test_an_end_at_a_new_process_is_not_taken_for_a_loss_of_the_old_one(scheduler):
    order = start(scheduler, clock_ms=20.0)
    report(scheduler, order.worker, (), [done(order)], LATER_MS - 100.0, "2")
    assert scheduler.jobs == {}


def test_a_run_that_the_old_process_confirmed_is_lost_with_it(scheduler):
    order = start(scheduler)
    list_process(scheduler, order, "2", LATER_MS + 500.0)
    assert starts(scheduler, LATER_MS + 501.0) == []
    report(scheduler, order.worker, (), (), LATER_MS + 502.0, "2")
    assert len(starts(scheduler, LATER_MS + 503.0)) == 1


def test_runs_of_the_old_process_are_lost_soon_if_the_new_one_is_cut_off(scheduler):
    order = start(scheduler)
    list_process(scheduler, order, "2", LATER_MS + 500.0)
    scheduler.mark_silent(order.worker, LATER_MS + 600.0)
    scheduler.expire(LATER_MS + 500.0 + RESTART_REPORT_WAIT_MS)
    assert len(starts(scheduler, LATER_MS + 1001.0)) == 1


def test_a_list_of_an_earlier_process_does_not_end_the_runs_of_a_later_one(scheduler):
    for name in ("w1", "w2"):
        info = scheduler.workers[WorkerId(name)].info
        scheduler.set_worker(replace(info, incarnation="3"), NOW_MS)
        report(scheduler, name, (), (), NOW_MS, "3")
    order = start(scheduler)
    report(scheduler, order.worker, [running(order)], (), LATER_MS + 2.0, "3")
    list_process(scheduler, order, "2", LATER_MS + 3.0)
    report(scheduler, order.worker, [running(order)], (), LATER_MS + 4.0, "3")
    assert starts(scheduler, LATER_MS + 5.0) == []
    assert scheduler.workers[order.worker].restarted_ms is None


def test_a_lease_by_the_clock_of_the_old_process_lasts_longer_at_the_new_one(scheduler):
    order = start(scheduler, clock_ms=20.0)
    scheduler.mark_silent(order.worker, LATER_MS + 100.0)
    overdue_ms = LATER_MS + RESTART_REPORT_WAIT_MS + 1.0
    for now_ms in (overdue_ms, LATER_MS + MAX_LEASE_MS - 1.0):
        scheduler.expire(now_ms)
        assert starts(scheduler, now_ms) == []
    scheduler.expire(overdue_ms + MAX_LEASE_MS)
    assert len(starts(scheduler, overdue_ms + MAX_LEASE_MS)) == 1


def test_a_list_of_vms_from_before_a_start_does_not_end_it(scheduler):
    order = start(scheduler, clock_ms=20.0)
    scheduler.mark_silent(order.worker, LATER_MS + 5.0)
    scheduler.mark_terminated([order.worker], asked_ms=LATER_MS - 50.0)
    assert starts(scheduler, LATER_MS + 6.0) == []


def test_starts_that_wait_to_be_sent_do_not_delay_the_loss_of_a_crashed_workers_runs():
    """Each one that was sent took its timeout, and the runs were kept for seconds."""
    scheduler = make_scheduler(())
    add_worker(scheduler, "w1", rack="rack-w1")
    for name in ("a", "b", "c"):
        scheduler.add_job(make_job(name))
    seen, sent, unsent = starts(scheduler)
    scheduler.mark_sent(seen, NOW_MS)
    scheduler.apply_order_result(seen, OrderResult.DONE, NOW_MS + 1.0, OLD_CLOCK_MS)
    scheduler.mark_sent(sent, NOW_MS + 5.0)
    scheduler.mark_silent(seen.worker, NOW_MS + 100.0)
    worker = scheduler.workers[seen.worker]
    scheduler.mark_terminated([seen.worker], asked_ms=NOW_MS + 200.0)
    assert set(worker.runs) == {sent.task}
    scheduler.apply_order_result(sent, OrderResult.NO_ANSWER, NOW_MS + 405.0)
    scheduler.mark_terminated([seen.worker], asked_ms=NOW_MS + 600.0)
    assert worker.runs == {}
    assert not scheduler.is_awaiting_start(unsent)


def test_ends_of_a_new_process_are_not_acknowledged_in_place_of_the_old_ones(scheduler):
    """A new process forgot its first ends, and their subtasks were started again."""
    order = start(scheduler)
    report(scheduler, order.worker, (), [done(order)], LATER_MS + 2.0)
    worker = scheduler.workers[order.worker]
    scheduler.mark_committed(scheduler.pop_changes())
    assert worker.pop_acknowledgement(LATER_MS + 30.0) == 1
    assert worker.pop_acknowledgement(LATER_MS + 30.0) == 0
    scheduler.mark_silent(order.worker, LATER_MS + 10.0)
    assert worker.pop_acknowledgement(LATER_MS + 30.0) == 0
    report(scheduler, order.worker, (), (), LATER_MS + 20.0)
    assert worker.pop_acknowledgement(LATER_MS + 30.0) == 1


def test_nothing_is_acknowledged_while_another_process_may_answer(scheduler):
    first = start(scheduler)
    report(scheduler, first.worker, (), [done(first)], LATER_MS + 2.0)
    scheduler.mark_committed(scheduler.pop_changes())
    scheduler.unlist_worker({"w1": "w2", "w2": "w1"}[first.worker])
    scheduler.add_job(make_job("b"))
    second = start(scheduler, clock_ms=20.0, now_ms=LATER_MS + 5.0)
    assert second.worker == first.worker
    assert scheduler.workers[second.worker].pop_acknowledgement(LATER_MS + 30.0) == 0


def test_nothing_is_acknowledged_while_the_answer_to_a_start_is_overdue(scheduler):
    first = start(scheduler)
    report(scheduler, first.worker, (), [done(first)], LATER_MS + 2.0)
    scheduler.mark_committed(scheduler.pop_changes())
    scheduler.unlist_worker({"w1": "w2", "w2": "w1"}[first.worker])
    scheduler.add_job(make_job("b"))
    (second,) = starts(scheduler, LATER_MS + 5.0)
    scheduler.mark_sent(second, LATER_MS + 5.0)
    worker = scheduler.workers[second.worker]
    assert worker.pop_acknowledgement(LATER_MS + 100.0) == 0
    assert worker.pop_acknowledgement(LATER_MS + 10.0) == 1


def test_a_successor_suspects_no_run_that_the_new_process_lists():
    """The predecessor recorded it with the process that it had heard of last."""
    scheduler = make_scheduler(())
    scheduler.term = replace(scheduler.term, version=20)
    job = make_job(version=9)
    placed = {0: (Placement(WorkerId("w1"), 7, "1"),)}
    steps = {(0, 0): StepRecord(placed=placed)}
    job.restore(ProgressRecord(JobState.RUNNING, 0, steps))
    scheduler.awaiting_report = {WorkerId("w1")}
    scheduler.add_job(job)
    add_worker(scheduler, "w2")
    info = replace(scheduler.workers["w2"].info, worker=WorkerId("w1"))
    scheduler.set_worker(replace(info, incarnation="2"), NOW_MS)
    (step,) = job.steps()
    listed = ReportedRun(TaskRef(job.job_id, 0, 0, 0), 7, "", 50.0)
    scheduler.apply_report(
        WorkerId("w1"), WorkerReport("2", 10.0, (listed,), ()), NOW_MS, NOW_MS
    )
    assert step.crashed == {}
    assert [run.incarnation for run in step.runs[0]] == ["2"]
