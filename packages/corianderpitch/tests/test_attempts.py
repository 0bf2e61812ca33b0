"""Concurrent attempts have one outcome and release every permit exactly once."""

import eventlet
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from corianderpitch.adapters.memory import MemoryEndpoint
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.attempts import race
from corianderpitch.daemon.metrics import Metrics
from corianderpitch.daemon.permits import PermitClient
from corianderpitch.daemon.requests import Request, RequestRunner
from corianderpitch.domain.effects import Offer
from corianderpitch.domain.outcomes import Answered, NotRun, Reason, Unknown
from corianderpitch.domain.slots import RunResult
from corianderpitch.errors import InstanceDisconnected, InstanceTimedOut
from corianderpitch.ports import Exchange

ANSWER = Answered(200, "text/plain", b"whole")
NOT_RUN = NotRun(Reason.OVERLOAD, 100)
UNKNOWN = Unknown(Reason.INSTANCE_SILENT)


@given(st.lists(st.sampled_from([ANSWER, NOT_RUN, UNKNOWN]), min_size=1, max_size=4))
def test_race_returns_an_answer_or_else_unknown_if_an_attempt_may_have_run(outcomes):
    outcome = race(*(lambda result=result: result for result in outcomes))
    if ANSWER in outcomes:
        assert outcome == ANSWER
    elif UNKNOWN in outcomes:
        assert outcome == UNKNOWN
    else:
        assert outcome == NOT_RUN


@pytest.fixture
def ended_attempts():
    return []


@pytest.fixture
def slow_attempt(ended_attempts):
    def attempt():
        try:
            eventlet.sleep(60.0)
        finally:
            ended_attempts.append("slow")

    return attempt


def test_race_kills_the_slower_attempt(ended_attempts, slow_attempt):
    assert race(slow_attempt, lambda: ANSWER) == ANSWER
    assert ended_attempts == ["slow"]


def test_race_raises_the_exception_of_an_attempt_and_kills_the_others(
    ended_attempts, slow_attempt
):
    def broken():
        raise RuntimeError("fault")

    with pytest.raises(RuntimeError):
        race(slow_attempt, broken)
    assert ended_attempts == ["slow"]


class ScriptedExchange(Exchange):
    """An exchange that never begins to answer and ends with a result after a delay."""

    def __init__(self, is_reused, result, delay_s):
        self.is_reused = is_reused
        self._result = result
        self._delay_s = delay_s

    def wait_for_first_byte(self, within_ms):
        return False

    def finish(self):
        eventlet.sleep(self._delay_s)
        return self._result


class ScriptedEndpoint(MemoryEndpoint):
    def __init__(self, *scripts):
        super().__init__()
        self.calls = []
        self._scripts = list(scripts)

    def start(self, vm_id, address, call):
        self.calls.append((vm_id, call))
        return Success(self._scripts.pop(0))


class FakePermits(PermitClient):
    """Grants a permit for another VM each time, and records the released ones."""

    def __init__(self):
        self.released = []
        self.granted = 0

    def acquire(self, demand):
        self.granted += 1
        vm_id = f"vm{self.granted}"
        assert vm_id not in demand.excluded
        return Offer(f"p{self.granted}", vm_id, "address", "owner")

    def may_start(self, offer):
        return True

    def release(self, offer, result, run_ms):
        self.released.append((offer.vm_id, result))


def run(*scripts, is_idempotent=True):
    permits, endpoint = FakePermits(), ScriptedEndpoint(*scripts)
    clock = ManualClock()
    runner = RequestRunner(permits, endpoint, Metrics(), clock, lambda service: 4)
    request = Request("r1", "s", "t", "c", 1000.0, is_idempotent, "text/plain", b"")
    return runner.run(request), permits, endpoint


def test_silent_attempt_loses_to_the_second_and_its_permit_is_released():
    silent = ScriptedExchange(True, Success(ANSWER), 60.0)
    outcome, permits, endpoint = run(
        silent, ScriptedExchange(False, Success(ANSWER), 0.0)
    )
    assert outcome == ANSWER
    assert sorted(permits.released) == [
        ("vm1", RunResult.ABANDONED),
        ("vm2", RunResult.COMPLETED),
    ]
    assert [call.needs_new_connection for _, call in endpoint.calls] == [False, True]


def test_slow_first_attempt_is_returned_if_it_answers_first():
    slow_exchange = ScriptedExchange(True, Success(ANSWER), 0.01)
    second_answer = Answered(200, "text/plain", b"second")
    outcome, permits, _ = run(
        slow_exchange, ScriptedExchange(False, Success(second_answer), 60.0)
    )
    assert outcome == ANSWER
    assert len(permits.released) == permits.granted == 2


def test_two_attempts_without_an_answer_are_retried_over_a_new_connection():
    broken = ScriptedExchange(False, Failure(InstanceDisconnected("vm2")), 0.0)
    silent = ScriptedExchange(True, Failure(InstanceTimedOut("vm1")), 0.01)
    outcome, permits, endpoint = run(
        silent, broken, ScriptedExchange(False, Success(ANSWER), 0.0)
    )
    assert outcome == ANSWER
    assert len(permits.released) == permits.granted == 3
    assert endpoint.calls[-1][1].needs_new_connection


def test_request_that_is_not_idempotent_is_never_sent_twice():
    silent = ScriptedExchange(False, Failure(InstanceTimedOut("vm1")), 0.0)
    outcome, permits, endpoint = run(silent, is_idempotent=False)
    assert outcome == UNKNOWN
    assert len(endpoint.calls) == 1
    assert endpoint.calls[0][1].needs_new_connection
    assert permits.released == [("vm1", RunResult.ABANDONED)]
