"""Jobs that may have rows in two partitions, across tenures."""

import random

import pytest
from returns.result import Failure, Success
from test_scheduler import QUEUE, add_worker, done, make_job, report, starts

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.adapters.partedtable import PartedTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.commits import CommitTask
from corianderpitch.daemon.scheduling.diversions import DivertedJobs
from corianderpitch.daemon.scheduling.holderrow import HolderRow
from corianderpitch.daemon.scheduling.intake import Intake, IntakeKind
from corianderpitch.daemon.scheduling.jobreader import JobReader
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.scheduling.rows import (
    DIVERTED_KEY,
    JOBS_TABLE,
    WORKERS_KEY,
    job_parts,
    job_places,
)
from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.scheduler import Scheduler, Term
from corianderpitch.domain.scheduling.workers import ListedRun
from corianderpitch.errors import OutcomeLost, PlatformUnavailable
from corianderpitch.ids import EntryId, JobId, WorkerId

LEASE_MS = 2000.0
RESTING_MS = 600.0  # longer than a breaker and a partition rest


class PartlyAwayStore(MemoryRowStore):
    """A store that refuses calls about some partitions, and may lose answers."""

    def __init__(self, clock):
        super().__init__(clock)
        self.away = set()
        self.late = None  # a list that takes writes which are carried out later

    def read(self, table, part, first="", end=""):
        if part in self.away:
            return Failure(PlatformUnavailable("status 503", was_answered=True))
        return super().read(table, part, first, end)

    def commit(self, checks, writes):
        if {entry.key.part for entry in (*checks, *writes)} & self.away:
            return Failure(PlatformUnavailable("status 503", was_answered=True))
        if self.late is not None:
            self.late.append((checks, writes))
            return Failure(OutcomeLost("late"))
        return super().commit(checks, writes)


class Tenure:
    """What a holder has, without its tasks."""

    def __init__(self, store, clock, name):
        self.store = store
        table = PartedTable(store)
        self.role = RoleLease("scheduler", EntryId(name), table, clock, 500.0, LEASE_MS)
        if not self.role.seek():
            clock.advance(LEASE_MS + 1.0)
            assert self.role.seek()
        self.role.renew()
        term = Term(self.role.epoch, self.role.fence().version, clock.now_ms())
        self.scheduler = Scheduler(term)
        self.scheduler.set_queues({QUEUE.name: QUEUE})
        diverted = DivertedJobs(store, self.role, self.scheduler)
        self.commits = CommitTask(
            store,
            self.role,
            self.scheduler,
            diverted,
            clock,
            JobMeters(),
            lambda: None,
            120_000.0,
        )
        self.reader = JobReader(
            store,
            self.role,
            self.scheduler,
            self.commits,
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
        """Take in what has changed, as the tasks around do in turn."""
        changes = self.store.follow(JOBS_TABLE, self.version, 0).unwrap()
        self.reader.take_rows(changes.rows)
        self.version = changes.version
        self.reader.record_diverted()
        self.reader.delete_strays()

    def read_rest(self):
        self.reader.read_unread()
        self.reader.record_diverted()


@pytest.fixture
def clock():
    return ManualClock(1000.0)


@pytest.fixture
def store(clock):
    return PartlyAwayStore(clock)


def submit(store, clock, name="a"):
    return Intake(store, clock).submit(make_job(name).workload).kind


def rows_of(store, name="a"):
    """Return the names of a job's rows, with their partitions."""
    found = []
    for part in job_parts(QUEUE.name):
        rows = MemoryRowStore.read(store, JOBS_TABLE, part).unwrap().rows
        found += [(part, r.key.name) for r in rows if r.key.name.startswith(name)]
    return found


def test_a_diverted_job_is_named_in_the_store_before_it_is_served(store, clock):
    tenure = Tenure(store, clock, "e1").load()
    home, fallback = job_places(QUEUE.name, JobId("a"))
    store.away = {home}
    assert submit(store, clock) is IntakeKind.DONE
    store.away = {home, DIVERTED_KEY.part}
    tenure.follow()
    assert not tenure.scheduler.jobs
    store.away = {home}
    tenure.follow()
    assert set(tenure.scheduler.jobs) == {"a"}
    assert tenure.scheduler.diverted == {"a"}
    tenure.scheduler.cancel_job(JobId("a"))
    assert tenure.commits.commit_all()
    assert rows_of(store) == [(fallback, "a.progress")]


def test_a_job_that_comes_again_at_home_stays_where_it_is_served(store, clock):
    tenure = Tenure(store, clock, "e1").load()
    home, fallback = job_places(QUEUE.name, JobId("a"))
    store.away = {home}
    submit(store, clock)
    tenure.follow()
    store.away = set()
    clock.advance(RESTING_MS)
    assert submit(store, clock) is IntakeKind.DONE
    assert rows_of(store) == sorted([(home, "a"), (fallback, "a")])
    tenure.follow()
    assert rows_of(store) == [(fallback, "a")]
    successor = Tenure(store, clock, "e2").load()
    assert set(successor.scheduler.jobs) == {"a"}
    assert successor.scheduler.diverted == {"a"}


@pytest.mark.parametrize("is_answered", [True, False])
def test_a_job_that_comes_home_while_it_is_recorded_stays_diverted(
    store, clock, is_answered
):
    """The row that names it may be written already, or be written late."""
    tenure = Tenure(store, clock, "e1").load()
    home, fallback = job_places(QUEUE.name, JobId("a"))
    store.away = {home}
    submit(store, clock)
    store.away = set()
    clock.advance(RESTING_MS)
    plain = store.commit

    def come_home_meanwhile(checks, writes):
        if writes[0].key != DIVERTED_KEY:
            return plain(checks, writes)
        store.commit = plain
        result = plain(checks, writes)
        assert submit(store, clock) is IntakeKind.DONE
        rows = store.read(JOBS_TABLE, home).unwrap().rows
        tenure.reader.take_rows(rows)
        assert not tenure.scheduler.jobs
        return result if is_answered else Failure(OutcomeLost("lost"))

    store.commit = come_home_meanwhile
    for _ in range(4):
        tenure.follow()
    assert tenure.scheduler.diverted == {"a"}
    assert set(tenure.scheduler.jobs) == {"a"}
    assert rows_of(store) == [(fallback, "a")]


def test_a_job_that_has_ended_is_not_begun_again_from_its_other_partition(store, clock):
    """Its caller repeats it while the partition with its final state is away."""
    tenure = Tenure(store, clock, "e1").load()
    home, _ = job_places(QUEUE.name, JobId("a"))
    submit(store, clock)
    tenure.follow()
    tenure.scheduler.cancel_job(JobId("a"))
    assert tenure.commits.commit_all()
    store.away = {home}
    submit(store, clock)
    successor = Tenure(store, clock, "e2").load()
    successor.follow()
    assert not successor.scheduler.jobs
    store.away = set()
    successor.read_rest()
    successor.follow()
    assert not successor.scheduler.jobs
    assert rows_of(store) == [(home, "a.progress")]


def test_a_successor_goes_on_with_home_jobs_while_their_fallback_is_away(store, clock):
    submit(store, clock)
    _, fallback = job_places(QUEUE.name, JobId("a"))
    other = next(f"j{n}" for n in range(99) if is_home(f"j{n}", fallback))
    submit(store, clock, other)  # so that the store lists that partition
    store.away = {fallback}
    assert set(Tenure(store, clock, "e1").load().scheduler.jobs) == {"a"}


def is_home(name, part):
    return job_places(QUEUE.name, JobId(name))[0] == part


def test_a_cancelling_beside_a_double_counts(store, clock):
    tenure = Tenure(store, clock, "e1").load()
    home, _ = job_places(QUEUE.name, JobId("a"))
    store.away = {home}
    submit(store, clock)
    tenure.follow()
    store.away = set()
    clock.advance(RESTING_MS)
    submit(store, clock)
    store.away = {job_places(QUEUE.name, JobId("a"))[1]}
    cancelled = Intake(store, clock).cancel(QUEUE.name, JobId("a"))
    assert cancelled.kind is IntakeKind.DONE
    store.away = set()
    tenure.follow()
    assert not tenure.scheduler.jobs
    assert tenure.commits.commit_all()
    clock.advance(RESTING_MS)
    shown = Intake(store, clock).show(QUEUE.name, JobId("a"))
    assert shown.state is JobState.CANCELLED


def refuse_twice(tenure, clock):
    """Let a commit fail until a partition counts as away."""
    for _ in range(2):
        tenure.commits.commit_all()
        clock.advance(RESTING_MS)


def tenure_with_an_end_elsewhere(store, clock):
    """Begin a tenure, and end job ``a`` in it while its home partition is away."""
    tenure = Tenure(store, clock, "e1").load()
    submit(store, clock)
    tenure.follow()
    store.away = {job_places(QUEUE.name, JobId("a"))[0]}
    tenure.scheduler.cancel_job(JobId("a"))
    refuse_twice(tenure, clock)
    assert tenure.commits.commit_all()
    return tenure


def test_an_end_is_shown_while_the_partition_of_its_job_is_away(store, clock):
    """Jobs that were done in time were shown as running for seven seconds."""
    tenure = Tenure(store, clock, "e1").load()
    home, fallback = job_places(QUEUE.name, JobId("a"))
    submit(store, clock)
    tenure.follow()
    add_worker(tenure.scheduler, "w1")
    (order,) = starts(tenure.scheduler)
    assert tenure.commits.commit_all()
    store.away = {home}
    report(tenure.scheduler, "w1", ended=[done(order)])
    refuse_twice(tenure, clock)
    assert tenure.commits.commit_all()
    assert tenure.scheduler.workers[WorkerId("w1")].settled == 1
    shown = Intake(store, clock).show(QUEUE.name, JobId("a"))
    assert shown.state is JobState.DONE
    store.away = set()
    shown = Intake(store, clock).show(QUEUE.name, JobId("a"))
    assert shown.state is JobState.DONE
    assert (home, "a") in rows_of(store)
    tenure.follow()
    assert rows_of(store) == [(fallback, "a.progress")]


@pytest.mark.parametrize("is_home_back", [True, False])
def test_a_successor_does_not_begin_a_job_again_that_ended_elsewhere(
    store, clock, is_home_back
):
    """What was left at home still says that it runs."""
    tenure_with_an_end_elsewhere(store, clock)
    if is_home_back:
        store.away = set()
    successor = Tenure(store, clock, "e2").load()
    assert not successor.scheduler.jobs
    assert JobId("a") in successor.scheduler.ended


def test_a_move_whose_answer_was_lost_is_made_again(store, clock):
    tenure = Tenure(store, clock, "e1").load()
    home, _ = job_places(QUEUE.name, JobId("a"))
    submit(store, clock)
    tenure.follow()
    store.away = {home}
    tenure.scheduler.cancel_job(JobId("a"))
    plain = store.commit

    def lose(checks, writes):
        result = plain(checks, writes)
        return Failure(OutcomeLost("lost")) if isinstance(result, Success) else result

    store.commit = lose
    refuse_twice(tenure, clock)
    assert not tenure.commits.commit_all()
    store.commit = plain
    for _ in range(3):
        clock.advance(RESTING_MS)
        is_done = tenure.commits.commit_all()
    assert is_done
    assert JobId("a") in tenure.scheduler.diverted


def test_what_a_moved_job_left_at_home_is_forgotten_with_it(store, clock):
    tenure = tenure_with_an_end_elsewhere(store, clock)
    clock.advance(300_000.0)
    tenure.commits.forget_ended()
    assert len(rows_of(store)) == 2
    store.away = set()
    tenure.commits.forget_ended()
    assert rows_of(store) == []
    assert not tenure.scheduler.diverted


@pytest.mark.parametrize("key", [DIVERTED_KEY, WORKERS_KEY])
def test_a_write_that_is_carried_out_late_does_not_undo_a_newer_one(store, clock, key):
    role = Tenure(store, clock, "e1").role
    row = HolderRow(store, role, key)
    assert isinstance(row.read(), Success)
    store.late = []
    assert isinstance(row.write(b"old"), Failure)
    late, store.late = store.late, None
    assert isinstance(row.write(b"new"), Success)
    for checks, writes in late:
        assert isinstance(store.commit(checks, writes), Failure)
    assert row.read().unwrap() == b"new"


def test_workers_that_are_recorded_stay_so_when_a_write_is_carried_out_late(
    store, clock
):
    """A successor would give leases of a worker that it never heard of no time."""
    tenure = Tenure(store, clock, "e1").load()
    tenure.commits.recorded_workers()
    tenure.scheduler.unheard = {"w1"}
    store.late = []
    tenure.commits._record_workers()
    late, store.late = store.late, None
    tenure.scheduler.unheard = {"w1", "w2"}
    assert tenure.commits._record_workers()
    for checks, writes in late:
        store.commit(checks, writes)
    assert set(tenure.commits.recorded_workers().unwrap()) == {"w1", "w2"}


def test_a_list_given_while_a_partition_is_read_does_not_count_for_its_jobs(
    store, clock
):
    """Two lasting tasks were started beside their own runs after a takeover."""
    tenure = Tenure(store, clock, "e1").load()
    home, _ = job_places(QUEUE.name, JobId("a"))
    other = next(f"j{n}" for n in range(99) if not is_home(f"j{n}", home))
    submit(store, clock)
    submit(store, clock, other)
    tenure.follow()
    add_worker(tenure.scheduler, "w1")
    orders = starts(tenure.scheduler)
    runs = [ListedRun(order.task, order.number, "", 50.0) for order in orders]
    store.away = {home}
    successor = Tenure(store, clock, "e2").load()
    add_worker(successor.scheduler, "w1")
    store.away = set()
    plain = store.read

    def list_meanwhile(*where):
        report(successor.scheduler, "w1", running=runs)
        return plain(*where)

    store.read = list_meanwhile
    successor.read_rest()
    store.read = plain
    assert JobId("a") in successor.scheduler.jobs
    assert starts(successor.scheduler, clock.now_ms()) == []
    report(successor.scheduler, "w1", running=runs)
    assert starts(successor.scheduler, clock.now_ms()) == []


@pytest.mark.parametrize("seed", range(150))
def test_no_job_is_served_from_both_partitions_on_a_long_walk(seed, store, clock):
    """Callers repeat, partitions go away, and holders change, in any order."""
    draw = random.Random(seed)
    names = [f"job{n}" for n in range(5)]
    parts = job_parts(QUEUE.name)
    accepted, begun, ended = set(), {}, set()
    tenure = Tenure(store, clock, "e0").load()
    for step in range(60):
        match draw.randrange(8):
            case 0 | 1 | 2:
                name = draw.choice(names)
                if submit(store, clock, name) is IntakeKind.DONE:
                    accepted.add(name)
            case 3:
                store.away = set(draw.sample(parts, draw.randrange(3)))
            case 4:
                if store.away:
                    store.away = set()
                tenure.read_rest()
            case 5:
                tenure = Tenure(store, clock, f"e{step}")
                while not tenure.reader.load():
                    store.away = set()
            case 6 if tenure.scheduler.jobs:
                name = draw.choice(sorted(tenure.scheduler.jobs))
                tenure.scheduler.cancel_job(JobId(name))
                refuse_twice(tenure, clock)
                if tenure.commits.commit_all():
                    ended.add(name)
            case _:
                clock.advance(RESTING_MS)
        tenure.role.renew()
        tenure.follow()
        for name in tenure.scheduler.jobs:
            assert name not in ended, "begun again after its end"
            is_diverted = name in tenure.scheduler.diverted
            if draw.random() < 0.2:
                tenure.scheduler.jobs[JobId(name)].is_dirty = True
            assert begun.setdefault(name, is_diverted) == is_diverted
    store.away = set()
    clock.advance(RESTING_MS)
    tenure = Tenure(store, clock, "last").load()
    tenure.follow()
    known = set(tenure.scheduler.jobs) | tenure.scheduler.ended
    assert accepted <= known, "a job that was accepted is lost"
    for name in ended:
        shown = Intake(store, clock).show(QUEUE.name, JobId(name))
        assert shown.state is JobState.CANCELLED
