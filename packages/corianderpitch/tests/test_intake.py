"""Callers while the store is silent: refused at once, and truly."""

import pytest
from returns.result import Failure
from test_scheduler import QUEUE, make_job

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.intake import Intake, IntakeKind
from corianderpitch.daemon.scheduling.rows import (
    JOBS_TABLE,
    job_key,
    job_part,
    job_places,
    pack_workload,
)
from corianderpitch.domain.breaker import REST_MS
from corianderpitch.domain.jobs import JobState
from corianderpitch.errors import OutcomeLost, PlatformUnavailable
from corianderpitch.ids import JobId, QueueName
from corianderpitch.ports import Check, Write

TIMEOUT_MS = 600.0


class SilentStore(MemoryRowStore):
    """A store that can fall silent: each call then ends with its timeout."""

    def __init__(self, clock):
        super().__init__(clock)
        self.clock = clock
        self.error = None
        self.away = None  # partitions that alone do not answer
        self.calls = 0
        self.heard_ms = clock.now_ms()

    @property
    def answered_ms(self):
        return self.heard_ms

    def commit(self, checks, writes):
        part = checks[0].key.part
        return self._answer(
            part, lambda: super(SilentStore, self).commit(checks, writes)
        )

    def read(self, *where):
        return self._answer(where[1], lambda: super(SilentStore, self).read(*where))

    def _answer(self, part, call):
        self.calls += 1
        if self.error is None or (self.away is not None and part not in self.away):
            self.heard_ms = self.clock.now_ms()
            return call()
        self.clock.advance(TIMEOUT_MS)
        if self.away is not None:
            self.heard_ms = self.clock.now_ms()  # of another partition
        return Failure(self.error)


@pytest.fixture
def place():
    clock = ManualClock(1000.0)
    store = SilentStore(clock)
    return clock, store, Intake(store, clock)


def fall_silent(store, intake, error):
    """Let calls fail until it is known that the store is silent."""
    store.error = error
    for number in range(3):
        intake.submit(workload(number))


def workload(number):
    return make_job(f"{number:016x}").workload


@pytest.mark.parametrize(
    "error", [OutcomeLost("timeout"), PlatformUnavailable("refused")]
)
def test_callers_do_not_wait_for_a_store_that_is_known_to_be_silent(place, error):
    clock, store, intake = place
    fall_silent(store, intake, error)
    calls, began_ms = store.calls, clock.now_ms()
    for number in range(100, 140):
        result = intake.submit(workload(number))
        assert result.kind is IntakeKind.NOT_DONE
        assert result.retry_after_ms > 0
    assert clock.now_ms() == began_ms
    assert store.calls == calls


def test_what_was_refused_while_the_store_was_away_never_reached_it(place):
    clock, store, intake = place
    fall_silent(store, intake, OutcomeLost("timeout"))
    assert intake.submit(workload(7)).kind is IntakeKind.NOT_DONE
    store.error = None
    clock.advance(REST_MS)
    shown = intake.show(QueueName(QUEUE.name), JobId(f"{7:016x}"))
    assert shown.kind is IntakeKind.NO_SUCH_JOB


def test_jobs_are_taken_again_one_rest_after_the_store_is_back(place):
    clock, store, intake = place
    fall_silent(store, intake, OutcomeLost("timeout"))
    store.error = None
    clock.advance(REST_MS)
    assert intake.submit(workload(8)).kind is IntakeKind.DONE
    assert intake.submit(workload(9)).kind is IntakeKind.DONE


def test_one_lost_answer_alone_holds_nobody_back(place):
    _, store, intake = place
    store.error = OutcomeLost("timeout")
    intake.show(QueueName(QUEUE.name), JobId(f"{1:016x}"))
    store.error = None
    assert intake.submit(workload(1)).kind is IntakeKind.DONE


def test_a_state_that_cannot_be_read_is_told_with_when_to_come_back(place):
    _, store, intake = place
    store.error = PlatformUnavailable("status 503", was_answered=True)
    result = intake.show(QueueName(QUEUE.name), JobId(f"{1:016x}"))
    assert result.kind is IntakeKind.NOT_DONE
    assert result.retry_after_ms > 0


def test_one_partition_that_is_away_does_not_hold_the_others_back(place):
    """The store turned away calls about 29 % of its partitions for seven seconds.

    Jobs of the partition that was away were refused until their callers gave up.
    """
    clock, store, intake = place
    store.error = PlatformUnavailable("status 503", was_answered=True)
    store.away = {job_part(QUEUE.name, JobId(f"{1:016x}"))}
    parts = set()
    for number in range(60):
        job = workload(number)
        assert intake.submit(job).kind is IntakeKind.DONE
        assert intake.show(job.queue, job.job_id).state is JobState.QUEUED
        parts.add(job_part(job.queue, job.job_id))
    assert store.away < parts
    assert clock.now_ms() < 1000.0 + 4 * TIMEOUT_MS


def test_only_jobs_without_a_partition_that_answers_are_refused(place):
    clock, store, intake = place
    store.error = PlatformUnavailable("status 503", was_answered=True)
    store.away = set(job_places(QUEUE.name, JobId(f"{1:016x}")))
    kinds = set()
    for number in range(60):
        job = workload(number)
        kind = intake.submit(job).kind
        kinds.add(kind)
        is_away = set(job_places(job.queue, job.job_id)) <= store.away
        assert kind is (IntakeKind.NOT_DONE if is_away else IntakeKind.DONE)
        if is_away:
            store.error, error = None, store.error
            clock.advance(REST_MS)
            shown = intake.show(job.queue, job.job_id)
            assert shown.kind is IntakeKind.NO_SUCH_JOB
            store.error = error
    assert kinds == {IntakeKind.DONE, IntakeKind.NOT_DONE}


def test_a_write_whose_answer_is_lost_is_made_up_for_in_another_partition(place):
    _, store, intake = place
    job = workload(1)
    store.error = OutcomeLost("timeout")
    store.away = {job_part(job.queue, job.job_id)}
    assert intake.submit(job).kind is IntakeKind.DONE


@pytest.mark.parametrize(
    "error", [OutcomeLost("timeout"), PlatformUnavailable("refused")]
)
def test_a_caller_waits_for_one_call_at_most_to_a_store_out_of_reach(place, error):
    """An entry that is cut off can reach no partition."""
    clock, store, intake = place
    store.error = error
    began_ms = clock.now_ms()
    intake.show(QUEUE.name, JobId(f"{1:016x}"))
    assert clock.now_ms() == began_ms + TIMEOUT_MS


def test_a_job_in_its_fallback_partition_is_cancelled_there(place):
    _, store, intake = place
    job = workload(1)
    home, fallback = job_places(job.queue, job.job_id)
    store.error = PlatformUnavailable("status 503", was_answered=True)
    store.away = {home}
    intake.submit(job)
    assert intake.cancel(job.queue, job.job_id).kind is IntakeKind.DONE
    assert intake.show(job.queue, job.job_id).state is JobState.CANCELLED
    rows = store.read(JOBS_TABLE, fallback).unwrap().rows
    assert [row.key.name for row in rows] == [job.job_id, f"{job.job_id}.cancel"]


def test_a_cancelling_finds_the_job_when_a_double_of_it_is_deleted(place):
    """The row that was read is gone before the cancelling is written."""
    _, store, intake = place
    job = workload(1)
    home, fallback = job_places(job.queue, job.job_id)
    for part in (home, fallback):
        row = job_key(part, job.job_id)
        store.commit((Check(row, 0),), (Write(row, pack_workload(job, 0.0)),))
    plain = store.commit

    def delete_first(checks, writes):
        store.commit = plain
        plain(checks, (Write(checks[0].key, None),))
        return plain(checks, writes)

    store.commit = delete_first
    assert intake.cancel(job.queue, job.job_id).state is JobState.CANCELLED
    assert intake.show(job.queue, job.job_id).state is JobState.CANCELLED


def test_a_job_is_not_said_to_be_unknown_while_one_partition_is_away(place):
    _, store, intake = place
    job = workload(1)
    store.error = PlatformUnavailable("status 503", was_answered=True)
    for part in job_places(job.queue, job.job_id):
        store.away = {part}
        assert intake.show(job.queue, job.job_id).kind is IntakeKind.NOT_DONE
