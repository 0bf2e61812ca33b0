"""A team whose surplus cannot be served is limited to its share, by all entries."""

from dataclasses import replace

import pytest
from returns.result import Failure
from schedulers import NOW_MS, QUEUE, make_job, make_scheduler, starts
from test_jobreader import PartialOutageStore, TermHarness
from test_shares import make_team
from test_usage import OTHER, TEAM, team_job

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.admissions import AdmissionTask
from corianderpitch.daemon.scheduling.intake import Intake, IntakeKind
from corianderpitch.daemon.scheduling.jobrows import holds_job, read_job_rows
from corianderpitch.daemon.scheduling.rows import (
    LIMITS_TABLE,
    ShareLimit,
    job_partitions,
    limit_key,
    pack_limit,
)
from corianderpitch.domain.scheduling.admission import (
    MAX_SURPLUS_AGE_MS,
    hopeless_surpluses,
)
from corianderpitch.domain.scheduling.shares import SHARE_WINDOW_MS
from corianderpitch.errors import PlatformUnavailable
from corianderpitch.ids import JobId
from corianderpitch.ports import Write

WEIGHT = 4.0
LATE_MS = 10_000.0


@pytest.fixture
def clock():
    return ManualClock(NOW_MS)


@pytest.fixture
def store(clock):
    return PartialOutageStore(clock)


@pytest.fixture
def intake(store, clock):
    return Intake(store, clock)


def make_admission(store, clock, name="e1", is_flooded=True):
    """Return the admission of a holder, which knows a job that waits in vain."""
    holder = TermHarness(store, clock, name)
    scheduler = holder.scheduler
    teams = (make_team(WEIGHT), make_team(WEIGHT, OTHER))
    scheduler.usage.set_teams({team.name: team for team in teams})
    if is_flooded:
        job = team_job("surplus")
        job.is_beyond_share = True
        job.accepted_ms = clock.now_ms() - LATE_MS
        scheduler.add_job(job)
    return AdmissionTask(store, scheduler, holder.role, 1e9, clock)


def submit(intake, name, team=TEAM):
    return intake.submit(replace(make_job(name).workload, team=team))


def submit_many(intake, clock, count, interval_ms, prefix="job"):
    kinds = []
    for number in range(count):
        kinds.append(submit(intake, f"{prefix}{number}").kind)
        clock.advance(interval_ms)
    return kinds


def is_stored(intake, name):
    return holds_job(read_job_rows(intake._store, QUEUE.name, JobId(name)).unwrap())


def test_only_a_surplus_that_missed_its_objective_before_it_began_is_hopeless():
    scheduler = make_scheduler()
    names = ("hopeless", "new", "begun", "within", "old")
    jobs = {name: team_job(name) for name in names}
    for job in jobs.values():
        job.accepted_ms = NOW_MS - LATE_MS
        job.is_beyond_share = job.job_id != "within"
        scheduler.add_job(job)
    jobs["new"].accepted_ms = NOW_MS
    jobs["old"].accepted_ms = NOW_MS - MAX_SURPLUS_AGE_MS
    scheduler.mark_begun(JobId("begun"))
    found = hopeless_surpluses([*jobs.values()], scheduler.queues, NOW_MS)
    assert found == {(QUEUE.name, TEAM)}
    del jobs["hopeless"]
    assert not hopeless_surpluses([*jobs.values()], scheduler.queues, NOW_MS)


def test_a_limited_team_is_refused_at_once_and_told_when_to_come_back(
    store, clock, intake
):
    make_admission(store, clock).check()
    result = submit(intake, "a")
    assert result.kind is IntakeKind.DONE  # the first one moves the limit on
    results = [submit(intake, f"b{n}") for n in range(20)]
    refused = [r for r in results if r.kind is IntakeKind.OVER_SHARE]
    assert refused
    assert all(0 < r.retry_after_ms < 10_000 for r in refused)


def test_a_limited_team_goes_on_at_the_rate_of_its_weight(store, clock, intake):
    """What it is owed must not be refused with its surplus."""
    make_admission(store, clock).check()
    kinds = submit_many(intake, clock, 800, 25.0)  # 40 a second for 20 s
    accepted = kinds.count(IntakeKind.DONE)
    assert accepted == pytest.approx(20.0 * WEIGHT, rel=0.2)


def test_other_teams_and_jobs_without_a_team_are_not_limited(store, clock, intake):
    make_admission(store, clock).check()
    for number in range(30):
        assert submit(intake, f"a{number}", OTHER).kind is IntakeKind.DONE
        assert submit(intake, f"b{number}", None).kind is IntakeKind.DONE


def flood(intake):
    """Submit jobs until one is refused; returns its name."""
    for number in range(100):
        if submit(intake, f"flood{number}").kind is IntakeKind.OVER_SHARE:
            return f"flood{number}"
    raise AssertionError("no job was refused")


def test_a_refused_job_is_not_stored(store, clock, intake):
    make_admission(store, clock).check()
    assert not is_stored(intake, flood(intake))


def test_a_submission_on_its_way_is_not_stored_after_its_refusal(store, clock, intake):
    """It may reach the fallback partition, while the home partition refuses the job."""
    make_admission(store, clock).check()
    home, _ = job_partitions(QUEUE.name, JobId("x"))
    earlier = Intake(store, clock)
    submit_many(earlier, clock, 40, 500.0)  # it has met the limits of all partitions
    store.unavailable, store.deferred = {home}, []
    assert submit(earlier, "x").kind is IntakeKind.UNKNOWN
    deferred, store.unavailable, store.deferred = store.deferred, set(), None
    due_ms = clock.now_ms() + 2 * SHARE_WINDOW_MS
    used_up = pack_limit(ShareLimit(due_ms, 1.0))
    store.commit((), (Write(limit_key(home, TEAM), used_up),))
    assert submit(intake, "x").kind is IntakeKind.OVER_SHARE
    for checks, writes in deferred:
        store.commit(checks, writes)
    assert not is_stored(intake, "x")


def test_a_job_that_was_accepted_before_is_not_refused(store, clock, intake):
    assert submit(intake, "a").kind is IntakeKind.DONE
    make_admission(store, clock).check()
    flood(intake)
    assert submit(intake, "a").kind is IntakeKind.DONE


def test_the_limit_ends_with_the_surplus(store, clock, intake):
    admission = make_admission(store, clock)
    admission.check()
    name = flood(intake)
    admission._scheduler.cancel_job(JobId("surplus"))
    admission.check()
    assert submit(intake, name).kind is IntakeKind.DONE
    assert not store.list_partitions(LIMITS_TABLE).unwrap()


def test_a_successor_ends_the_limits_that_it_does_not_need(store, clock, intake):
    """A team would stay limited after the death of the holder that limited it."""
    make_admission(store, clock).check()
    name = flood(intake)
    make_admission(store, clock, "e2", is_flooded=False).check()
    assert submit(intake, name).kind is IntakeKind.DONE


def test_a_store_that_refuses_the_limit_is_asked_again(store, clock, intake):
    admission = make_admission(store, clock)
    commit = store.commit
    store.commit = lambda *_: Failure(PlatformUnavailable("away"))
    admission.check()
    store.commit = commit
    admission.check()
    assert flood(intake)


def test_a_limit_that_cannot_be_read_limits_nothing(store, clock, intake):
    for part in job_partitions(QUEUE.name, JobId("a")):
        store.commit((), (Write(limit_key(part, TEAM), b"\x00"),))
    assert submit(intake, "a").kind is IntakeKind.DONE


def test_a_team_without_limits_makes_one_call_a_job(store, clock, intake):
    calls = []
    commit, read = store.commit, store.read
    store.commit = lambda *args: calls.append("commit") or commit(*args)
    store.read = lambda *args: calls.append("read") or read(*args)
    assert submit(intake, "a").kind is IntakeKind.DONE
    assert calls == ["commit"]


def test_a_flood_is_limited_once_it_is_not_served(store, clock, intake):
    """The whole way: jobs, their share, the wait of the surplus, the refusal."""
    admission = make_admission(store, clock, is_flooded=False)
    scheduler = admission._scheduler
    for number in range(60):
        job = team_job(f"flood{number}")
        job.accepted_ms = clock.now_ms()
        scheduler.add_job(job)
    assert not starts(scheduler, clock.now_ms())  # there are no workers
    admission.check()
    assert submit(intake, "a").kind is IntakeKind.DONE
    clock.advance(LATE_MS)
    admission.check()
    assert flood(intake)
