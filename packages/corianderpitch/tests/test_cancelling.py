"""Acknowledged cancellations of jobs that have rows in two partitions."""

import pytest
from schedulers import QUEUE, add_worker, starts
from test_jobreader import (
    BACKOFF_MS,
    PartialOutageStore,
    TermHarness,
    lose_answers,
    rows_of,
    submit,
)

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.intake import Intake, IntakeKind
from corianderpitch.daemon.scheduling.rows import job_partitions
from corianderpitch.domain.jobs import JobState
from corianderpitch.ids import JobId

JOB = JobId("a")
HOME, FALLBACK = job_partitions(QUEUE.name, JOB)
RETENTION_MS = 300_000.0


@pytest.fixture
def clock():
    return ManualClock(1000.0)


@pytest.fixture
def store(clock):
    return PartialOutageStore(clock)


def cancel(store, clock, name=JOB):
    return Intake(store, clock).cancel(QUEUE.name, JobId(name)).kind


def job_in_two_partitions(store, clock, is_diverted, is_answer_lost):
    """Submit a job so that it has a row in either partition; return its holder.

    The second row is that of a copy of the request, or of the same request after a
    lost answer of the home partition.
    """
    holder = TermHarness(store, clock, "e1").load()
    if is_diverted:
        store.unavailable = {HOME}
        assert submit(store, clock) is IntakeKind.DONE
        holder.follow()
        store.unavailable = set()
        clock.advance(BACKOFF_MS)
    elif is_answer_lost:
        original = lose_answers(store)
        assert submit(store, clock) is IntakeKind.DONE
        store.commit = original
        holder.follow()
    else:
        assert submit(store, clock) is IntakeKind.DONE
        holder.follow()
    store.unavailable = {FALLBACK if is_diverted else HOME}
    assert submit(store, clock) is IntakeKind.DONE
    return holder


@pytest.mark.parametrize("is_answer_lost", [False, True])
@pytest.mark.parametrize("is_diverted", [False, True])
def test_a_cancelling_is_not_lost_with_the_holder_before_the_end_is_committed(
    store, clock, is_diverted, is_answer_lost
):
    """Cancelled jobs came back after an outage of their partition (review/7)."""
    holder = job_in_two_partitions(store, clock, is_diverted, is_answer_lost)
    assert cancel(store, clock) is IntakeKind.DONE
    holder.follow()
    assert JOB not in holder.scheduler.jobs
    assert not holder.commits.commit_all()
    holder.follow()
    store.unavailable = set()
    successor = TermHarness(store, clock, "e2").load()
    add_worker(successor.scheduler, "w1")
    assert JOB not in successor.scheduler.jobs
    assert starts(successor.scheduler) == []
    assert successor.commits.commit_all()
    successor.follow()
    assert rows_of(store) == [(FALLBACK if is_diverted else HOME, "a.progress")]
    clock.advance(BACKOFF_MS)
    shown = Intake(store, clock).show(QUEUE.name, JOB)
    assert shown.state is JobState.CANCELLED


@pytest.mark.parametrize("is_diverted", [False, True])
def test_a_cancelling_survives_a_change_of_the_holder_after_each_write(
    store, clock, is_diverted
):
    """A holder that is killed, or wakes as a stale one, knows only what is stored."""
    holder = job_in_two_partitions(store, clock, is_diverted, is_answer_lost=False)
    assert cancel(store, clock) is IntakeKind.DONE
    copies = []
    commit = store.commit

    def commit_and_copy(checks, writes):
        result = commit(checks, writes)
        copies.append(dict(store._rows))
        return result

    store.commit = commit_and_copy
    holder.follow()
    holder.commits.commit_all()
    store.unavailable = set()
    clock.advance(BACKOFF_MS)
    holder.follow()
    assert holder.commits.commit_all()
    holder.follow()
    assert len(copies) > 2
    for rows in copies:
        later = PartialOutageStore(clock)
        later._rows, later._version = rows, store._version
        successor = TermHarness(later, clock, "e2").load()
        successor.reader.record_diversions()
        assert JOB not in successor.scheduler.jobs


def test_an_ended_job_is_kept_until_its_copy_in_a_silent_partition_is_deleted(
    store, clock
):
    """Its end was purged first, so that the next holder ran the copy as a new job."""
    holder = job_in_two_partitions(store, clock, False, False)
    store.unavailable = {FALLBACK}
    holder.follow()
    holder.scheduler.cancel_job(JOB)
    assert holder.commits.commit_all()
    clock.advance(RETENTION_MS)
    holder.role.renew()
    holder.cleanup.purge_ended_jobs()
    store.unavailable = set()
    successor = TermHarness(store, clock, "e2").load()
    successor.follow()
    assert not successor.scheduler.jobs
