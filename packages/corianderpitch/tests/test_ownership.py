"""A caller learns and changes nothing of another team's jobs."""

from dataclasses import replace

import pytest
from schedulers import QUEUE, add_worker, make_job, starts
from test_jobreader import PartialOutageStore, TermHarness, lose_answers

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.intake import Intake, IntakeKind
from corianderpitch.daemon.scheduling.rows import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    Cancellation,
    job_key,
    job_partitions,
    pack_cancellation,
    pack_workload,
    unpack_cancellation,
    unpack_workload,
)
from corianderpitch.domain.jobs import JobState
from corianderpitch.ids import JobId, TeamName

OWNER, OTHER = TeamName("counter-staff"), TeamName("yard-staff")
JOB = JobId("a")


@pytest.fixture
def clock():
    return ManualClock(1000.0)


@pytest.fixture
def store(clock):
    return PartialOutageStore(clock)


@pytest.fixture
def intake(store, clock):
    return Intake(store, clock)


def submit(intake, team=OWNER):
    return intake.submit(replace(make_job(JOB).workload, team=team)).kind


def show(intake, team):
    result = intake.show(QUEUE.name, JOB, team)
    return result.state if result.kind is IntakeKind.DONE else result.kind


def cancel(intake, team):
    return intake.cancel(QUEUE.name, JOB, team).kind


def end_job(holder):
    """Let a holder read the job, and commit its end."""
    holder.follow()
    holder.scheduler._end_job(holder.scheduler.jobs[JOB], JobState.FAILED)
    assert holder.commits.commit_all()


def test_another_teams_job_does_not_exist_for_a_caller(intake):
    assert submit(intake) is IntakeKind.DONE
    assert show(intake, OTHER) is IntakeKind.NO_SUCH_JOB
    assert cancel(intake, OTHER) is IntakeKind.NO_SUCH_JOB
    assert show(intake, OWNER) is JobState.QUEUED


def test_the_owner_of_a_job_that_has_ended_is_still_known(intake, store, clock):
    """Only the progress row remains then."""
    submit(intake)
    end_job(TermHarness(store, clock, "e1").load())
    assert show(intake, OTHER) is IntakeKind.NO_SUCH_JOB
    assert show(intake, OWNER) is JobState.FAILED
    assert submit(intake, OTHER) is IntakeKind.ID_TAKEN
    assert submit(intake, OWNER) is IntakeKind.DONE


def test_the_id_of_another_teams_job_is_taken(intake):
    """Neither 429 nor 503 would be true: the job of that id may run."""
    submit(intake)
    assert submit(intake, OTHER) is IntakeKind.ID_TAKEN
    assert submit(intake, OWNER) is IntakeKind.DONE


def test_a_lost_answer_does_not_hand_out_another_teams_job(intake, store):
    submit(intake)
    lose_answers(store)
    assert submit(intake, OTHER) is IntakeKind.ID_TAKEN


def test_a_job_of_a_queue_without_keys_is_open_to_all_its_callers(intake):
    submit(intake, None)
    assert show(intake, OTHER) is JobState.QUEUED
    assert cancel(intake, OTHER) is IntakeKind.DONE


def test_a_caller_without_a_key_may_show_a_job_once_its_queue_has_become_public(
    intake,
):
    submit(intake)
    assert show(intake, None) is JobState.QUEUED


def test_an_early_cancellation_binds_only_the_job_of_its_team(intake, store, clock):
    """Any team could have kept another one's job from running by guessing its id."""
    holder = TermHarness(store, clock, "e1").load()
    add_worker(holder.scheduler, "w1")
    assert cancel(intake, OTHER) is IntakeKind.NO_SUCH_JOB
    assert submit(intake) is IntakeKind.DONE
    assert show(intake, OWNER) is JobState.QUEUED
    holder.follow()
    assert len(starts(holder.scheduler)) == 1


def test_an_early_cancellation_binds_the_later_job_of_its_team(intake, store, clock):
    holder = TermHarness(store, clock, "e1").load()
    cancel(intake, OWNER)
    cancel(intake, OTHER)
    assert submit(intake) is IntakeKind.DONE
    assert show(intake, OWNER) is JobState.CANCELLED
    holder.follow()
    assert JOB not in holder.scheduler.jobs


def test_a_successor_tells_whose_early_cancellation_lies_beside_a_job(
    intake, store, clock
):
    cancel(intake, OTHER)
    submit(intake)
    assert JOB in TermHarness(store, clock, "e1").load().scheduler.jobs
    assert cancel(intake, OWNER) is IntakeKind.DONE
    assert show(intake, OWNER) is JobState.CANCELLED
    assert JOB not in TermHarness(store, clock, "e2").load().scheduler.jobs


def test_another_teams_cancel_row_is_deleted_with_the_end_of_the_job(
    intake, store, clock
):
    """It would lie in the store for ever."""
    cancel(intake, OTHER)
    submit(intake)
    holder = TermHarness(store, clock, "e1").load()
    end_job(holder)
    holder.cleanup.run_once()
    for part in job_partitions(QUEUE.name, JOB):
        names = [row.key.name for row in store.read(JOBS_TABLE, part).unwrap().rows]
        assert JOB + CANCEL_SUFFIX not in names


def test_rows_of_jobs_without_a_team_are_as_earlier_versions_write_them():
    workload = make_job(JOB).workload
    with_team = replace(workload, team=OWNER)
    key = job_key(job_partitions(QUEUE.name, JOB)[0], JOB)
    assert unpack_workload(key, pack_workload(with_team, 1.0))[0].team == OWNER
    assert unpack_workload(key, pack_workload(workload, 1.0))[0].team is None
    assert pack_cancellation(Cancellation(1.5)) == b"\xcb?\xf8\x00\x00\x00\x00\x00\x00"


def test_a_cancellation_keeps_its_teams():
    cancellation = Cancellation(1.5, frozenset((OWNER, OTHER)))
    assert unpack_cancellation(pack_cancellation(cancellation)) == cancellation
    assert cancellation.binds(OWNER)
    assert cancellation.binds(None)
    assert not cancellation.binds(TeamName("third"))
