"""Callers while the store is silent: refused at once, and truly."""

import pytest
from returns.result import Failure
from test_scheduler import QUEUE, make_job

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.scheduling.intake import Intake, IntakeKind
from corianderpitch.daemon.scheduling.rows import job_part
from corianderpitch.domain.breaker import REST_MS
from corianderpitch.errors import OutcomeLost, PlatformUnavailable
from corianderpitch.ids import JobId, QueueName

TIMEOUT_MS = 600.0


class SilentStore(MemoryRowStore):
    """A store that can fall silent: each call then ends with its timeout."""

    def __init__(self, clock):
        super().__init__(clock)
        self.clock = clock
        self.error = None
        self.away = None  # a partition that alone does not answer
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
        if self.error is None or self.away not in (None, part):
            self.heard_ms = self.clock.now_ms()
            return call()
        self.clock.advance(TIMEOUT_MS)
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
    store.error = PlatformUnavailable("status 503")
    result = intake.show(QueueName(QUEUE.name), JobId(f"{1:016x}"))
    assert result.kind is IntakeKind.NOT_DONE
    assert result.retry_after_ms > 0


def test_one_partition_that_is_away_does_not_hold_the_others_back(place):
    """The store turned away calls about 29 % of its partitions for seven seconds."""
    clock, store, intake = place
    kinds = []
    store.error = PlatformUnavailable("status 503")
    store.away = job_part(QUEUE.name, JobId(f"{1:016x}"))
    for number in range(60):
        job = workload(number)
        kind = intake.submit(job).kind
        kinds.append(kind)
        is_away = job_part(job.queue, job.job_id) == store.away
        assert kind is (IntakeKind.NOT_DONE if is_away else IntakeKind.DONE)
    assert len(set(kinds)) == 2
    assert clock.now_ms() < 1000.0 + 4 * TIMEOUT_MS
