"""Jobs that may have rows in two partitions, across terms."""

import random
from dataclasses import replace

import eventlet
import msgpack
import pytest
from returns.result import Failure, Success
from schedulers import (
    NOW_MS,
    ONE_STEP,
    QUEUE,
    add_worker,
    done,
    make_job,
    report,
    starts,
)

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.adapters.partedtable import PartitionedTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.cleanup import RowCleanup
from corianderpitch.daemon.scheduling.commits import CommitTask
from corianderpitch.daemon.scheduling.diversions import DivertedJobs
from corianderpitch.daemon.scheduling.earlycancels import EarlyCancels
from corianderpitch.daemon.scheduling.holderrow import FencedRow
from corianderpitch.daemon.scheduling.intake import Intake, IntakeKind
from corianderpitch.daemon.scheduling.jobreader import JobReader
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.scheduling.rows import (
    DIVERTED_KEY,
    JOBS_TABLE,
    PROGRESS_SUFFIX,
    WORKERS_KEY,
    home_partition,
    job_partitions,
    progress_key,
    queue_partitions,
    unpack_progress,
)
from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.domain.scheduling.term import Term
from corianderpitch.domain.scheduling.workers import ReportedRun
from corianderpitch.errors import OutcomeLost, PlatformUnavailable
from corianderpitch.ids import EntryId, JobId, WorkerId
from corianderpitch.ports import PartitionedKey, Write

LEASE_MS = 2000.0
BACKOFF_MS = 600.0  # longer than the breaker and partition back-off


class PartialOutageStore(MemoryRowStore):
    """A store that refuses calls to some partitions and can defer writes."""

    def __init__(self, clock):
        super().__init__(clock)
        self.unavailable = set()
        self.deferred = None  # a list that collects writes to be applied later
        self.read_ms = 0.0

    def read(self, table, part, first="", end=""):
        self._clock.advance(self.read_ms)
        if part in self.unavailable:
            return Failure(PlatformUnavailable("status 503", was_answered=True))
        return super().read(table, part, first, end)

    def commit(self, checks, writes):
        if {entry.key.part for entry in (*checks, *writes)} & self.unavailable:
            return Failure(PlatformUnavailable("status 503", was_answered=True))
        if self.deferred is not None:
            self.deferred.append((checks, writes))
            return Failure(OutcomeLost("deferred"))
        return super().commit(checks, writes)


def lose_answers(store):
    """Let a store lose the answers of what it commits; return its former commit."""
    original = store.commit

    def lose_answer(checks, writes):
        result = original(checks, writes)
        return Failure(OutcomeLost("lost")) if isinstance(result, Success) else result

    store.commit = lose_answer
    return original


class TermHarness:
    """The state of one term's holder, without its threads."""

    def __init__(self, store, clock, name):
        self.store = store
        table = PartitionedTable(store)
        self.role = RoleLease("scheduler", EntryId(name), table, clock, 500.0, LEASE_MS)
        if not self.role.try_acquire():
            clock.advance(LEASE_MS + 1.0)
            assert self.role.try_acquire()
        self.role.renew()
        term = Term(self.role.epoch, self.role.fence().version, clock.now_ms())
        self.scheduler = Scheduler(term)
        self.scheduler.set_queues({QUEUE.name: QUEUE})
        diverted = DivertedJobs(store, self.role, self.scheduler)
        self.cleanup = RowCleanup(
            store, self.role, self.scheduler, diverted, clock, 120_000.0
        )
        self.commits = CommitTask(
            store,
            self.role,
            self.scheduler,
            diverted,
            clock,
            JobMeters(),
            lambda: None,
            self.cleanup,
        )
        self.early_cancels = EarlyCancels(store, self.role, 120_000.0)
        self.reader = JobReader(
            store,
            self.role,
            self.scheduler,
            self.cleanup,
            self.early_cancels,
            diverted,
            clock,
            6000.0,
            lambda: None,
        )
        self.version = 0

    def load(self):
        assert self.reader.load()
        return self

    def follow(self):
        """Apply changes, record diversions and delete rows, as the threads do."""
        changes = self.store.follow(JOBS_TABLE, self.version, 0).unwrap()
        self.reader.apply_rows(changes.rows)
        self.version = changes.version
        self.reader.record_diversions()
        self.cleanup.delete_misplaced_rows()

    def retry_unread(self):
        self.reader.read_unread()
        self.reader.record_diversions()


@pytest.fixture
def clock():
    return ManualClock(1000.0)


@pytest.fixture
def store(clock):
    return PartialOutageStore(clock)


def submit(store, clock, name="a"):
    return Intake(store, clock).submit(make_job(name).workload).kind


def rows_of(store, name="a"):
    """Return the partitions and names of a job's rows."""
    found = []
    for part in queue_partitions(QUEUE.name):
        rows = MemoryRowStore.read(store, JOBS_TABLE, part).unwrap().rows
        found += [(part, r.key.name) for r in rows if r.key.name.startswith(name)]
    return found


def test_a_diverted_job_is_recorded_before_it_is_served(store, clock):
    holder = TermHarness(store, clock, "e1").load()
    home, fallback = job_partitions(QUEUE.name, JobId("a"))
    store.unavailable = {home}
    assert submit(store, clock) is IntakeKind.DONE
    store.unavailable = {home, DIVERTED_KEY.part}
    holder.follow()
    assert not holder.scheduler.jobs
    store.unavailable = {home}
    holder.follow()
    assert set(holder.scheduler.jobs) == {"a"}
    assert holder.scheduler.diverted == {"a"}
    holder.scheduler.cancel_job(JobId("a"))
    assert holder.commits.commit_all()
    assert rows_of(store) == [(fallback, "a.progress")]


def test_a_diverted_job_resubmitted_at_home_stays_in_its_fallback_partition(
    store, clock
):
    holder = TermHarness(store, clock, "e1").load()
    home, fallback = job_partitions(QUEUE.name, JobId("a"))
    store.unavailable = {home}
    submit(store, clock)
    holder.follow()
    store.unavailable = set()
    clock.advance(BACKOFF_MS)
    assert submit(store, clock) is IntakeKind.DONE
    assert rows_of(store) == sorted([(home, "a"), (fallback, "a")])
    holder.follow()
    assert rows_of(store) == [(fallback, "a")]
    successor = TermHarness(store, clock, "e2").load()
    assert set(successor.scheduler.jobs) == {"a"}
    assert successor.scheduler.diverted == {"a"}


@pytest.mark.parametrize("is_answered", [True, False])
def test_a_job_resubmitted_at_home_while_it_is_recorded_stays_diverted(
    store, clock, is_answered
):
    """The write of its diversion may have succeeded, or may be applied late."""
    holder = TermHarness(store, clock, "e1").load()
    home, fallback = job_partitions(QUEUE.name, JobId("a"))
    store.unavailable = {home}
    submit(store, clock)
    store.unavailable = set()
    clock.advance(BACKOFF_MS)
    original = store.commit

    def submit_meanwhile(checks, writes):
        if writes[0].key != DIVERTED_KEY:
            return original(checks, writes)
        store.commit = original
        result = original(checks, writes)
        assert submit(store, clock) is IntakeKind.DONE
        rows = store.read(JOBS_TABLE, home).unwrap().rows
        holder.reader.apply_rows(rows)
        assert not holder.scheduler.jobs
        return result if is_answered else Failure(OutcomeLost("lost"))

    store.commit = submit_meanwhile
    for _ in range(4):
        holder.follow()
    assert holder.scheduler.diverted == {"a"}
    assert set(holder.scheduler.jobs) == {"a"}
    assert rows_of(store) == [(fallback, "a")]


def test_an_ended_job_is_not_started_again_from_its_other_partition(store, clock):
    """Its caller submits it again while its final state cannot be read."""
    holder = TermHarness(store, clock, "e1").load()
    home, _ = job_partitions(QUEUE.name, JobId("a"))
    submit(store, clock)
    holder.follow()
    holder.scheduler.cancel_job(JobId("a"))
    assert holder.commits.commit_all()
    store.unavailable = {home}
    submit(store, clock)
    successor = TermHarness(store, clock, "e2").load()
    successor.follow()
    assert not successor.scheduler.jobs
    store.unavailable = set()
    successor.retry_unread()
    successor.follow()
    assert not successor.scheduler.jobs
    assert rows_of(store) == [(home, "a.progress")]


def test_a_successor_serves_home_jobs_while_their_fallback_is_unavailable(store, clock):
    submit(store, clock)
    _, fallback = job_partitions(QUEUE.name, JobId("a"))
    other = next(f"j{n}" for n in range(99) if is_home(f"j{n}", fallback))
    submit(store, clock, other)  # makes the store list that partition
    store.unavailable = {fallback}
    assert set(TermHarness(store, clock, "e1").load().scheduler.jobs) == {"a"}


def is_home(name, part):
    return job_partitions(QUEUE.name, JobId(name))[0] == part


def test_a_cancel_row_beside_a_duplicate_row_takes_effect(store, clock):
    holder = TermHarness(store, clock, "e1").load()
    home, _ = job_partitions(QUEUE.name, JobId("a"))
    store.unavailable = {home}
    submit(store, clock)
    holder.follow()
    store.unavailable = set()
    clock.advance(BACKOFF_MS)
    submit(store, clock)
    store.unavailable = {job_partitions(QUEUE.name, JobId("a"))[1]}
    cancelled = Intake(store, clock).cancel(QUEUE.name, JobId("a"))
    assert cancelled.kind is IntakeKind.DONE
    store.unavailable = set()
    holder.follow()
    assert not holder.scheduler.jobs
    assert holder.commits.commit_all()
    clock.advance(BACKOFF_MS)
    shown = Intake(store, clock).show(QUEUE.name, JobId("a"))
    assert shown.state is JobState.CANCELLED


def fail_commits_twice(holder, clock):
    """Let commits fail until the ends of a partition are moved."""
    for _ in range(2):
        holder.commits.commit_all()
        clock.advance(BACKOFF_MS)


def holder_with_a_moved_end(store, clock):
    """Start a term and end job ``a`` while its home partition is unavailable."""
    holder = TermHarness(store, clock, "e1").load()
    submit(store, clock)
    holder.follow()
    store.unavailable = {job_partitions(QUEUE.name, JobId("a"))[0]}
    holder.scheduler.cancel_job(JobId("a"))
    fail_commits_twice(holder, clock)
    assert holder.commits.commit_all()
    return holder


def test_an_end_is_shown_while_the_home_partition_is_unavailable(store, clock):
    """During an outage, completed jobs were shown as running for seven seconds."""
    holder = TermHarness(store, clock, "e1").load()
    home, fallback = job_partitions(QUEUE.name, JobId("a"))
    submit(store, clock)
    holder.follow()
    add_worker(holder.scheduler, "w1")
    (order,) = starts(holder.scheduler)
    assert holder.commits.commit_all()
    store.unavailable = {home}
    report(holder.scheduler, "w1", ended=[done(order)])
    fail_commits_twice(holder, clock)
    assert holder.commits.commit_all()
    assert holder.scheduler.workers[WorkerId("w1")].committed_sequence == 1
    shown = Intake(store, clock).show(QUEUE.name, JobId("a"))
    assert shown.state is JobState.DONE
    store.unavailable = set()
    shown = Intake(store, clock).show(QUEUE.name, JobId("a"))
    assert shown.state is JobState.DONE
    assert (home, "a") in rows_of(store)
    holder.follow()
    assert rows_of(store) == [(fallback, "a.progress")]


@pytest.mark.parametrize("is_home_available", [True, False])
def test_a_successor_does_not_restart_a_job_whose_end_was_moved(
    store, clock, is_home_available
):
    """The stale rows in its home partition still show it as running."""
    holder_with_a_moved_end(store, clock)
    if is_home_available:
        store.unavailable = set()
    successor = TermHarness(store, clock, "e2").load()
    assert not successor.scheduler.jobs
    assert JobId("a") in successor.scheduler.ended


def test_a_move_whose_answer_was_lost_is_repeated(store, clock):
    holder, home = holder_of_two_partitions(store, clock)
    store.unavailable = {home}
    holder.scheduler.cancel_job(JobId("a"))
    original = lose_answers(store)
    fail_commits_twice(holder, clock)
    assert not holder.commits.commit_all()
    store.commit = original
    for _ in range(3):
        clock.advance(BACKOFF_MS)
        is_done = holder.commits.commit_all()
    assert is_done
    assert JobId("a") in holder.scheduler.diverted


def test_a_moved_end_is_not_deleted_as_misplaced(store, clock):
    """The holder read the row while it did not know yet whether the end was moved.

    A successor that could not read the home partition started the job again.
    """
    holder, home = holder_of_two_partitions(store, clock)
    store.unavailable = {home}
    holder.scheduler.cancel_job(JobId("a"))
    original = lose_answers(store)
    fail_commits_twice(holder, clock)
    assert not holder.commits.commit_all()
    assert holder.reader.load_jobs()
    store.commit = original
    holder.cleanup.delete_misplaced_rows()
    successor = TermHarness(store, clock, "e2").load()
    assert JobId("a") in successor.scheduler.ended


def test_a_job_whose_end_was_moved_without_an_answer_is_not_run_again(store, clock):
    """The holder wrote its diversions anew and was killed before it moved the end.

    The job had been shown as ended, and its successor started it again.
    """
    holder, home = holder_of_two_partitions(store, clock)
    store.unavailable = {home}
    holder.scheduler.cancel_job(JobId("a"))
    original = lose_answers(store)
    fail_commits_twice(holder, clock)
    assert not holder.commits.commit_all()
    store.commit = original
    while not holder.reader._diverted.is_recorded:
        holder.reader.record_diversions()
    store.unavailable = set()
    successor = TermHarness(store, clock, "e2").load()
    successor.follow()
    assert JobId("a") not in successor.scheduler.jobs
    clock.advance(BACKOFF_MS)
    shown = Intake(store, clock).show(QUEUE.name, JobId("a"))
    assert shown.state is JobState.CANCELLED


def test_home_rows_of_a_moved_job_are_purged_with_it(store, clock):
    holder = holder_with_a_moved_end(store, clock)
    clock.advance(300_000.0)
    holder.cleanup.purge_ended_jobs()
    assert len(rows_of(store)) == 2
    store.unavailable = set()
    holder.cleanup.purge_ended_jobs()
    assert rows_of(store) == []
    assert not holder.scheduler.diverted


@pytest.mark.parametrize("key", [DIVERTED_KEY, WORKERS_KEY])
def test_a_write_that_is_applied_late_does_not_undo_a_newer_one(store, clock, key):
    role = TermHarness(store, clock, "e1").role
    row = FencedRow(store, role, key)
    assert isinstance(row.read(), Success)
    store.deferred = []
    assert isinstance(row.write(b"old"), Failure)
    deferred, store.deferred = store.deferred, None
    assert isinstance(row.write(b"new"), Success)
    for checks, writes in deferred:
        assert isinstance(store.commit(checks, writes), Failure)
    assert row.read().unwrap() == b"new"


def test_recorded_workers_stay_recorded_when_an_older_write_is_applied_late(
    store, clock
):
    """A successor would not wait for the leases of a worker missing in the row."""
    holder = TermHarness(store, clock, "e1").load()
    holder.commits.read_recorded_workers()
    holder.scheduler.awaiting_report = {"w1"}
    store.deferred = []
    holder.commits._record_workers()
    deferred, store.deferred = store.deferred, None
    holder.scheduler.awaiting_report = {"w1", "w2"}
    assert holder.commits._record_workers()
    for checks, writes in deferred:
        store.commit(checks, writes)
    assert set(holder.commits.read_recorded_workers().unwrap()) == {"w1", "w2"}


def list_worker(scheduler, name="w1"):
    """List a worker that the holder has not recorded since, and let it report."""
    add_worker(scheduler, name)
    scheduler.workers[WorkerId(name)].is_recorded = False


@pytest.mark.parametrize("is_known_before", [True, False])
def test_a_recorded_worker_that_is_listed_again_gets_tasks(
    store, clock, is_known_before
):
    """Its entry was missing for a moment, or when the term began.

    It was recorded already, so that nothing was written, and it never counted as
    recorded again: its jobs waited beside a free worker.
    """
    holder = TermHarness(store, clock, "e1").load()
    submit(store, clock)
    holder.follow()
    scheduler = holder.scheduler
    if is_known_before:
        list_worker(scheduler)
    else:
        scheduler.awaiting_report = {WorkerId("w1")}
    assert holder.commits._record_workers()
    if is_known_before:
        scheduler.mark_silent(WorkerId("w1"))
        scheduler.unlist_worker(WorkerId("w1"))
        scheduler.expire(clock.now_ms() + 10.0 * NOW_MS)
        assert not scheduler.workers
    list_worker(scheduler)
    assert holder.commits._record_workers()
    assert starts(scheduler)


def test_a_worker_is_not_taken_for_recorded_after_a_write_without_an_answer(
    store, clock
):
    """The store may have dropped it from the row: a successor would not await it."""
    holder = TermHarness(store, clock, "e1").load()
    scheduler = holder.scheduler
    for name in ("w1", "w2"):
        list_worker(scheduler, name)
    assert holder.commits._record_workers()
    del scheduler.workers[WorkerId("w2")]
    original = store.commit

    def lose_answer(checks, writes):
        assert isinstance(original(checks, writes), Success)
        return Failure(OutcomeLost("lost"))

    store.commit = lose_answer
    assert not holder.commits._record_workers()
    store.commit = original
    list_worker(scheduler, "w2")
    while not holder.commits._record_workers():
        pass
    recorded = TermHarness(store, clock, "e2").commits.read_recorded_workers()
    assert set(recorded.unwrap()) == {"w1", "w2"}


def holder_of_two_partitions(store, clock):
    """Return a holder with a worker and jobs of two partitions, and that of job a."""
    holder = TermHarness(store, clock, "e1").load()
    home, _ = job_partitions(QUEUE.name, JobId("a"))
    other = next(f"j{n}" for n in range(99) if not is_home(f"j{n}", home))
    submit(store, clock)
    submit(store, clock, other)
    holder.follow()
    add_worker(holder.scheduler, "w1")
    return holder, home


def test_a_report_sent_while_a_partition_is_read_does_not_cover_its_jobs(store, clock):
    """Two lasting tasks were started a second time after a takeover.

    A report from before their jobs were read counted as a list without their runs.
    """
    holder, home = holder_of_two_partitions(store, clock)
    orders = starts(holder.scheduler)
    runs = [ReportedRun(order.task, order.number, "", 50.0) for order in orders]
    store.unavailable = {home}
    successor = TermHarness(store, clock, "e2").load()
    add_worker(successor.scheduler, "w1")
    store.unavailable = set()
    original = store.read

    def report_meanwhile(*where):
        report(successor.scheduler, "w1", running=runs)
        return original(*where)

    store.read = report_meanwhile
    successor.retry_unread()
    store.read = original
    assert JobId("a") in successor.scheduler.jobs
    assert starts(successor.scheduler, clock.now_ms()) == []
    report(successor.scheduler, "w1", running=runs)
    assert starts(successor.scheduler, clock.now_ms()) == []


def test_jobs_of_a_late_partition_wait_for_new_reports_of_all_workers(store, clock):
    """Their tasks were started on a free worker while they still ran on another one."""
    holder, home = holder_of_two_partitions(store, clock)
    orders = starts(holder.scheduler)
    runs = [ReportedRun(order.task, order.number, "", 50.0) for order in orders]
    store.unavailable = {home}
    successor = TermHarness(store, clock, "e2").load()
    add_worker(successor.scheduler, "w1")
    report(successor.scheduler, "w1", running=runs)
    add_worker(successor.scheduler, "w2")
    store.unavailable = set()
    successor.retry_unread()
    assert JobId("a") in successor.scheduler.jobs
    assert starts(successor.scheduler, clock.now_ms()) == []
    for name, reported in (("w1", runs), ("w2", [])):
        report(successor.scheduler, name, running=reported)
    assert starts(successor.scheduler, clock.now_ms()) == []
    assert list(successor.scheduler.jobs[JobId("a")].runs())


def test_a_partition_read_before_the_workers_does_not_clear_the_expected_reports(
    store, clock
):
    """A task of a predecessor ran on while a successor started it on another worker.

    The successor's first attempt to load read only some partitions. Its second one
    read the others, before any worker was listed, and dropped the recorded workers
    whose reports it had to wait for.
    """
    holder, home = holder_of_two_partitions(store, clock)
    assert starts(holder.scheduler)
    store.unavailable = {home}
    successor = TermHarness(store, clock, "e2")
    successor.scheduler.awaiting_report = {"w1"}
    successor.scheduler.leases_end_ms = clock.now_ms() + 6000.0
    successor.load()
    store.unavailable = set()
    successor.load()
    add_worker(successor.scheduler, "w2")
    assert starts(successor.scheduler, clock.now_ms()) == []


def test_partitions_that_are_read_anew_do_not_delay_the_loss_of_runs(store, clock):
    """The store discarded its history, and refused a partition when it was read anew.

    Tasks of silent workers waited for another lease of a predecessor to expire,
    although all jobs that a predecessor could have started were known.
    """
    clock.advance(NOW_MS - clock.now_ms())
    holder, home = holder_of_two_partitions(store, clock)
    tasks = {order.task for order in starts(holder.scheduler)}
    holder.scheduler.extend_lease(WorkerId("w1"), LEASE_MS, NOW_MS)
    holder.scheduler.mark_silent(WorkerId("w1"))
    store.unavailable = {home}
    assert holder.reader.load_jobs()
    store.unavailable = set()
    holder.retry_unread()
    lapsed_ms = NOW_MS + 1.5 * LEASE_MS
    holder.scheduler.expire(lapsed_ms)
    add_worker(holder.scheduler, "w2")
    assert {order.task for order in starts(holder.scheduler, lapsed_ms)} == tasks


@pytest.mark.parametrize("seed", range(150))
def test_no_job_is_served_from_both_partitions_in_random_sequences(seed, store, clock):
    """Resubmissions, outages and changes of the holder come in any order."""
    draw = random.Random(seed)
    names = [f"job{n}" for n in range(5)]
    parts = queue_partitions(QUEUE.name)
    accepted, begun, ended = set(), {}, set()
    holder = TermHarness(store, clock, "e0").load()
    for step in range(60):
        match draw.randrange(8):
            case 0 | 1 | 2:
                name = draw.choice(names)
                if submit(store, clock, name) is IntakeKind.DONE:
                    accepted.add(name)
            case 3:
                store.unavailable = set(draw.sample(parts, draw.randrange(3)))
            case 4:
                if store.unavailable:
                    store.unavailable = set()
                holder.retry_unread()
            case 5:
                holder = TermHarness(store, clock, f"e{step}")
                while not holder.reader.load():
                    store.unavailable = set()
            case 6 if holder.scheduler.jobs:
                name = draw.choice(sorted(holder.scheduler.jobs))
                holder.scheduler.cancel_job(JobId(name))
                fail_commits_twice(holder, clock)
                if holder.commits.commit_all():
                    ended.add(name)
            case _:
                clock.advance(BACKOFF_MS)
        holder.role.renew()
        holder.follow()
        for name in holder.scheduler.jobs:
            assert name not in ended, "started again after its end"
            is_diverted = name in holder.scheduler.diverted
            if draw.random() < 0.2:
                holder.scheduler.jobs[JobId(name)].is_dirty = True
            assert begun.setdefault(name, is_diverted) == is_diverted
    store.unavailable = set()
    clock.advance(BACKOFF_MS)
    holder = TermHarness(store, clock, "last").load()
    holder.follow()
    known = set(holder.scheduler.jobs) | holder.scheduler.ended
    assert accepted <= known, "an accepted job is lost"
    for name in ended:
        shown = Intake(store, clock).show(QUEUE.name, JobId(name))
        assert shown.state is JobState.CANCELLED


def test_a_successor_knows_the_age_of_the_progress_that_it_reads(store, clock):
    """A crash of a worker long after the record says nothing about its starts."""
    assert submit(store, clock, "a") is IntakeKind.DONE
    first = TermHarness(store, clock, "e1").load()
    add_worker(first.scheduler, "w1")
    assert len(starts(first.scheduler)) == 1
    assert first.commits.commit_all()
    clock.advance(5000.0)
    second = TermHarness(store, clock, "e2").load()
    age_ms = second.scheduler.jobs[JobId("a")].record_age_ms
    assert 5000.0 <= age_ms <= 5000.0 + LEASE_MS + 1.0


def test_progress_without_a_time_counts_as_new(store, clock):
    """An earlier version wrote it; a crash since then may still be counted."""
    assert submit(store, clock, "a") is IntakeKind.DONE
    key = progress_key(home_partition(QUEUE.name, JobId("a")), JobId("a"))
    store.commit((), (Write(key, packed_progress()),))
    clock.advance(5000.0)
    holder = TermHarness(store, clock, "e1").load()
    assert holder.scheduler.jobs[JobId("a")].record_age_ms == 0.0


STEP = {"shape": [1.0, 100, 0], "count": 1, "estimate_ms": 100.0}


def packed_job(*steps, text="", schedule=(0, 0.0, 0.0), accepted_ms=0.0):
    return msgpack.packb([text, list(steps), list(schedule), accepted_ms])


def packed_progress(state="running", finished=0, steps=(), ended_ms=0.0):
    return msgpack.packb([state, finished, list(steps), ended_ms])


ODD_BYTES = [b"", b"\xc1", b"\xff" * 9, b"\x91" * 100_000, msgpack.packb("a" * 9)]
ODD_JOBS = [
    *ODD_BYTES,
    msgpack.packb([]),
    packed_job(7),
    packed_job({}),
    packed_job(STEP | {"shape": 1}),
    packed_job(STEP | {"count": "many"}),
    packed_job(STEP | {"unheard_of": 1}),
    packed_job(STEP | {"after": [5]}),
    packed_job(STEP | {"after": ["0"]}),
    packed_job(STEP, schedule=(1, 2, 3, 4)),
    packed_job(STEP, accepted_ms="yesterday"),
]
ODD_PROGRESS = [
    *ODD_BYTES,
    msgpack.packb({}),
    packed_progress(state="lost"),
    packed_progress(state=["done"]),
    packed_progress(state="done", ended_ms="yesterday"),
    packed_progress(steps=[[0, 0]]),
    packed_progress(steps=[[0, 5, [], {}, {}, {}]]),
    packed_progress(steps=[[0, 0, 7, {}, {}, {}]]),
    packed_progress(steps=[[0, 0, [], [], {}, {}]]),
]


def put_row(store, job_id, suffix, value):
    part = home_partition(QUEUE.name, JobId(job_id))
    key = PartitionedKey(JOBS_TABLE, part, job_id + suffix)
    assert isinstance(store.commit((), (Write(key, value),)), Success)


@pytest.mark.parametrize("odd", ODD_JOBS, ids=range(len(ODD_JOBS)))
def test_an_odd_job_is_passed_over_and_the_others_are_served(store, clock, odd):
    """The holder failed while it loaded, and a follower read no job any more."""
    assert submit(store, clock, "a") is IntakeKind.DONE
    put_row(store, "odd", "", odd)
    holder = TermHarness(store, clock, "e1").load()
    assert set(holder.scheduler.jobs) == {"a"}
    put_row(store, "odd", "", odd)
    assert submit(store, clock, "b") is IntakeKind.DONE
    holder.follow()
    assert set(holder.scheduler.jobs) == {"a", "b"}


@pytest.mark.parametrize("odd", ODD_PROGRESS, ids=range(len(ODD_PROGRESS)))
def test_a_job_with_odd_progress_is_not_started_and_the_others_are_served(
    store, clock, odd
):
    """Its tasks may have ended, so it is not served as if it had no progress."""
    assert submit(store, clock, "a") is IntakeKind.DONE
    assert submit(store, clock, "odd") is IntakeKind.DONE
    put_row(store, "odd", PROGRESS_SUFFIX, odd)
    holder = TermHarness(store, clock, "e1").load()
    assert set(holder.scheduler.jobs) == {"a"}
    assert not holder.scheduler.ended


LATER_PLACEMENT = ["w1", 1_000_001, "1", *[0.0] * 9, "later"]
LATER_STEP = [0, 0, [0], {1: [7]}, {}, {1: [LATER_PLACEMENT]}, *[{}] * 9, "later"]


def test_progress_with_fields_of_a_later_version_is_read(store, clock):
    """The job was passed over: it was never run again, and its state not shown."""
    job = make_job("a", (replace(ONE_STEP[0], count=2),))
    assert Intake(store, clock).submit(job.workload).kind is IntakeKind.DONE
    later = msgpack.packb(["running", 0, [LATER_STEP], 0.0, "later"])
    put_row(store, "a", PROGRESS_SUFFIX, later)
    holder = TermHarness(store, clock, "e1").load()
    (step,) = holder.scheduler.jobs[JobId("a")].steps()
    assert (step.done, step.failed) == ({0}, {1: {7}})
    (placement,) = unpack_progress(later).steps[0, 0].placed[1]
    assert (placement.worker, placement.number) == ("w1", 1_000_001)
    assert placement.incarnation == "1"
    shown = Intake(store, clock).show(QUEUE.name, JobId("a"))
    assert shown.state is JobState.RUNNING


def test_a_job_with_fields_of_a_later_version_is_read(store, clock):
    put_row(store, "a", "", msgpack.packb(["", [STEP], [0, 0.0, 0.0], 0.0, "later"]))
    assert set(TermHarness(store, clock, "e1").load().scheduler.jobs) == {"a"}


@pytest.mark.parametrize("odd", ODD_BYTES, ids=range(len(ODD_BYTES)))
def test_a_call_about_a_job_with_odd_progress_is_refused(store, clock, odd):
    """It ended in an exception, and a caller got no answer that says what to do."""
    assert submit(store, clock, "odd") is IntakeKind.DONE
    put_row(store, "odd", PROGRESS_SUFFIX, odd)
    intake = Intake(store, clock)
    assert intake.show(QUEUE.name, JobId("odd")).kind is IntakeKind.NOT_DONE
    assert intake.cancel(QUEUE.name, JobId("odd")).kind is IntakeKind.NOT_DONE


@pytest.mark.parametrize("part", ["", "x", "/", "quotes/99", "quotes/0/1"])
@pytest.mark.parametrize("name", ["x", ".", ".cancel", "a.unknown", "a.cancel.cancel"])
def test_rows_with_odd_keys_are_passed_over(store, clock, part, name):
    assert submit(store, clock, "a") is IntakeKind.DONE
    key = PartitionedKey(JOBS_TABLE, part, name)
    store.commit((), (Write(key, b"\xc1"),))
    holder = TermHarness(store, clock, "e1").load()
    assert set(holder.scheduler.jobs) == {"a"}
    holder.follow()
    assert set(holder.scheduler.jobs) == {"a"}


class GrowingStore(PartialOutageStore):
    """A store in which jobs are submitted after the first list of its partitions."""

    names = ()

    def list_partitions(self, table):
        result = super().list_partitions(table)
        names, self.names = self.names, ()
        for name in names:
            assert submit(self, self._clock, name) is IntakeKind.DONE
        return result


def test_a_job_in_a_partition_that_is_new_since_the_list_is_found(clock):
    """The first job of a partition was accepted while a new holder read the others.

    The partition was not listed, and its row was older than the reads of the other
    partitions, from which the holder followed the changes: the job was never run.
    """
    store = GrowingStore(clock)
    assert submit(store, clock, "a") is IntakeKind.DONE
    store.names = [f"job{number}" for number in range(8)]
    holder = TermHarness(store, clock, "e1").load()
    holder.version = holder.reader._version
    holder.follow()
    assert len(holder.scheduler.jobs) == 9


def test_a_holder_whose_lease_has_lapsed_takes_in_no_jobs_that_it_reads_anew(
    store, clock
):
    """The store discarded its history, and the holder was slow to read the jobs again.

    Its successor served already, and both started a job that was accepted since.
    """
    holder = TermHarness(store, clock, "e1").load()
    successor = TermHarness(store, clock, "e2").load()
    assert submit(store, clock) is IntakeKind.DONE
    assert not holder.reader.load_jobs()
    assert not holder.scheduler.jobs
    successor.follow()
    assert successor.scheduler.jobs


def test_a_holder_whose_lease_has_lapsed_takes_in_no_jobs_of_a_late_partition(
    store, clock
):
    home, _ = job_partitions(QUEUE.name, JobId("a"))
    for name in ("a", *(f"job{number}" for number in range(8))):
        assert submit(store, clock, name) is IntakeKind.DONE
    store.unavailable = {home}
    holder = TermHarness(store, clock, "e1").load()
    store.unavailable = set()
    successor = TermHarness(store, clock, "e2").load()
    holder.reader.read_unread()
    assert "a" not in holder.scheduler.jobs
    assert not holder.scheduler.has_read_all_jobs
    assert "a" in successor.scheduler.jobs


def test_the_role_is_renewed_while_the_partitions_are_read(store, clock):
    """Reading a slow store's jobs may take longer than the lease lasts."""
    for number in range(8):
        assert submit(store, clock, f"job{number}") is IntakeKind.DONE
    holder = TermHarness(store, clock, "e1")
    store.read_ms = LEASE_MS / 4.0
    assert holder.reader.load()
    assert len(holder.scheduler.jobs) == 8
    assert holder.role.has_valid_lease


def test_jobs_of_a_partition_that_is_read_twice_at_once_are_found(store, clock):
    """They stayed unread until the next holder: the reads had different versions."""
    home = home_partition(QUEUE.name, JobId("a"))
    names = [f"j{n}" for n in range(99)]
    late = next(name for name in names if is_home(name, home))
    elsewhere = next(name for name in names if not is_home(name, home))
    submit(store, clock)
    submit(store, clock, elsewhere)
    store.unavailable = {home}
    holder = TermHarness(store, clock, "e1").load()
    store.unavailable = set()
    clock.advance(BACKOFF_MS)
    read = store.read

    def read_slowly(table, part, first="", end=""):
        result = read(table, part, first, end)
        eventlet.sleep(0.01 if part == home else 0.0)
        return result

    store.read = read_slowly
    thread = eventlet.spawn(holder.reader.read_unread)
    eventlet.sleep(0.001)
    store.read = read
    assert submit(store, clock, late) is IntakeKind.DONE
    store.unavailable = {home}
    assert holder.reader.load_jobs()  # the history was lost
    thread.wait()
    store.unavailable = set()
    holder.version = holder.reader._version
    holder.retry_unread()
    holder.follow()
    assert set(holder.scheduler.jobs) == {"a", late, elsewhere}
