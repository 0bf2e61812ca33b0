"""What counts as the begin of a job: a start that a worker has confirmed.

Jobs whose starts had gone to a rack that was dark were left out of ``waiting``, and
shown as running.
"""

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

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.intake import Intake
from corianderpitch.daemon.scheduling.rows import (
    COMPRESS_MIN_BYTES,
    home_partition,
    pack_progress,
    progress_key,
    unpack_progress,
    unpack_state,
)
from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.orders import OrderResult
from corianderpitch.domain.scheduling.progress import ProgressRecord, StepRecord
from corianderpitch.errors import MalformedData
from corianderpitch.ports import Write


@pytest.fixture
def scheduler():
    scheduler = make_scheduler()
    scheduler.add_job(make_job())
    return scheduler


def recorded_state(scheduler):
    (job,) = scheduler.jobs.values()
    return job.record().state


@pytest.mark.parametrize("result", [OrderResult.NO_ANSWER, OrderResult.NOT_SENT])
def test_a_job_whose_start_was_lost_has_not_begun(scheduler, result):
    (order,) = starts(scheduler)
    assert recorded_state(scheduler) is JobState.QUEUED
    scheduler.apply_order_result(order, result, NOW_MS)
    scheduler.mark_silent(order.worker, NOW_MS)
    scheduler.mark_terminated([order.worker])
    assert recorded_state(scheduler) is JobState.QUEUED


def test_a_job_has_begun_once_a_worker_confirms_a_start(scheduler):
    (order,) = starts(scheduler)
    scheduler.pop_changes()
    scheduler.apply_order_result(order, OrderResult.DONE, NOW_MS)
    (change,) = scheduler.pop_changes()
    assert change.record.state is JobState.RUNNING


def test_a_job_has_begun_once_a_report_lists_a_run_whose_start_got_no_answer(scheduler):
    (order,) = starts(scheduler)
    scheduler.apply_order_result(order, OrderResult.NO_ANSWER, NOW_MS)
    scheduler.pop_changes()
    report(scheduler, order.worker, [running(order)])
    (change,) = scheduler.pop_changes()
    assert change.record.state is JobState.RUNNING


def test_a_job_stays_begun_when_its_run_is_lost(scheduler):
    (order,) = starts(scheduler)
    scheduler.apply_order_result(order, OrderResult.DONE, NOW_MS)
    scheduler.mark_silent(order.worker, NOW_MS)
    scheduler.mark_terminated([order.worker])
    assert recorded_state(scheduler) is JobState.RUNNING


def test_a_successor_learns_from_reports_whether_a_job_has_begun(scheduler):
    """The predecessor's record shows the start that it had only planned."""
    (order,) = starts(scheduler)
    (change,) = scheduler.pop_changes()
    successor = make_scheduler(())
    job = make_job()
    job.restore(unpack_progress(pack_progress(change.record)))
    successor.add_job(job)
    for name in ("w1", "w2"):
        add_worker(successor, name)
    assert job.state is JobState.QUEUED
    report(successor, order.worker, [running(order)])
    assert job.state is JobState.RUNNING


def test_a_job_that_ended_before_its_begin_was_heard_of_is_done(scheduler):
    (order,) = starts(scheduler)
    report(scheduler, order.worker, (), [done(order)])
    (change,) = scheduler.pop_changes()
    assert change.record.state is JobState.DONE


def test_jobs_with_planned_starts_only_are_counted_as_waiting():
    store = MemoryRowStore(ManualClock(NOW_MS))
    intake = Intake(store, ManualClock(NOW_MS))
    states = (None, JobState.QUEUED, JobState.RUNNING)
    for number, state in enumerate(states):
        workload = make_job(f"{number:016x}").workload
        intake.submit(workload)
        if state is not None:
            part = home_partition(QUEUE.name, workload.job_id)
            value = pack_progress(ProgressRecord(state))
            store.commit((), (Write(progress_key(part, workload.job_id), value),))
    assert intake.count_waiting(QUEUE.name).waiting == 2
    shown = [intake.show(QUEUE.name, f"{n:016x}").state for n in range(len(states))]
    assert shown == [JobState.QUEUED, JobState.QUEUED, JobState.RUNNING]


@pytest.mark.parametrize("state", list(JobState))
@pytest.mark.parametrize("checkpoints", [0, COMPRESS_MIN_BYTES])
def test_the_state_is_read_without_the_rest_of_a_record(state, checkpoints):
    step = StepRecord(checkpoints={n: "0" * 16 for n in range(checkpoints)})
    record = ProgressRecord(state, 3, {(0, 0): step}, 1.0)
    assert unpack_state(pack_progress(record)) is state


@pytest.mark.parametrize("value", [b"", b"\xc1", b"\x93", msgpack.packb(["odd"])])
def test_a_record_without_a_state_is_malformed(value):
    with pytest.raises(MalformedData):
        unpack_state(value)
