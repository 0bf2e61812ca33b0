"""Cancellations that were answered before the job was stored: 410, no such job."""

import random

import pytest
from fakes import RacingStore
from returns.result import Failure, Success
from schedulers import ONE_STEP, QUEUE, add_worker, make_job, starts
from test_jobreader import (
    BACKOFF_MS,
    PartialOutageStore,
    TermHarness,
    rows_of,
    submit,
)

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.admissions import AdmissionTask
from corianderpitch.daemon.scheduling.earlycancels import EarlyCancels
from corianderpitch.daemon.scheduling.intake import Intake, IntakeKind
from corianderpitch.daemon.scheduling.intakeresults import QUEUE_FULL_RETRY_MS
from corianderpitch.daemon.scheduling.rows import (
    INTAKE_TABLE,
    cancel_key,
    job_partitions,
)
from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.errors import OutcomeLost
from corianderpitch.ids import JobId
from corianderpitch.ports import Write

JOB = JobId("a")
HOME, FALLBACK = job_partitions(QUEUE.name, JOB)
KEEP_MS = 130_000.0
ACKNOWLEDGED = (IntakeKind.DONE, IntakeKind.NO_SUCH_JOB)


@pytest.fixture
def clock():
    return ManualClock(1000.0)


@pytest.fixture
def store(clock):
    return PartialOutageStore(clock)


def cancel(store, clock, name=JOB):
    return Intake(store, clock).cancel(QUEUE.name, JobId(name))


def show(store, clock):
    return Intake(store, clock).show(QUEUE.name, JOB)


def assert_never_starts(holder, store, clock):
    holder.role.renew()
    holder.follow()
    add_worker(holder.scheduler, "w1")
    assert JOB not in holder.scheduler.jobs
    assert starts(holder.scheduler) == []
    assert holder.commits.commit_all()
    holder.follow()
    clock.advance(BACKOFF_MS)
    assert show(store, clock).state is JobState.CANCELLED


@pytest.mark.parametrize("unavailable", [set(), {HOME}, {FALLBACK}])
@pytest.mark.parametrize("changes_hands", [False, True])
def test_a_job_that_is_stored_after_its_cancelling_was_answered_never_runs(
    store, clock, unavailable, changes_hands
):
    """A frozen entry, or a late copy, stored it after 410 (review/10)."""
    holder = TermHarness(store, clock, "e1").load()
    assert cancel(store, clock).kind is IntakeKind.NO_SUCH_JOB
    holder.follow()
    store.unavailable = unavailable
    assert submit(store, clock) is IntakeKind.DONE
    store.unavailable = set()
    clock.advance(BACKOFF_MS)
    assert show(store, clock).state is JobState.CANCELLED
    if changes_hands:
        holder = TermHarness(store, clock, "e2").load()
    assert_never_starts(holder, store, clock)
    (row,) = rows_of(store)
    assert row[1] == "a.progress"
    assert submit(store, clock) is IntakeKind.DONE
    assert_never_starts(holder, store, clock)


def test_a_write_of_a_job_that_is_applied_after_its_cancelling_has_no_effect(
    store, clock
):
    """The store carried out a call without an answer seconds later."""
    store.deferred = []
    assert submit(store, clock) is IntakeKind.UNKNOWN
    deferred, store.deferred = store.deferred, None
    clock.advance(BACKOFF_MS)
    assert cancel(store, clock).kind is IntakeKind.NO_SUCH_JOB
    for checks, writes in deferred:
        assert not isinstance(store.commit(checks, writes), Success)
    holder = TermHarness(store, clock, "e1").load()
    assert not holder.scheduler.jobs
    assert show(store, clock).kind is IntakeKind.NO_SUCH_JOB


def test_a_job_that_is_stored_while_it_is_cancelled_is_cancelled(clock):
    """It came between the look for its rows and the write of the cancel rows."""
    store = RacingStore(clock)
    store.before_commit = lambda: submit(store, clock)
    result = cancel(store, clock)
    assert (result.kind, result.state) == (IntakeKind.DONE, JobState.CANCELLED)


def test_a_job_that_nobody_submitted_is_not_shown_after_its_cancelling(store, clock):
    for _ in range(2):
        assert cancel(store, clock).kind is IntakeKind.NO_SUCH_JOB
        assert show(store, clock).kind is IntakeKind.NO_SUCH_JOB
    assert Intake(store, clock).count_waiting(QUEUE.name).waiting == 0
    store.unavailable = {FALLBACK}
    assert show(store, clock).kind is IntakeKind.NOT_DONE


@pytest.mark.parametrize("changes_hands", [False, True])
def test_an_early_cancelling_is_deleted_after_the_time_in_which_a_job_may_come(
    store, clock, changes_hands
):
    holder = TermHarness(store, clock, "e1").load()
    cancel(store, clock)
    holder.follow()
    clock.advance(KEEP_MS / 2)
    holder.role.renew()
    holder.early_cancels.run_once()
    assert len(rows_of(store)) == 2
    if changes_hands:
        holder = TermHarness(store, clock, "e2").load()
    clock.advance(KEEP_MS / 2)
    holder.role.renew()
    holder.early_cancels.run_once()
    assert rows_of(store) == []
    assert submit(store, clock) is IntakeKind.DONE
    holder.follow()
    assert JOB in holder.scheduler.jobs


def test_an_early_cancelling_is_not_deleted_while_its_job_is_being_stored(store, clock):
    """The holder has not read the job yet when it deletes old cancellations."""
    holder = TermHarness(store, clock, "e1").load()
    cancel(store, clock)
    holder.follow()
    clock.advance(KEEP_MS)
    holder.role.renew()
    assert submit(store, clock) is IntakeKind.DONE
    holder.early_cancels.run_once()
    assert (HOME, "a.cancel") in rows_of(store)
    assert_never_starts(holder, store, clock)


def test_a_cancel_row_without_a_time_is_kept_from_when_it_is_read(store, clock):
    """Entries of an earlier version write none, and leave such rows behind."""
    store.commit((), (Write(cancel_key(HOME, JOB), b""),))
    clock.advance(KEEP_MS)
    holder = TermHarness(store, clock, "e1").load()
    holder.early_cancels.run_once()
    assert len(rows_of(store)) == 1
    clock.advance(KEEP_MS)
    holder.role.renew()
    holder.early_cancels.run_once()
    assert rows_of(store) == []


def test_a_deletion_without_an_answer_is_not_repeated_for_ever(store, clock):
    holder = TermHarness(store, clock, "e1").load()
    cancel(store, clock)
    holder.follow()
    clock.advance(KEEP_MS)
    holder.role.renew()
    store.deferred = []
    holder.early_cancels.run_once()
    deferred, store.deferred = store.deferred, None
    for checks, writes in deferred:
        store.commit(checks, writes)
    holder.early_cancels.run_once()
    assert not holder.early_cancels._rows
    assert not +holder.early_cancels._counts


def test_early_cancellings_are_refused_while_there_are_too_many(store, clock):
    holder = TermHarness(store, clock, "e1").load()
    submit(store, clock, "stored")
    holder.early_cancels = EarlyCancels(store, holder.role, KEEP_MS, max_rows=20)
    holder.reader._early_cancels = holder.early_cancels
    for number in range(10):
        assert cancel(store, clock, f"j{number}").kind is IntakeKind.NO_SUCH_JOB
    holder.follow()
    holder.early_cancels.run_once()
    refused = cancel(store, clock)
    assert refused.kind is IntakeKind.NOT_DONE
    assert refused.retry_after_ms == QUEUE_FULL_RETRY_MS
    assert not [row for row in rows_of(store) if row[1] == "a.cancel"]
    assert cancel(store, clock, "stored").kind is IntakeKind.DONE
    assert submit(store, clock) is IntakeKind.DONE
    clock.advance(2 * KEEP_MS)
    successor = TermHarness(store, clock, "e2").load()
    for _ in range(2):
        successor.early_cancels.run_once()
    assert cancel(store, clock, "b").kind is IntakeKind.NO_SUCH_JOB
    assert cancel(store, clock, "j1").kind is IntakeKind.NO_SUCH_JOB


def test_a_cancelled_job_is_refused_by_a_closed_queue(store, clock):
    """It was not accepted, and the answer says so."""
    holder = TermHarness(store, clock, "e1").load()
    cancel(store, clock)
    full = make_job("b", [Step(1, ONE_STEP[0].shape, 1.0)] * 400)
    holder.scheduler.add_job(full)
    AdmissionTask(store, holder.scheduler, holder.role, 1e6, clock).check()
    assert store.list_partitions(INTAKE_TABLE).unwrap()
    assert submit(store, clock) is IntakeKind.NOT_DONE
    assert not [row for row in rows_of(store) if row[1] == "a"]


class LateStore(PartialOutageStore):
    """A store that also makes some writes of callers late, and without an answer."""

    def __init__(self, clock, draw):
        super().__init__(clock)
        self.late_share = 0.0
        self.late = []
        self._draw = draw

    def commit(self, checks, writes):
        if self._draw.random() < self.late_share:
            self.late.append((checks, writes))
            return Failure(OutcomeLost("late"))
        return super().commit(checks, writes)

    def make_late_writes(self):
        late, self.late = self.late, []
        for checks, writes in late:
            MemoryRowStore.commit(self, checks, writes)


def take_step(draw, store, clock, holder, name, cancelled):
    """Let a caller, the store or time do something; return the present holder."""
    match draw.randrange(9):
        case 0 | 1:
            store.late_share = draw.choice((0.0, 0.3))
            submit(store, clock, name)
            store.late_share = 0.0
        case 2:
            if cancel(store, clock, name).kind in ACKNOWLEDGED:
                cancelled.add(name)
        case 3 | 4:
            store.unavailable = {draw.choice(job_partitions(QUEUE.name, JobId(name)))}
            submit(store, clock, name)
        case 5:
            store.unavailable = set()
        case 6:
            store.make_late_writes()
        case 7:
            holder = TermHarness(store, clock, f"e{clock.now_ms():.0f}")
            while not holder.reader.load():
                store.unavailable = set()
        case 8:
            clock.advance(BACKOFF_MS)
    return holder


@pytest.mark.parametrize("seed", range(200))
def test_no_cancelled_job_is_served_in_random_sequences(seed, clock):
    """Outages, late writes, copies and changes of the holder come in any order."""
    draw = random.Random(seed)
    store = LateStore(clock, draw)
    holder = TermHarness(store, clock, "e0").load()
    cancelled = set()
    for step in range(120):
        name = f"job{step // 10}"
        holder = take_step(draw, store, clock, holder, name, cancelled)
        holder.role.renew()
        if not store.unavailable:
            holder.retry_unread()
        holder.follow()
        if not store.unavailable:
            assert not cancelled & holder.scheduler.jobs.keys()
        if draw.random() < 0.5:
            holder.commits.commit_all()
        holder.early_cancels.run_once()
    store.unavailable = set()
    store.make_late_writes()
    holder = TermHarness(store, clock, "last").load()
    holder.follow()
    assert not cancelled & holder.scheduler.jobs.keys()
