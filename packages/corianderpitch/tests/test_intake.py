"""Calls during an outage of the store: refused at once and without an effect."""

import logbook
import pytest
from returns.result import Failure
from schedulers import QUEUE, make_job

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.intake import Intake, IntakeKind
from corianderpitch.daemon.scheduling.rows import (
    JOBS_TABLE,
    home_partition,
    job_key,
    job_partitions,
    pack_workload,
)
from corianderpitch.domain.breaker import PROBE_INTERVAL_MS
from corianderpitch.domain.jobs import JobState
from corianderpitch.errors import OutcomeLost, PlatformUnavailable
from corianderpitch.ids import JobId, QueueName
from corianderpitch.ports import Check, Write

TIMEOUT_MS = 600.0


class OutageStore(MemoryRowStore):
    """A store with outages, in which each call takes its full timeout and fails."""

    def __init__(self, clock):
        super().__init__(clock)
        self.clock = clock
        self.error = None
        self.unavailable = None  # partitions with an outage; ``None`` for all
        self.calls = 0
        self.last_answer_ms = clock.now_ms()

    @property
    def last_answered_ms(self):
        return self.last_answer_ms

    def commit(self, checks, writes):
        part = checks[0].key.part
        return self._answer(
            part, lambda: super(OutageStore, self).commit(checks, writes)
        )

    def read(self, *where):
        return self._answer(where[1], lambda: super(OutageStore, self).read(*where))

    def _answer(self, part, call):
        self.calls += 1
        if self.error is None or (
            self.unavailable is not None and part not in self.unavailable
        ):
            self.last_answer_ms = self.clock.now_ms()
            return call()
        self.clock.advance(TIMEOUT_MS)
        if self.unavailable is not None:
            self.last_answer_ms = self.clock.now_ms()  # an answer of another partition
        return Failure(self.error)


@pytest.fixture
def components():
    clock = ManualClock(1000.0)
    store = OutageStore(clock)
    return clock, store, Intake(store, clock)


def open_breakers(store, intake, error):
    """Let calls fail until the circuit breakers are open."""
    store.error = error
    for number in range(3):
        intake.submit(workload(number))


def workload(number):
    return make_job(f"{number:016x}").workload


@pytest.mark.parametrize(
    "error", [OutcomeLost("timeout"), PlatformUnavailable("refused")]
)
def test_calls_are_refused_at_once_while_the_breakers_are_open(components, error):
    clock, store, intake = components
    open_breakers(store, intake, error)
    calls, began_ms = store.calls, clock.now_ms()
    for number in range(100, 140):
        result = intake.submit(workload(number))
        assert result.kind is IntakeKind.NOT_DONE
        assert result.retry_after_ms > 0
    assert clock.now_ms() == began_ms
    assert store.calls == calls


def test_a_refused_submission_is_not_stored_after_the_outage(components):
    clock, store, intake = components
    open_breakers(store, intake, OutcomeLost("timeout"))
    assert intake.submit(workload(7)).kind is IntakeKind.NOT_DONE
    store.error = None
    clock.advance(PROBE_INTERVAL_MS)
    shown = intake.show(QueueName(QUEUE.name), JobId(f"{7:016x}"))
    assert shown.kind is IntakeKind.NO_SUCH_JOB


def test_jobs_are_accepted_one_probe_interval_after_the_store_recovers(components):
    clock, store, intake = components
    open_breakers(store, intake, OutcomeLost("timeout"))
    store.error = None
    clock.advance(PROBE_INTERVAL_MS)
    assert intake.submit(workload(8)).kind is IntakeKind.DONE
    assert intake.submit(workload(9)).kind is IntakeKind.DONE


def test_the_log_line_of_a_recovery_does_not_hold_the_rows_of_the_answer(components):
    clock, store, intake = components
    for number in range(20):
        assert intake.submit(workload(number)).kind is IntakeKind.DONE
    open_breakers(store, intake, OutcomeLost("timeout"))
    store.error = None
    clock.advance(PROBE_INTERVAL_MS)
    with logbook.TestHandler() as handler:
        intake.count_waiting(QueueName(QUEUE.name))
    lines = [r.kwargs for r in handler.records if "breaker" in r.message]
    assert lines
    assert all(line["detail"] == "answered" for line in lines)


def test_one_lost_answer_does_not_open_a_breaker(components):
    _, store, intake = components
    store.error = OutcomeLost("timeout")
    intake.show(QueueName(QUEUE.name), JobId(f"{1:016x}"))
    store.error = None
    assert intake.submit(workload(1)).kind is IntakeKind.DONE


def test_a_state_that_cannot_be_read_is_refused_with_a_retry_delay(components):
    _, store, intake = components
    store.error = PlatformUnavailable("status 503", was_answered=True)
    result = intake.show(QueueName(QUEUE.name), JobId(f"{1:016x}"))
    assert result.kind is IntakeKind.NOT_DONE
    assert result.retry_after_ms > 0


def test_an_outage_of_one_partition_does_not_affect_jobs_of_the_others(components):
    """The store once refused calls to 29 % of its partitions for seven seconds.

    Jobs of a refused partition were refused until their callers gave up.
    """
    clock, store, intake = components
    store.error = PlatformUnavailable("status 503", was_answered=True)
    store.unavailable = {home_partition(QUEUE.name, JobId(f"{1:016x}"))}
    parts = set()
    for number in range(60):
        job = workload(number)
        assert intake.submit(job).kind is IntakeKind.DONE
        assert intake.show(job.queue, job.job_id).state is JobState.QUEUED
        parts.add(home_partition(job.queue, job.job_id))
    assert store.unavailable < parts
    assert clock.now_ms() < 1000.0 + 4 * TIMEOUT_MS


def test_only_jobs_with_both_partitions_unavailable_are_refused(components):
    clock, store, intake = components
    store.error = PlatformUnavailable("status 503", was_answered=True)
    store.unavailable = set(job_partitions(QUEUE.name, JobId(f"{1:016x}")))
    kinds = set()
    for number in range(60):
        job = workload(number)
        kind = intake.submit(job).kind
        kinds.add(kind)
        is_unavailable = set(job_partitions(job.queue, job.job_id)) <= store.unavailable
        assert kind is (IntakeKind.NOT_DONE if is_unavailable else IntakeKind.DONE)
        if is_unavailable:
            store.error, error = None, store.error
            clock.advance(PROBE_INTERVAL_MS)
            shown = intake.show(job.queue, job.job_id)
            assert shown.kind is IntakeKind.NO_SUCH_JOB
            store.error = error
    assert kinds == {IntakeKind.DONE, IntakeKind.NOT_DONE}


def test_a_job_is_stored_in_its_fallback_partition_after_a_lost_answer(components):
    _, store, intake = components
    job = workload(1)
    store.error = OutcomeLost("timeout")
    store.unavailable = {home_partition(job.queue, job.job_id)}
    assert intake.submit(job).kind is IntakeKind.DONE


@pytest.mark.parametrize(
    "error", [OutcomeLost("timeout"), PlatformUnavailable("refused")]
)
def test_a_call_waits_for_one_timeout_only_if_the_store_is_unreachable(
    components, error
):
    """An entry without a connection to the store can reach no partition."""
    clock, store, intake = components
    store.error = error
    began_ms = clock.now_ms()
    intake.show(QUEUE.name, JobId(f"{1:016x}"))
    assert clock.now_ms() == began_ms + TIMEOUT_MS


def test_a_job_in_its_fallback_partition_is_cancelled_there(components):
    _, store, intake = components
    job = workload(1)
    home, fallback = job_partitions(job.queue, job.job_id)
    store.error = PlatformUnavailable("status 503", was_answered=True)
    store.unavailable = {home}
    intake.submit(job)
    assert intake.cancel(job.queue, job.job_id).kind is IntakeKind.DONE
    assert intake.show(job.queue, job.job_id).state is JobState.CANCELLED
    rows = store.read(JOBS_TABLE, fallback).unwrap().rows
    assert [row.key.name for row in rows] == [job.job_id, f"{job.job_id}.cancel"]


def test_a_job_is_cancelled_although_a_duplicate_row_of_it_is_deleted(components):
    """The row that was read is deleted before the cancel row is written."""
    _, store, intake = components
    job = workload(1)
    home, fallback = job_partitions(job.queue, job.job_id)
    for part in (home, fallback):
        row = job_key(part, job.job_id)
        store.commit((Check(row, 0),), (Write(row, pack_workload(job, 0.0)),))
    original_commit = store.commit

    def delete_row_first(checks, writes):
        store.commit = original_commit
        original_commit(checks, (Write(checks[0].key, None),))
        return original_commit(checks, writes)

    store.commit = delete_row_first
    assert intake.cancel(job.queue, job.job_id).state is JobState.CANCELLED
    assert intake.show(job.queue, job.job_id).state is JobState.CANCELLED


def test_no_job_is_reported_missing_while_one_partition_is_unavailable(components):
    _, store, intake = components
    job = workload(1)
    store.error = PlatformUnavailable("status 503", was_answered=True)
    for part in job_partitions(job.queue, job.job_id):
        store.unavailable = {part}
        assert intake.show(job.queue, job.job_id).kind is IntakeKind.NOT_DONE
