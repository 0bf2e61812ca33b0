"""What counts as evidence that a task has crashed a worker, and what does not."""

import pytest
from schedulers import (
    NOW_MS,
    ONE_STEP,
    QUEUE,
    add_worker,
    make_job,
    make_scheduler,
    report,
    starts,
)

from corianderpitch.daemon.scheduling.rows import pack_progress, unpack_progress
from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.crashes import DECISION_DELAY_MS, PROBATION_MS
from corianderpitch.domain.scheduling.orders import OrderResult
from corianderpitch.domain.scheduling.scheduler import Scheduler, Term
from corianderpitch.domain.scheduling.workers import ReportedRun
from corianderpitch.domain.scheduling.workloads import Step, TaskRef
from corianderpitch.ids import JobId, WorkerId

WORKERS = tuple(f"w{n}" for n in range(1, 13))
JOB = JobId("a")
LASTING = Step(1, Shape(1.0, 100), 100.0, is_lasting=True)


def answer(scheduler, order, result, now_ms):
    scheduler.apply_order_result(order, result, now_ms)


def crash(scheduler, name, silent_ms):
    scheduler.mark_silent(WorkerId(name), silent_ms)
    scheduler.mark_terminated([WorkerId(name)])


def decide(scheduler, now_ms):
    """Let crashes be decided on; return the orders to start tasks again."""
    return starts(scheduler, now_ms) + starts(scheduler, now_ms + DECISION_DELAY_MS)


def make_successor(number, record, steps=ONE_STEP):
    """Return a scheduler of a later term that has read one job with progress."""
    scheduler = Scheduler(Term(number, 50 * number, NOW_MS))
    scheduler.set_queues({QUEUE.name: QUEUE})
    scheduler.awaiting_report = {WorkerId(name) for name in WORKERS}
    job = make_job(JOB, steps)
    if record is not None:
        job.restore(unpack_progress(pack_progress(record)))
    scheduler.add_job(job)
    return scheduler


@pytest.mark.parametrize("result", [OrderResult.NO_ANSWER, None])
def test_a_start_that_was_not_seen_to_begin_does_not_end_its_job(result):
    """Two orders went to workers that were dark already (issue 32, LOST)."""
    scheduler = make_scheduler(WORKERS)
    scheduler.add_job(make_job(JOB))
    orders = starts(scheduler)
    for number in range(4):
        now_ms = NOW_MS + 1000.0 * number
        (order,) = orders
        if result is not None:
            answer(scheduler, order, result, now_ms + 1.0)
        crash(scheduler, order.worker, now_ms + 2.0)
        assert scheduler.crashes.suspect_jobs == set()
        orders = decide(scheduler, now_ms + 3.0)
    assert JOB in scheduler.jobs


def test_a_run_of_a_predecessor_is_no_suspect_after_its_adoption():
    """It had served for twelve seconds, and counted as just started (issue 32)."""
    scheduler = make_successor(2, None, [LASTING])
    add_worker(scheduler, "w1")
    run = ReportedRun(TaskRef(JOB, 0, 0, 0), 7, "", 100.0)
    report(scheduler, "w1", [run])
    crash(scheduler, "w1", NOW_MS + 100.0)
    assert scheduler.crashes.suspect_jobs == set()


def test_a_run_that_outlived_its_probation_before_the_silence_is_no_suspect():
    """Its report was due only after the crash."""
    scheduler = make_scheduler(WORKERS)
    scheduler.add_job(make_job(JOB, [LASTING]))
    (order,) = starts(scheduler)
    answer(scheduler, order, OrderResult.DONE, NOW_MS)
    crash(scheduler, order.worker, NOW_MS + 3 * PROBATION_MS)
    assert scheduler.crashes.suspect_jobs == set()
