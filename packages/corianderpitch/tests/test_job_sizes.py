"""What one accepted job, or several, may cost a holder, whatever callers choose.

A job of 400 steps with 10,000 tasks each ended every holder of the role over its
memory, and no other job ran any more.
"""

import random
import tracemalloc

import pytest
from fakes import DeferringStore
from returns.result import Failure
from schedulers import NOW_MS, QUEUE, done, make_job, make_scheduler, report, starts

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.adapters.partedtable import PartitionedTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.admissions import AdmissionTask
from corianderpitch.daemon.scheduling.commits import _first_batch
from corianderpitch.daemon.scheduling.intake import (
    QUEUE_FULL_RETRY_MS,
    Intake,
    IntakeKind,
)
from corianderpitch.daemon.scheduling.rows import (
    INTAKE_TABLE,
    closed_key,
    job_key,
    job_partitions,
    pack_progress,
    pack_workers,
    pack_workload,
    queue_partitions,
    unpack_progress,
    unpack_workers,
    unpack_workload,
)
from corianderpitch.domain.jobs import JobState, Shape
from corianderpitch.domain.scheduling.admission import (
    MAX_SHARE,
    full_queues,
    remembered_bytes,
)
from corianderpitch.domain.scheduling.changes import JobChange
from corianderpitch.domain.scheduling.fitting import MAX_STEPS_PER_ROUND
from corianderpitch.domain.scheduling.indexes import IndexSet
from corianderpitch.domain.scheduling.placing import MAX_RUNS_OF_WORKER
from corianderpitch.domain.scheduling.planning import plan
from corianderpitch.domain.scheduling.progress import (
    MAX_ACTIVE_STEPS,
    MAX_OPEN_TASKS,
    ActiveJob,
    Placement,
    ProgressRecord,
    StepRecord,
)
from corianderpitch.domain.scheduling.workloads import Schedule, Step, Workload
from corianderpitch.errors import OutcomeLost
from corianderpitch.ids import EntryId, JobId, QueueName, WorkerId
from corianderpitch.ports import Write

SMALLEST_MEMORY_BYTES = 200e6  # of an entry
ROW_BYTES = 65_536
SMALL, NOTHING = Shape(0.5, 100), Shape(0.0, 0)
HOPELESS = Step(10_000, SMALL, 1.0, label="none")

EXTREMES = {
    "many tasks": ([HOPELESS] * 400, Schedule()),
    "many steps at many times": (
        [Step(1, SMALL, 1.0, label="none")] * 1000,
        Schedule(10**9, 0.0, 0.0),
    ),
    "tasks of no size": ([Step(10_000, NOTHING, 1.0)] * 50, Schedule()),
    "a gang of no size": ([Step(10_000, NOTHING, 1.0, is_gang=True)], Schedule()),
    "tasks that fill": ([Step(10_000, SMALL, 1.0, is_filler=True)] * 9, Schedule()),
}


@pytest.mark.parametrize("extreme", EXTREMES)
def test_one_job_takes_little_of_a_holders_memory(extreme):
    steps, schedule = EXTREMES[extreme]
    scheduler = make_scheduler(tuple(f"w{n}" for n in range(20)))
    tracemalloc.start()
    job = ActiveJob(Workload(JobId("a"), QUEUE.name, "", tuple(steps), schedule), 0, 9)
    scheduler.add_job(job)
    for round_ in range(5):
        plan(scheduler, NOW_MS + round_ * 100.0, 1e12)
        scheduler.pop_orders()
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert taken < MAX_SHARE * SMALLEST_MEMORY_BYTES / 8
    assert taken < 1.5 * remembered_bytes(job)
    assert len(list(job.steps())) <= MAX_ACTIVE_STEPS
    assert sum(len(step.open) for step in job.steps()) <= MAX_OPEN_TASKS


def test_a_holder_with_a_hopeless_job_of_many_tasks_still_runs_other_jobs():
    scheduler = make_scheduler()
    scheduler.add_job(make_job("a", [HOPELESS] * 400))
    scheduler.add_job(make_job("b"))
    (order,) = starts(scheduler)
    assert order.task.job_id == "b"


def test_a_step_among_many_that_fit_nowhere_starts_within_a_few_rounds():
    hopeless = [Step(1, Shape(100.0 + n, 100), 1.0) for n in range(999)]
    scheduler = make_scheduler()
    scheduler.add_job(make_job("a", [*hopeless, Step(1, SMALL, 1.0)]))
    started = [o for _ in range(1000 // MAX_STEPS_PER_ROUND) for o in starts(scheduler)]
    assert [order.task.step for order in started] == [999]


def test_all_tasks_of_a_step_run_although_few_are_open_at_once():
    count = MAX_OPEN_TASKS + 10
    scheduler = make_scheduler(tuple(f"w{n}" for n in range(10)))
    scheduler.add_job(make_job("a", [Step(count, NOTHING, 1.0)]))
    first = starts(scheduler)
    assert len(first) == MAX_OPEN_TASKS
    by_worker = {}
    for order in first:
        by_worker.setdefault(order.worker, []).append(order)
    assert max(map(len, by_worker.values())) <= MAX_RUNS_OF_WORKER
    for worker, orders in by_worker.items():
        report(scheduler, worker, (), [done(o, n) for n, o in enumerate(orders, 1)])
    last = starts(scheduler)
    assert sorted(o.task.index for o in [*first, *last]) == list(range(count))


def test_tasks_of_a_large_step_that_failed_start_again_beside_all_open_ones():
    scheduler = make_scheduler(tuple(f"w{n}" for n in range(10)))
    scheduler.add_job(make_job("a", [Step(10_000, NOTHING, 1.0)]))
    orders = starts(scheduler)
    report(scheduler, orders[0].worker, (), (), NOW_MS, "2")
    lost = {o.task for o in orders if o.worker == orders[0].worker}
    assert {order.task for order in starts(scheduler)} == lost


def random_record(rng):
    """Return the progress of the largest size that an open job may have."""
    indexes = sorted(rng.sample(range(10_000), MAX_OPEN_TASKS))
    workers = [f"{rng.getrandbits(64):016x}" for _ in range(300)]
    placed, failed, checkpoints = {}, {}, {}
    for index in indexes:
        worker, number = (
            WorkerId(rng.choice(workers)),
            3_000_000 + rng.randrange(20_000),
        )
        incarnation = str(1_796_476_238_579 + rng.randrange(10**7))
        placed[index] = (Placement(worker, number, incarnation),)
        failed[index] = (number - 1,)
        checkpoints[index] = f"{rng.getrandbits(64):016x}"
    step = StepRecord(IndexSet(), failed, checkpoints, placed)
    return ProgressRecord(JobState.RUNNING, 0, {(0, 0): step}, 1.0)


def test_the_progress_of_a_job_with_many_open_tasks_fits_into_a_row():
    """The store would refuse it, and all that is committed beside it."""
    record = random_record(random.Random(1))
    value = pack_progress(record)
    assert len(value) <= ROW_BYTES
    assert unpack_progress(value) == record


def test_large_records_are_committed_in_transactions_of_their_own():
    record = random_record(random.Random(2))
    changes = [JobChange(make_job(str(n)), record) for n in range(10)]
    assert len(_first_batch(changes)) == 1
    small = [
        JobChange(make_job(str(n)), ProgressRecord(JobState.RUNNING)) for n in "ab"
    ]
    assert _first_batch(small) == small


def test_done_tasks_of_large_steps_take_little_room_in_a_record():
    job = make_job("a", [Step(10_000, SMALL, 1.0)] * 400)
    for step in job.steps():
        for index in range(0, 10_000, 7):
            step.mark_done(index) if step.number == 0 else None
        if step.number:
            step.done.add_range(0, 10_000)
    value = pack_progress(job.record())
    assert len(value) <= ROW_BYTES
    successor = make_job("a", [Step(10_000, SMALL, 1.0)] * 400)
    successor.restore(unpack_progress(value))
    assert [s.done for s in successor.steps()] == [s.done for s in job.steps()]


def test_all_workers_of_the_largest_fleet_fit_into_the_record_of_workers():
    rng = random.Random(3)
    workers = {WorkerId(f"{rng.getrandbits(64):016x}") for _ in range(5500)}
    value = pack_workers(workers)
    assert len(value) <= ROW_BYTES
    assert set(unpack_workers(value)) == workers


def test_the_longest_jobs_that_callers_may_describe_fit_into_a_row():
    steps = tuple(
        Step(9_999 - n, Shape(0.1 + n / 1000, 1024 + n), 1700.0 + n, (max(0, n - 1),))
        for n in range(1000)
    )
    workload = Workload(JobId("a"), QueueName("quotes"), "x" * 4000, steps)
    value = pack_workload(workload, 1.0)
    assert len(value) <= ROW_BYTES
    assert unpack_workload(job_key("quotes/0", JobId("a")), value)[0] == workload


@pytest.fixture
def store():
    return MemoryRowStore(ManualClock(NOW_MS))


def make_admission(store, scheduler, memory_bytes):
    table = PartitionedTable(store)
    clock = ManualClock(NOW_MS)
    role = RoleLease("scheduler", EntryId("e1"), table, clock, 50.0, 2000.0, store)
    assert role.try_acquire()
    return AdmissionTask(store, scheduler, role, memory_bytes, clock), role


def test_jobs_are_refused_while_a_holder_could_not_remember_them(store):
    intake = Intake(store, ManualClock(NOW_MS))
    scheduler = make_scheduler()
    accepted = make_job("a", [HOPELESS] * 400)
    assert intake.submit(accepted.workload).kind is IntakeKind.DONE
    scheduler.add_job(accepted)
    admission, role = make_admission(store, scheduler, 1e6)
    admission.check()
    refused = intake.submit(make_job("b").workload)
    assert refused.kind is IntakeKind.NOT_DONE
    assert refused.retry_after_ms == QUEUE_FULL_RETRY_MS
    assert intake.submit(accepted.workload).kind is IntakeKind.DONE
    role.release()
    scheduler.cancel_job(accepted.job_id)
    make_admission(store, scheduler, 1e6)[0].check()
    assert intake.submit(make_job("b").workload).kind is IntakeKind.DONE


def test_a_job_that_was_accepted_before_is_not_refused_by_a_closed_queue(store):
    """It may be in its fallback partition; a refusal would say that it never runs."""
    intake = Intake(store, ManualClock(NOW_MS))
    workload = make_job("a").workload
    _, fallback = job_partitions(workload.queue, workload.job_id)
    row = Write(job_key(fallback, workload.job_id), pack_workload(workload, 1.0))
    store.commit((), (row,))
    for part in queue_partitions(workload.queue):
        store.commit((), (Write(closed_key(INTAKE_TABLE, part), b""),))
    assert intake.submit(workload).kind is IntakeKind.DONE
    assert intake.submit(make_job("b").workload).kind is IntakeKind.NOT_DONE


def test_a_submission_that_may_have_been_stored_is_not_refused_by_a_closed_queue(store):
    workload = make_job("a").workload
    home, fallback = job_partitions(workload.queue, workload.job_id)
    store.commit((), (Write(closed_key(INTAKE_TABLE, fallback), b""),))
    commit = store.commit

    def lose_answer(checks, writes):
        lost = checks[0].key.part == home
        return Failure(OutcomeLost("late")) if lost else commit(checks, writes)

    store.commit = lose_answer
    intake = Intake(store, ManualClock(NOW_MS))
    assert intake.submit(workload).kind is IntakeKind.UNKNOWN


def test_a_queue_that_was_closed_by_a_lost_answer_is_opened_again(store):
    scheduler = make_scheduler()
    job = make_job("a", [HOPELESS] * 400)
    scheduler.add_job(job)
    admission, _ = make_admission(store, scheduler, 1e6)
    commit = store.commit

    def lose_answer(checks, writes):
        commit(checks, writes)
        return Failure(OutcomeLost("late"))

    store.commit = lose_answer
    admission.check()
    store.commit = commit
    scheduler.cancel_job(job.job_id)
    admission.check()
    intake = Intake(store, ManualClock(NOW_MS))
    assert intake.submit(make_job("b").workload).kind is IntakeKind.DONE


def make_jobs(queue, count):
    step = (Step(1, SMALL, 1.0),)
    return [
        ActiveJob(Workload(JobId(f"{queue}{n}"), QueueName(queue), "", step), 0.0, 9)
        for n in range(count)
    ]


def test_queues_with_few_open_jobs_are_refused_last():
    jobs = [*make_jobs("a", 1000), *make_jobs("b", 10)]
    used_bytes = sum(map(remembered_bytes, jobs))
    assert full_queues(jobs, 1.1 * used_bytes / MAX_SHARE, set()) == set()
    assert full_queues(jobs, 0.9 * used_bytes / MAX_SHARE, set()) == {"a"}
    assert full_queues(jobs, 0.5 * used_bytes / MAX_SHARE, set()) == {"a", "b"}


def test_a_queue_that_is_closed_late_by_a_lost_write_is_opened_again():
    """Until the next holder, no job of that queue was accepted any more."""
    store = DeferringStore(ManualClock(NOW_MS))
    intake = Intake(store, ManualClock(NOW_MS))
    scheduler = make_scheduler()
    scheduler.add_job(make_job("a", [HOPELESS] * 400))
    admission, _ = make_admission(store, scheduler, 1e6)
    store.is_deferring = True
    admission.check()
    store.is_deferring = False
    scheduler.cancel_job(JobId("a"))
    admission.check()
    store.apply_deferred()
    assert intake.submit(make_job("b").workload).kind is IntakeKind.NOT_DONE
    admission.check()
    assert intake.submit(make_job("b").workload).kind is IntakeKind.DONE


def test_a_full_queue_opens_once_clearly_fewer_jobs_are_open():
    jobs = make_jobs("a", 100)
    memory_bytes = 1.1 * sum(map(remembered_bytes, jobs)) / MAX_SHARE
    assert full_queues(jobs, memory_bytes, {QueueName("a")}) == {"a"}
    assert full_queues(jobs[:80], memory_bytes, {QueueName("a")}) == set()


def test_small_jobs_take_as_much_memory_as_is_assumed():
    tracemalloc.start()
    jobs = make_jobs("a", 1000)
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert taken < 1.2 * sum(map(remembered_bytes, jobs))
