"""Which runs teach something, and what a successor keeps of it."""

from dataclasses import replace

import pytest
from returns.result import Failure
from schedulers import NOW_MS, QUEUE, add_worker, done, make_job, make_scheduler, starts
from test_jobreader import TermHarness

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.scheduling.rows import (
    RUN_TIMES_TABLE,
    pack_run_times,
    run_times_key,
    unpack_run_times,
)
from corianderpitch.daemon.scheduling.runtimerecords import RunTimeRecords
from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.learning import RunTimeLearner
from corianderpitch.domain.scheduling.orders import OrderResult
from corianderpitch.domain.scheduling.runtimes import WHOLE_QUEUE, RunTimeStats
from corianderpitch.domain.scheduling.workers import EndKind, WorkerReport
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.errors import MalformedData, PlatformUnavailable
from corianderpitch.ids import QueueName, WorkerId
from corianderpitch.ports import Write

STEP = Step(2, Shape(1.0, 100), 100.0, saves_progress=True)
TOOK_MS = 300.0


def run_step(
    scheduler, step=STEP, name="a", kind=EndKind.DONE, change=lambda run: None
):
    """Run all tasks of a job's step for ``TOOK_MS``, and report their ends."""
    scheduler.add_job(make_job(name, [step]))
    for order in starts(scheduler):
        scheduler.apply_order_result(order, OrderResult.DONE, NOW_MS)
        worker = scheduler.workers[order.worker]
        if order.task not in worker.runs:
            continue  # the end of one member of a gang is that of all
        change(worker.runs[order.task])
        end = replace(done(order, worker.processed_sequence + 1), kind=kind)
        now_ms = NOW_MS + TOOK_MS
        scheduler.apply_report(
            order.worker, WorkerReport("1", 2000.0, (), (end,)), now_ms, now_ms
        )


def learned(scheduler):
    return scheduler.run_times.model.queues


def test_the_finished_tasks_of_a_step_teach_their_run_time():
    scheduler = make_scheduler()
    run_step(scheduler)
    stats = learned(scheduler)[QUEUE.name][WHOLE_QUEUE]
    assert stats.steps == 1.0
    assert 2.0**stats.mean_error == pytest.approx(TOOK_MS / STEP.estimate_ms)


def resume(run):
    run.was_resumed = True


def slow_down(run):
    run.pace_percent = 30


def adopt(run):
    run.begun_ms = None


@pytest.mark.parametrize("change", [resume, slow_down, adopt])
def test_a_run_that_was_not_seen_whole_and_at_full_speed_teaches_nothing(change):
    scheduler = make_scheduler()
    run_step(scheduler, change=change)
    assert not learned(scheduler)


@pytest.mark.parametrize(
    "fields",
    [
        {"data_rack": "r9"},  # its worker is in another rack
        {"is_gang": True},
        {"is_filler": True},
        {"estimate_ms": 0.0},
    ],
)
def test_tasks_whose_time_depends_on_more_than_their_work_teach_nothing(fields):
    scheduler = make_scheduler()
    run_step(scheduler, replace(STEP, **fields))
    assert not learned(scheduler)


@pytest.mark.parametrize("kind", [EndKind.FAILED, EndKind.STOPPED, EndKind.LAPSED])
def test_a_run_that_did_not_finish_its_task_teaches_nothing(kind):
    scheduler = make_scheduler()
    run_step(scheduler, kind=kind)
    assert not learned(scheduler)


def test_a_later_job_is_expected_to_take_what_earlier_ones_took():
    scheduler = make_scheduler()
    for number in range(40):
        run_step(scheduler, name=f"job{number}")
    job = make_job("later", [STEP])
    scheduler.add_job(job)
    assert job.expected[0].task_ms == pytest.approx(TOOK_MS, rel=0.25)
    assert job.remaining_core_ms == pytest.approx(2 * TOOK_MS, rel=0.25)
    assert job.critical_path_ms >= job.expected[0].task_ms


def test_without_finished_runs_all_plans_are_as_declared(monkeypatch):
    """What is new must change nothing where there is no evidence."""

    def plan_jobs():
        scheduler = make_scheduler()
        for number in range(30):
            steps = [
                replace(STEP, estimate_ms=100.0 * (1 + number * 7 % 11)),
                replace(STEP, estimate_ms=50.0 * number, after=(0,)),
            ]
            scheduler.add_job(make_job(f"job{number:02}", steps))
        return starts(scheduler), [
            (job.critical_path_ms, job.remaining_core_ms)
            for job in scheduler.jobs.values()
        ]

    with_learning = plan_jobs()
    monkeypatch.setattr(RunTimeLearner, "expect", lambda *_: None)
    monkeypatch.setattr(RunTimeLearner, "observe_done", lambda *_: None)
    assert plan_jobs() == with_learning


class Term:
    """A holder that has learned something, and the records of its run times."""

    def __init__(self, store, clock, name):
        self.harness = TermHarness(store, clock, name)
        self.scheduler = self.harness.scheduler
        add_worker(self.scheduler, "w1")
        self.records = RunTimeRecords(
            store, self.harness.role, self.scheduler, JobMeters()
        )

    def learn(self, count=3):
        for number in range(count):
            run_step(self.scheduler, name=f"{self.harness.role.epoch}-{number}")


@pytest.fixture
def clock():
    return ManualClock(NOW_MS)


@pytest.fixture
def store(clock):
    return MemoryRowStore(clock)


def test_a_successor_begins_with_what_was_learned(store, clock):
    first = Term(store, clock, "e1")
    first.learn()
    first.records.save()
    successor = Term(store, clock, "e2")
    assert successor.records.load()
    assert learned(successor.scheduler) == learned(first.scheduler)


def test_rows_are_written_only_when_something_was_learned(store, clock):
    term = Term(store, clock, "e1")
    term.learn()
    term.records.save()
    version = store.read(RUN_TIMES_TABLE, "").unwrap().version
    term.records.save()
    assert store.read(RUN_TIMES_TABLE, "").unwrap().version == version


def test_a_former_holder_does_not_overwrite_what_its_successor_has_learned(
    store, clock
):
    former = Term(store, clock, "e1")
    former.learn(9)
    successor = Term(store, clock, "e2")
    successor.learn(1)
    successor.records.save()
    former.records.save()
    (row,) = store.read(RUN_TIMES_TABLE, "").unwrap().rows
    assert unpack_run_times(row.value)[WHOLE_QUEUE].steps == 1.0


def test_a_store_that_does_not_answer_costs_only_the_knowledge(store, clock):
    term = Term(store, clock, "e1")
    term.learn()
    store.commit = lambda *_: Failure(PlatformUnavailable("away"))
    term.records.save()
    del store.commit
    term.records.save()
    assert len(store.read(RUN_TIMES_TABLE, "").unwrap().rows) == 1


ODD_ROWS = {
    "empty": b"",
    "another kind": b"\x01",
    "no whole queue": pack_run_times({"image": RunTimeStats()}),
    "not finite": pack_run_times({"": RunTimeStats(1.0, float("nan"))}),
    "negative weight": pack_run_times({"": RunTimeStats(steps=-20.0)}),
    "huge sum": pack_run_times({"": RunTimeStats(1.0, 1e300)}),
    "negative spread": pack_run_times({"": RunTimeStats(spread=-1e9)}),
}


@pytest.mark.parametrize("odd", ODD_ROWS)
def test_a_row_that_cannot_be_read_costs_only_its_knowledge(store, clock, odd):
    with pytest.raises(MalformedData):
        unpack_run_times(ODD_ROWS[odd])
    store.commit((), (Write(run_times_key(QUEUE.name), ODD_ROWS[odd]),))
    term = Term(store, clock, "e1")
    assert term.records.load()
    assert not learned(term.scheduler)
    term.learn()
    term.records.save()
    assert Term(store, clock, "e2").records.load()


@pytest.mark.parametrize("sign", [1.0, -1.0])
def test_a_row_with_large_sums_yields_usable_times(store, clock, sign):
    """Any client can write into the store."""
    sums = RunTimeStats(9.0, 1e8 * sign, 1e8, -1e8, 1e8, 1e8 * sign, 1e8, 9.0)
    store.commit((), (Write(run_times_key(QUEUE.name), pack_run_times({"": sums})),))
    term = Term(store, clock, "e1")
    assert term.records.load()
    job = make_job("a", [STEP])
    term.scheduler.add_job(job)
    assert 0.0 < job.expected[0].slowest_ms < 10_000.0


def test_the_run_times_of_a_dropped_queue_are_deleted(store, clock):
    term = Term(store, clock, "e1")
    gone = QueueName("gone")
    learned(term.scheduler)[gone] = {WHOLE_QUEUE: RunTimeStats(steps=1.0)}
    term.scheduler.queues[gone] = replace(QUEUE, name=gone)
    term.records.save()
    assert len(store.read(RUN_TIMES_TABLE, "").unwrap().rows) == 1
    del term.scheduler.queues[gone]
    term.records.save()
    assert not store.read(RUN_TIMES_TABLE, "").unwrap().rows
    assert gone not in learned(term.scheduler)


def test_a_worker_that_is_gone_does_not_break_learning():
    scheduler = make_scheduler()
    scheduler.unlist_worker(WorkerId("w1"))
    run_step(scheduler)
    assert learned(scheduler)
