"""Members of a gang that do not agree wait for each other in vain, and end alone.

A gang that was started again got a different checkpoint for each member.
"""

from dataclasses import replace

import pytest
from schedulers import NOW_MS, add_worker, make_job, make_scheduler, report, starts

from corianderpitch.daemon.scheduling.rows import pack_progress, unpack_progress
from corianderpitch.domain.jobs import JobState, Shape
from corianderpitch.domain.scheduling.orders import OrderResult, StartRun, StopRun
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.progress import ProgressRecord, StepRecord
from corianderpitch.domain.scheduling.stops import STOP_RETRY_MS
from corianderpitch.domain.scheduling.workers import EndKind, ReportedEnd, ReportedRun
from corianderpitch.domain.scheduling.workloads import Step, TaskRef
from corianderpitch.ids import JobId

GANG = Step(3, Shape(3.0, 100), 100.0, saves_progress=True, is_gang=True)
WORKERS = ("w1", "w2", "w3", "w4")
JOB = JobId("a")


@pytest.fixture
def scheduler():
    scheduler = make_scheduler(WORKERS)
    scheduler.add_job(make_job(JOB, [GANG]))
    return scheduler


def make_successor(record):
    """Return a scheduler that has taken over a job with this record."""
    scheduler = make_scheduler(())
    scheduler.term = replace(scheduler.term, number=2, version=20)
    job = make_job(JOB, [GANG])
    job.restore(unpack_progress(pack_progress(record)))
    scheduler.add_job(job)
    return scheduler


def listed(order, checkpoint=""):
    return ReportedRun(order.task, order.number, checkpoint, 50.0)


def broken(order, checkpoint):
    kind = EndKind.GANG_BROKEN
    return ReportedEnd(1, order.task, order.number, kind, checkpoint)


def confirm(scheduler, orders):
    for order in orders:
        scheduler.mark_sent(order, NOW_MS)
        scheduler.apply_order_result(order, OrderResult.DONE, NOW_MS)


def orders_after(scheduler, now_ms, kind):
    plan(scheduler, now_ms, 0.0)
    return [order for order in scheduler.pop_orders() if isinstance(order, kind)]


def crash_member(scheduler):
    """Crash the worker of one member that has shown no checkpoint yet."""
    victim, *others = starts(scheduler)
    confirm(scheduler, (victim, *others))
    report(scheduler, victim.worker, [listed(victim)])
    scheduler.mark_silent(victim.worker, NOW_MS + 5000.0)
    scheduler.mark_terminated([victim.worker])
    for order in others:
        report(scheduler, order.worker, (), [broken(order, "newest")], NOW_MS + 5001.0)


def test_all_members_of_a_gang_start_again_from_one_checkpoint(scheduler):
    crash_member(scheduler)
    again = orders_after(scheduler, NOW_MS + 9000.0, StartRun)
    assert [order.checkpoint for order in again] == ["newest"] * 3


def test_all_members_of_a_gang_start_from_one_checkpoint_under_the_next_holder(
    scheduler,
):
    crash_member(scheduler)
    (change,) = scheduler.pop_changes()
    successor = make_successor(change.record)
    for name in WORKERS:
        add_worker(successor, name)
    again = orders_after(successor, NOW_MS, StartRun)
    assert [order.checkpoint for order in again] == ["newest"] * 3


def test_checkpoints_that_an_earlier_version_recorded_become_one():
    step = StepRecord(checkpoints={0: "old", 1: "newest", 2: "newest"})
    successor = make_successor(ProgressRecord(JobState.RUNNING, 0, {(0, 0): step}))
    for name in WORKERS:
        add_worker(successor, name)
    orders = orders_after(successor, NOW_MS, StartRun)
    assert [order.checkpoint for order in orders] == ["newest"] * 3


def test_members_do_not_wait_for_one_whose_start_was_refused(scheduler):
    refused, *others = starts(scheduler)
    confirm(scheduler, others)
    scheduler.apply_order_result(refused, OrderResult.NO_ROOM, NOW_MS)
    stops = orders_after(scheduler, NOW_MS + 1.0, StopRun)
    assert {order.task for order in stops} == {order.task for order in others}
    for order in others:
        end = replace(broken(order, ""), kind=EndKind.STOPPED)
        report(scheduler, order.worker, (), [end], NOW_MS + 2.0)
    again = orders_after(scheduler, NOW_MS + 200.0, StartRun)
    assert len({order.number for order in again}) == 1
    assert {order.task.index for order in again} == {0, 1, 2}


def test_a_successor_does_not_keep_members_that_lack_one():
    """The predecessor was gone before it had sent all starts."""
    successor = make_successor(ProgressRecord(JobState.RUNNING))
    for index, name in enumerate(WORKERS[:2]):
        add_worker(successor, name)
        report(successor, name, [member(index, number=7)])
    for name in WORKERS[2:]:
        add_worker(successor, name)
    stops = orders_after(successor, NOW_MS, StopRun)
    assert {order.task.index for order in stops} == {0, 1}


def test_a_successor_does_not_keep_members_of_different_starts():
    successor = make_successor(ProgressRecord(JobState.RUNNING))
    numbers = {"w1": 8, "w2": 7, "w3": 8}
    for index, (name, number) in enumerate(numbers.items()):
        add_worker(successor, name)
        report(successor, name, [member(index, number)])
    add_worker(successor, "w4")
    stops = orders_after(successor, NOW_MS + STOP_RETRY_MS, StopRun)
    assert {(o.task.index, o.number) for o in stops} == {(0, 8), (1, 7), (2, 8)}


def member(index, number):
    return ReportedRun(TaskRef(JOB, 0, 0, index), number, "", 0.0)
