"""Workers whose capacity shrinks and grows while tasks run on them."""

from dataclasses import replace

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

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.workers import (
    EndKind,
    ReportedEnd,
    ReportedRun,
)
from corianderpitch.domain.scheduling.workloads import Step, TaskRef
from corianderpitch.ids import JobId, WorkerId

W1 = WorkerId("w1")


def set_capacity(scheduler, processors, incarnation="1"):
    """Change the capacity in the list entry of the worker w1."""
    info = scheduler.workers[W1].info
    capacity = replace(info.capacity, processors=processors)
    changed = replace(info, capacity=capacity, incarnation=incarnation)
    scheduler.set_worker(changed, NOW_MS)


def add_job(scheduler, name, tasks, processors=1.0):
    steps = [Step(tasks, Shape(processors, 100), 100.0)]
    scheduler.add_job(make_job(name, steps))


def test_a_start_does_not_overfill_a_worker_that_shrank():
    scheduler = make_scheduler(("w1",), processors=8.0)
    add_job(scheduler, "a", 1)
    assert len(starts(scheduler)) == 1
    set_capacity(scheduler, 2.0)
    add_job(scheduler, "b", 6)
    assert len(starts(scheduler)) == 1


def test_a_worker_that_shrank_below_its_runs_starts_nothing_until_they_fit():
    scheduler = make_scheduler(("w1",), processors=8.0)
    add_job(scheduler, "a", 4)
    orders = starts(scheduler)
    set_capacity(scheduler, 2.0)
    worker = scheduler.workers[W1]
    assert worker.free.processors == -2.0
    assert len(worker.runs) == 4
    add_job(scheduler, "b", 4)
    assert starts(scheduler) == []
    for sequence, order in enumerate(orders[:2], 1):
        rest = [running(other) for other in orders[sequence:]]
        report(scheduler, W1, rest, [done(order, sequence)])
    assert starts(scheduler) == []
    report(scheduler, W1, [running(orders[3])], [done(orders[2], 3)])
    assert len(starts(scheduler)) == 1


def test_a_worker_that_grows_again_gets_tasks_for_its_new_capacity():
    scheduler = make_scheduler(("w1",), processors=8.0)
    add_job(scheduler, "a", 20)
    assert len(starts(scheduler)) == 8
    set_capacity(scheduler, 2.0)
    assert starts(scheduler) == []
    set_capacity(scheduler, 10.0)
    assert len(starts(scheduler)) == 2


def test_a_stopped_run_occupies_a_worker_that_shrank_until_its_end_is_listed():
    scheduler = make_scheduler(("w1",), processors=8.0)
    add_job(scheduler, "a", 1, processors=2.0)
    (order,) = starts(scheduler)
    report(scheduler, W1, [running(order)], requested_ms=NOW_MS + 1.0)
    scheduler.cancel_job(JobId("a"))
    set_capacity(scheduler, 2.0)
    add_job(scheduler, "b", 2)
    assert starts(scheduler, NOW_MS + 2.0) == []
    report(scheduler, W1, [running(order)], requested_ms=NOW_MS + 3.0)
    assert starts(scheduler, NOW_MS + 4.0) == []
    end = ReportedEnd(1, order.task, order.number, EndKind.STOPPED, "")
    report(scheduler, W1, ended=[end], requested_ms=NOW_MS + 5.0)
    assert len(starts(scheduler, NOW_MS + 6.0)) == 2


def test_a_worker_that_restarts_smaller_has_only_its_new_capacity():
    scheduler = make_scheduler(("w1",), processors=8.0)
    add_job(scheduler, "a", 6)
    assert len(starts(scheduler)) == 6
    set_capacity(scheduler, 2.0, incarnation="2")
    report(scheduler, W1, incarnation="2")
    assert scheduler.workers[W1].free.processors == 2.0
    assert len(starts(scheduler)) == 2


def test_a_worker_under_a_known_address_with_a_new_id_has_its_own_capacity():
    scheduler = make_scheduler(("w1",), processors=8.0)
    add_job(scheduler, "a", 8)
    assert len(starts(scheduler)) == 8
    add_worker(scheduler, "w2", 2.0)
    address = scheduler.workers[W1].info.address
    second = scheduler.workers[WorkerId("w2")]
    scheduler.set_worker(replace(second.info, address=address), NOW_MS)
    add_job(scheduler, "b", 8)
    assert len(starts(scheduler)) == 2


def test_a_run_that_a_predecessor_left_occupies_its_worker_until_it_has_ended():
    """Its job was cancelled, so its reservation is not known to the new holder."""
    scheduler = make_scheduler(("w1",), processors=8.0)
    left = ReportedRun(TaskRef(JobId("cancelled"), 0, 0, 0), 1, "", 50.0)
    report(scheduler, W1, [left])
    add_job(scheduler, "b", 8)
    assert starts(scheduler) == []
    end = ReportedEnd(1, left.task, left.number, EndKind.STOPPED, "")
    report(scheduler, W1, ended=[end])
    assert len(starts(scheduler)) == 8


def test_a_worker_that_guards_its_capacity_is_not_left_idle_for_an_unknown_run():
    """A pool stood still for as long as a partition of its jobs could not be read."""
    scheduler = make_scheduler(("w1",), processors=8.0)
    scheduler.set_queues({QUEUE.name: replace(QUEUE, workers_guard_capacity=True)})
    scheduler.has_read_all_jobs = False
    unread = ReportedRun(TaskRef(JobId("unread"), 0, 0, 0), 1, "", 50.0)
    report(scheduler, W1, [unread])
    add_job(scheduler, "b", 4)
    assert len(starts(scheduler)) == 4


def test_a_run_of_a_job_that_is_not_read_yet_occupies_its_worker():
    scheduler = make_scheduler(("w1",), processors=8.0)
    scheduler.has_read_all_jobs = False
    unread = ReportedRun(TaskRef(JobId("unread"), 0, 0, 0), 1, "", 50.0)
    report(scheduler, W1, [unread])
    add_job(scheduler, "b", 8)
    assert starts(scheduler) == []
