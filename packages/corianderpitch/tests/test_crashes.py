"""Tasks that crash the workers that start them, and bystanders of such crashes."""

import msgpack
import pytest
from schedulers import (
    NOW_MS,
    QUEUE,
    add_worker,
    done,
    make_job,
    make_scheduler,
    report,
    running,
    starts,
)

from corianderpitch.daemon.scheduling.rows import pack_progress, unpack_progress
from corianderpitch.domain.jobs import JobState, Shape
from corianderpitch.domain.scheduling.crashes import (
    DECISION_DELAY_MS,
    PROBATION_MS,
)
from corianderpitch.domain.scheduling.orders import OrderResult
from corianderpitch.domain.scheduling.progress import (
    Placement,
    ProgressRecord,
    StepRecord,
)
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.term import Term
from corianderpitch.domain.scheduling.workers import ReportedRun
from corianderpitch.domain.scheduling.workloads import Step, TaskRef
from corianderpitch.ids import JobId, WorkerId

WORKERS = tuple(f"w{n}" for n in range(1, 13))
PROVEN_MS = NOW_MS + PROBATION_MS + 50.0


def crash(scheduler, *names, silent_ms=NOW_MS):
    """End the processes of workers, as the list of VMs shows it."""
    for name in names:
        scheduler.mark_silent(WorkerId(name), silent_ms)
    scheduler.mark_terminated([WorkerId(name) for name in names])


def accept(scheduler, orders, now_ms=NOW_MS):
    for order in orders:
        scheduler.apply_order_result(order, OrderResult.DONE, now_ms)


def start_on(scheduler, name, *job_names, now_ms=NOW_MS):
    """Add jobs of one task while only one worker is free, and start them there."""
    for other in scheduler.workers.values():
        other.backoff_until_ms = 0.0 if other.info.worker == name else now_ms + 0.5
    for job_name in job_names:
        scheduler.add_job(make_job(job_name))
    orders = starts(scheduler, now_ms)
    assert {order.worker for order in orders} == {name}
    accept(scheduler, orders, now_ms)
    return orders


def settle(scheduler, now_ms):
    """Let the time pass after which crashes are decided on, and plan twice."""
    return starts(scheduler, now_ms) + starts(scheduler, now_ms + DECISION_DELAY_MS)


def ended_state(scheduler, name):
    changes = [c for c in scheduler.pop_changes() if c.job.job_id == name]
    return changes[-1].record.state if changes and changes[-1].is_final else None


def test_a_task_that_crashed_two_workers_is_not_started_on_a_third():
    """It crashed server after server to the end of the day (issue 29, BUDGET)."""
    scheduler = make_scheduler(WORKERS)
    scheduler.add_job(make_job("deadly"))
    crashed = []
    for number in range(10):
        now_ms = NOW_MS + 2000.0 * number
        for order in settle(scheduler, now_ms):
            accept(scheduler, [order], now_ms)
            crashed.append(order.worker)
            crash(scheduler, order.worker)
    assert len(crashed) == 2
    assert ended_state(scheduler, "deadly") is JobState.FAILED


def test_bystanders_of_a_crash_are_started_apart_from_each_other():
    scheduler = make_scheduler(WORKERS)
    start_on(scheduler, "w1", "a", "b", "c")
    crash(scheduler, "w1")
    orders = starts(scheduler, NOW_MS + 1.0)
    assert sorted(order.task.job_id for order in orders) == ["a", "b", "c"]
    assert len({order.worker for order in orders}) == 3


def test_a_bystander_of_two_crashes_is_not_given_up():
    """The second worker runs the deadly task and one that has passed its probation."""
    scheduler = make_scheduler(WORKERS)
    start_on(scheduler, "w1", "deadly", "bystander")
    crash(scheduler, "w1")
    orders = starts(scheduler, NOW_MS + 1.0)
    accept(scheduler, orders, NOW_MS + 1.0)
    by_job = {order.task.job_id: order for order in orders}
    crash(scheduler, by_job["deadly"].worker)
    innocent = by_job["bystander"]
    later_ms = NOW_MS + PROBATION_MS + 50.0
    report(scheduler, innocent.worker, [running(innocent)], requested_ms=later_ms)
    assert "bystander" not in scheduler.crashes.suspect_jobs
    settle(scheduler, later_ms)
    assert JobId("deadly") in scheduler.ended
    report(scheduler, innocent.worker, (), [done(innocent)], later_ms + 1000.0)
    assert ended_state(scheduler, "bystander") is JobState.DONE


def test_nothing_else_is_started_beside_a_suspect_before_its_probation_is_over():
    scheduler = make_scheduler(("w1", "w2"))
    start_on(scheduler, "w1", "a")
    crash(scheduler, "w1")
    (isolated,) = starts(scheduler, NOW_MS + 1.0)
    accept(scheduler, [isolated], NOW_MS + 1.0)
    scheduler.add_job(make_job("b"))
    assert starts(scheduler, NOW_MS + 2.0) == []
    later_ms = NOW_MS + PROBATION_MS + 50.0
    report(scheduler, "w2", [running(isolated)], requested_ms=later_ms)
    (order,) = starts(scheduler, later_ms)
    assert (order.task.job_id, order.worker) == ("b", "w2")


def test_a_suspect_starts_in_a_full_pool_once_a_worker_has_room():
    """New tasks of other jobs must not take the room for ever."""
    scheduler = make_scheduler(("w1", "w2"), processors=2.0)
    start_on(scheduler, "w1", "a")
    full = start_on(scheduler, "w2", "b", "c")
    crash(scheduler, "w1")
    for number in range(4):
        scheduler.add_job(make_job(f"later{number}"))
    assert starts(scheduler, NOW_MS + 1.0) == []
    report(scheduler, "w2", [running(o) for o in full], requested_ms=PROVEN_MS)
    ended = [done(full[0])]
    report(scheduler, "w2", [running(full[1])], ended, PROVEN_MS + 1.0)
    (order,) = starts(scheduler, PROVEN_MS + 1.0)
    assert order.task.job_id == "a"


def test_a_suspect_whose_worker_is_cut_off_and_crashes_is_not_given_up():
    """The worker fell silent long after the start; one more crash must show it."""
    scheduler = make_scheduler(WORKERS)
    start_on(scheduler, "w1", "a", "b")
    crash(scheduler, "w1")
    orders = starts(scheduler, NOW_MS + 1.0)
    accept(scheduler, orders, NOW_MS + 1.0)
    crash(scheduler, orders[0].worker, silent_ms=NOW_MS + 1400.0)
    (again,) = settle(scheduler, NOW_MS + 1500.0)
    assert again.task == orders[0].task


def test_a_rack_that_crashed_twice_ends_no_job():
    scheduler = make_scheduler(WORKERS)
    lone = start_on(scheduler, "w1", "a")
    start_on(scheduler, "w2", "b")
    start_on(scheduler, "w3", "c")
    crash(scheduler, "w1", "w2", "w3")
    orders = starts(scheduler, NOW_MS + 1.0)
    assert len(orders) == 3
    accept(scheduler, orders, NOW_MS + 1.0)
    for number, name in enumerate(("w11", "w12")):
        start_on(scheduler, name, f"other{number}", now_ms=NOW_MS + 2.0)
    again = next(o for o in orders if o.task.job_id == lone[0].task.job_id)
    crash(scheduler, again.worker, "w11", "w12")
    settle(scheduler, NOW_MS + 10.0)
    assert JobId("a") not in scheduler.ended


def test_a_lapsed_lease_alone_is_no_crash():
    scheduler = make_scheduler(WORKERS)
    (order,) = start_on(scheduler, "w1", "a")
    scheduler.mark_silent(WorkerId("w1"))
    scheduler.expire(NOW_MS + 7000.0)
    assert scheduler.crashes.suspect_jobs == set()
    report(scheduler, "w1", requested_ms=NOW_MS + 7100.0)
    report(scheduler, "w1", requested_ms=NOW_MS + 7200.0, incarnation="2")
    step = scheduler.jobs[JobId("a")].find_step(order.task)
    assert step.crash_count(0) == 0


def test_a_crash_that_shows_after_the_lease_has_lapsed_counts():
    scheduler = make_scheduler(WORKERS)
    (order,) = start_on(scheduler, "w1", "a")
    scheduler.mark_silent(WorkerId("w1"))
    scheduler.expire(NOW_MS + 7000.0)
    report(scheduler, "w1", requested_ms=NOW_MS + 7100.0, incarnation="2")
    step = scheduler.jobs[JobId("a")].find_step(order.task)
    assert step.crash_count(0) == 1


@pytest.mark.parametrize("cause", ["evacuation", "draining"])
def test_a_planned_end_of_a_worker_is_no_crash(cause):
    scheduler = make_scheduler(WORKERS)
    (order,) = start_on(scheduler, "w1", "a")
    worker = scheduler.workers[WorkerId("w1")]
    worker.is_evacuating = cause == "evacuation"
    worker.draining_since_ms = NOW_MS if cause == "draining" else None
    crash(scheduler, "w1")
    step = scheduler.jobs[JobId("a")].find_step(order.task)
    assert step.crash_count(0) == 0


def test_a_lasting_task_that_serves_is_no_suspect():
    scheduler = make_scheduler(WORKERS)
    step = Step(1, Shape(1.0, 100), 100.0, is_lasting=True)
    scheduler.add_job(make_job("a", [step]))
    for number in range(4):
        now_ms = NOW_MS + 1000.0 * number
        (order,) = starts(scheduler, now_ms)
        accept(scheduler, [order], now_ms)
        late_ms = now_ms + PROBATION_MS + 50.0
        report(scheduler, order.worker, [running(order)], requested_ms=late_ms)
        crash(scheduler, order.worker)
        assert scheduler.crashes.suspect_jobs == set()
    assert JobId("a") in scheduler.jobs


def test_the_tasks_of_a_gang_that_crashes_a_worker_are_given_up():
    scheduler = make_scheduler(WORKERS, processors=1.0)
    step = Step(3, Shape(1.0, 100), 100.0, is_gang=True)
    scheduler.add_job(make_job("gang", [step]))
    for number in range(2):
        now_ms = NOW_MS + 2000.0 * number
        orders = settle(scheduler, now_ms)
        assert len({order.worker for order in orders}) == 3
        accept(scheduler, orders, now_ms)
        guilty = next(order for order in orders if order.task.index == 0)
        crash(scheduler, guilty.worker)
        for order in orders:
            if order is not guilty:
                scheduler.mark_silent(order.worker)
                scheduler.expire(now_ms + 1900.0)
    settle(scheduler, NOW_MS + 4000.0)
    assert ended_state(scheduler, "gang") is JobState.FAILED


def make_successor(record, known=WORKERS):
    """Return a scheduler of a later term that has read one job with progress."""
    scheduler = Scheduler(Term(2, 50, NOW_MS))
    scheduler.set_queues({QUEUE.name: QUEUE})
    scheduler.awaiting_report = {WorkerId(name) for name in known}
    job = make_job("a")
    job.restore(unpack_progress(pack_progress(record)))
    scheduler.add_job(job)
    return scheduler


def recorded(placed=(), crashed=()):
    step = StepRecord(
        placed={0: tuple(placed)} if placed else {},
        crashed={0: tuple(crashed)} if crashed else {},
    )
    return ProgressRecord(JobState.RUNNING, 0, {(0, 0): step}, recorded_ms=1.0)


def test_a_successor_continues_the_count_of_crashes():
    scheduler = make_successor(recorded(crashed=[7]))
    for name in WORKERS:
        add_worker(scheduler, name)
    (order,) = starts(scheduler)
    accept(scheduler, [order])
    crash(scheduler, order.worker)
    assert settle(scheduler, NOW_MS + 10.0) == []
    assert ended_state(scheduler, "a") is JobState.FAILED


@pytest.mark.parametrize("shown_by", ["new incarnation", "end of the process"])
def test_a_crash_between_two_holders_counts(shown_by):
    scheduler = make_successor(recorded([Placement(WorkerId("w1"), 7, "0")]))
    for name in WORKERS[1:]:
        add_worker(scheduler, name)
    if shown_by == "new incarnation":
        add_worker(scheduler, "w1")
    else:
        scheduler.mark_terminated([WorkerId("w1")])
    assert scheduler.jobs[JobId("a")].record().steps[0, 0].crashed == {0: (7,)}


def test_a_crash_that_both_holders_saw_counts_once():
    record = recorded([Placement(WorkerId("w1"), 7, "0")], crashed=[7])
    scheduler = make_successor(record)
    add_worker(scheduler, "w1")
    assert scheduler.jobs[JobId("a")].record().steps[0, 0].crashed == {0: (7,)}


def test_a_recorded_run_that_goes_on_is_no_crash():
    scheduler = make_successor(recorded([Placement(WorkerId("w1"), 7, "1")]))
    add_worker(scheduler, "w1")
    run = ReportedRun(TaskRef(JobId("a"), 0, 0, 0), 7, "", 50.0)
    report(scheduler, "w1", running=[run])
    assert scheduler.crashes.suspect_jobs == set()


def test_progress_of_earlier_versions_is_read():
    old = [JobState.RUNNING.value, 0, [[0, 0, [1], {}, {}, {0: ["w1"]}]], 0.0]
    record = unpack_progress(msgpack.packb(old))
    assert record.steps[0, 0].placed == {0: (Placement(WorkerId("w1")),)}
    assert record.steps[0, 0].crashed == {}
