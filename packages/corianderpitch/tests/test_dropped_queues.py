"""Accepted jobs whose queue the configuration has dropped: they are still owed."""

from dataclasses import replace

import pytest
from schedulers import QUEUE, add_worker, done, make_job, report, starts
from test_jobreader import PartialOutageStore, TermHarness

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.intake import Intake, IntakeKind
from corianderpitch.daemon.scheduling.rows import (
    job_key,
    pack_workload,
    unpack_workload,
)
from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.progress import ActiveJob
from corianderpitch.domain.scheduling.queues import served_queues
from corianderpitch.domain.scheduling.workers import EndKind
from corianderpitch.domain.scheduling.workloads import AdvicePolicy, Step
from corianderpitch.ids import JobId, QueueName, ServiceName

STEPS = (Step(1, Shape(1.0, 100), 100.0), Step(1, Shape(1.0, 100), 100.0, after=(0,)))
ADVISED = replace(QUEUE, advice=AdvicePolicy(50.0, 2.0, 4000.0), max_attempts=7)


@pytest.fixture
def clock():
    return ManualClock(1000.0)


@pytest.fixture
def store(clock):
    return PartialOutageStore(clock)


def make_workload(accepted_under):
    return replace(make_job("a", STEPS).workload, accepted_under=accepted_under)


def submit(store, clock, accepted_under=QUEUE):
    workload = make_workload(accepted_under)
    assert Intake(store, clock).submit(workload).kind is IntakeKind.DONE


def test_a_job_goes_on_after_its_queue_was_dropped(store, clock):
    """Its second step was never started, beside idle workers (review/8)."""
    submit(store, clock)
    holder = TermHarness(store, clock, "e1").load()
    add_worker(holder.scheduler, "w1")
    (first,) = starts(holder.scheduler)
    holder.scheduler.set_queues({})
    report(holder.scheduler, "w1", ended=[done(first)])
    (second,) = starts(holder.scheduler)
    assert second.task.step == 1


def test_a_job_goes_on_under_a_holder_that_never_knew_its_queue(store, clock):
    submit(store, clock)
    holder = TermHarness(store, clock, "e1")
    holder.scheduler.set_queues({})
    holder.load()
    add_worker(holder.scheduler, "w1", service=ServiceName("other"))
    assert starts(holder.scheduler) == []
    add_worker(holder.scheduler, "w2")
    (first,) = starts(holder.scheduler)
    assert first.worker == "w2"


def test_a_job_of_a_dropped_queue_ends_after_as_many_attempts_as_before(store, clock):
    submit(store, clock, replace(QUEUE, max_attempts=1))
    holder = TermHarness(store, clock, "e1")
    holder.scheduler.set_queues({})
    holder.load()
    add_worker(holder.scheduler, "w1")
    (first,) = starts(holder.scheduler)
    failed = replace(done(first), kind=EndKind.FAILED)
    report(holder.scheduler, "w1", ended=[failed])
    assert JobId("a") in holder.scheduler.ended


def test_a_queue_that_is_configured_again_counts_as_it_is_configured(store, clock):
    submit(store, clock)
    holder = TermHarness(store, clock, "e1").load()
    holder.scheduler.set_queues({})
    moved = replace(QUEUE, service=ServiceName("other"))
    holder.scheduler.set_queues({QUEUE.name: moved})
    add_worker(holder.scheduler, "w1")
    assert starts(holder.scheduler) == []
    add_worker(holder.scheduler, "w2", service=ServiceName("other"))
    assert [order.worker for order in starts(holder.scheduler)] == ["w2"]


def test_a_dropped_queue_without_open_jobs_is_forgotten(store, clock):
    submit(store, clock)
    holder = TermHarness(store, clock, "e1").load()
    holder.scheduler.set_queues({})
    assert set(holder.scheduler.queues) == {QUEUE.name}
    holder.scheduler.cancel_job(JobId("a"))
    holder.scheduler.set_queues({})
    assert not holder.scheduler.queues


def test_the_latest_settings_count_of_each_dropped_queue():
    jobs = []
    for name, version, attempts in (("q1", 3, 4), ("q2", 0, 3), ("q1", 1, 2)):
        queue = replace(QUEUE, name=QueueName(name), max_attempts=attempts)
        workload = replace(make_workload(queue), queue=queue.name)
        jobs.append(ActiveJob(workload, 0.0, version))
    served = served_queues({}, {}, jobs)
    assert {name: q.max_attempts for name, q in served.items()} == {"q1": 4, "q2": 3}


@pytest.mark.parametrize("accepted_under", [None, QUEUE, ADVISED])
def test_the_queue_is_stored_with_the_job(accepted_under):
    workload = make_workload(accepted_under)
    key = job_key("quotes/0", workload.job_id)
    assert unpack_workload(key, pack_workload(workload, 5.0)) == (workload, 5.0)


def test_a_job_of_an_earlier_version_waits_for_its_queue(store, clock):
    submit(store, clock, None)
    holder = TermHarness(store, clock, "e1")
    holder.scheduler.set_queues({})
    holder.load()
    add_worker(holder.scheduler, "w1")
    assert starts(holder.scheduler) == []
    holder.scheduler.set_queues({QUEUE.name: QUEUE})
    assert len(starts(holder.scheduler)) == 1
