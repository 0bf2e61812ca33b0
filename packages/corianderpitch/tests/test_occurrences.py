"""Occurrences of a timed job that a successor does not know of.

One that had lost its only run when the role changed hands was never begun again, and
its job stayed running for ever.
"""

from dataclasses import replace

import pytest
from schedulers import (
    NOW_MS,
    add_worker,
    make_job,
    make_scheduler,
    report,
    running,
)

from corianderpitch.daemon.scheduling.rows import pack_progress, unpack_progress
from corianderpitch.domain.scheduling.orders import OrderResult, StartRun
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.progress import (
    MAX_ACTIVE_OCCURRENCES,
    ActiveJob,
)
from corianderpitch.domain.scheduling.workers import ReportedRun
from corianderpitch.domain.scheduling.workloads import Schedule, TaskRef
from corianderpitch.ids import JobId

START_MS, PERIOD_MS = 1000.0, 100.0
WORKERS = ("w1", "w2", "w3", "w4")


def timed_job(repeats=3):
    schedule = Schedule(repeats, START_MS, PERIOD_MS)
    workload = replace(make_job("a").workload, schedule=schedule)
    return ActiveJob(workload, 0.0, 9)


def begin(scheduler, wall_ms):
    """Start what is due, one after the other, and return the orders."""
    orders = []
    for due_ms in range(int(START_MS), int(wall_ms) + 1, int(PERIOD_MS)):
        plan(scheduler, NOW_MS, due_ms)
        orders += [o for o in scheduler.pop_orders() if isinstance(o, StartRun)]
    return orders


def make_successor(record, repeats=3):
    successor = make_scheduler(())
    successor.term = replace(successor.term, number=2, version=20)
    job = timed_job(repeats)
    job.restore(unpack_progress(pack_progress(record)))
    successor.add_job(job)
    return successor


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_an_occurrence_that_lost_its_run_begins_under_the_next_holder(lost):
    scheduler = make_scheduler(WORKERS, processors=1.0)
    scheduler.add_job(timed_job())
    orders = begin(scheduler, START_MS + 2 * PERIOD_MS)
    assert [order.task.occurrence for order in orders] == [0, 1, 2]
    for order in orders:
        scheduler.apply_order_result(order, OrderResult.DONE, NOW_MS)
    scheduler.mark_silent(orders[lost].worker, NOW_MS + 5000.0)
    scheduler.mark_terminated([orders[lost].worker])
    (change,) = scheduler.pop_changes()
    successor = make_successor(change.record)
    for order in orders:
        add_worker(successor, order.worker, 1.0)
        listed = [] if order is orders[lost] else [running(order)]
        report(successor, order.worker, listed)
    again = begin(successor, START_MS + 2 * PERIOD_MS)
    assert [order.task.occurrence for order in again] == [lost]


def test_occurrences_before_one_that_a_report_shows_begin_too():
    """A predecessor had not recorded any of them yet."""
    successor = make_successor(timed_job().record())
    add_worker(successor, "w1")
    report(successor, "w1", [ReportedRun(TaskRef(JobId("a"), 2, 0, 0), 7, "", 1.0)])
    add_worker(successor, "w2")
    orders = begin(successor, START_MS + 2 * PERIOD_MS)
    assert [order.task.occurrence for order in orders] == [0, 1]


def test_a_missing_occurrence_begins_although_as_many_as_allowed_are_active():
    repeats = MAX_ACTIVE_OCCURRENCES + 50
    successor = make_successor(timed_job(repeats).record(), repeats)
    (job,) = successor.jobs.values()
    for occurrence in range(2, MAX_ACTIVE_OCCURRENCES + 2):
        job.begin_occurrence(occurrence)
    job.begin_due_occurrences(1e9)
    assert list(job.occurrences) == list(range(MAX_ACTIVE_OCCURRENCES + 2))


def test_nothing_begins_before_its_time_beside_a_later_occurrence():
    job = timed_job()
    job.begin_occurrence(2)
    job.begin_due_occurrences(START_MS + PERIOD_MS - 1.0)
    assert list(job.occurrences) == [0, 2]
