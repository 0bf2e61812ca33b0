"""Attempts side by side: one outcome, and every permit given back once."""

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
from corianderpitch.errors import InstanceBrokeOff, InstanceSilent
from corianderpitch.ports import Exchange

ANSWER = Answered(200, "text/plain", b"whole")
NOT_RUN = NotRun(Reason.OVERLOAD, 100)
LOST = Unknown(Reason.INSTANCE_SILENT)


@given(st.lists(st.sampled_from([ANSWER, NOT_RUN, LOST]), min_size=1, max_size=4))
def test_race_answers_if_any_does_and_is_unknown_if_any_may_have_run(outcomes):
    won = race(*(lambda found=found: found for found in outcomes))
    if ANSWER in outcomes:
        assert won == ANSWER
    elif LOST in outcomes:
        assert won == LOST
    else:
        assert won == NOT_RUN


@pytest.fixture
def ended():
    return []


@pytest.fixture
def slow(ended):
    def attempt():
        try:
            eventlet.sleep(60.0)
        finally:
            ended.append("slow")

    return attempt


def test_race_ends_the_slower_attempt(ended, slow):
    assert race(slow, lambda: ANSWER) == ANSWER
    assert ended == ["slow"]


def test_race_passes_a_fault_on_and_leaves_nothing_running(ended, slow):
    def broken():
        raise RuntimeError("fault")

    with pytest.raises(RuntimeError):
        race(slow, broken)
    assert ended == ["slow"]


class Script(Exchange):
    """An exchange that stays silent, or ends as told, after some time."""

    def __init__(self, is_reused, end, after_s):
        self.is_reused = is_reused
        self._end = end
        self._after_s = after_s

    def has_begun(self, within_ms):
        return False

    def finish(self):
        eventlet.sleep(self._after_s)
        return self._end


class ScriptedEndpoint(MemoryEndpoint):
    def __init__(self, *scripts):
        super().__init__()
        self.calls = []
        self._scripts = list(scripts)

    def start(self, vm_id, address, call):
        self.calls.append((vm_id, call))
        return Success(self._scripts.pop(0))


class Permits(PermitClient):
    """Grants another VM each time, and notes what comes back."""

    def __init__(self):
        self.released = []
        self.granted = 0

    def acquire(self, wanted):
        self.granted += 1
        vm_id = f"vm{self.granted}"
        assert vm_id not in wanted.excluded
        return Offer(f"p{self.granted}", vm_id, "address", "owner")

    def may_start(self, offer):
        return True

    def release(self, offer, result, run_ms):
        self.released.append((offer.vm_id, result))


def run(*scripts, is_idempotent=True):
    permits, endpoint = Permits(), ScriptedEndpoint(*scripts)
    clock = ManualClock()
    runner = RequestRunner(permits, endpoint, Metrics(), clock, lambda service: 4)
    request = Request("r1", "s", "t", "c", 1000.0, is_idempotent, "text/plain", b"")
    return runner.run(request), permits, endpoint


def test_silent_attempt_is_overtaken_and_its_permit_returned():
    silent = Script(True, Success(ANSWER), 60.0)
    outcome, permits, endpoint = run(silent, Script(False, Success(ANSWER), 0.0))
    assert outcome == ANSWER
    assert sorted(permits.released) == [
        ("vm1", RunResult.ABANDONED),
        ("vm2", RunResult.COMPLETED),
    ]
    assert [call.is_once for _, call in endpoint.calls] == [False, True]


def test_slow_attempt_that_answers_first_wins():
    slow = Script(True, Success(ANSWER), 0.01)
    other = Answered(200, "text/plain", b"second")
    outcome, permits, _ = run(slow, Script(False, Success(other), 60.0))
    assert outcome == ANSWER
    assert len(permits.released) == permits.granted == 2


def test_two_lost_attempts_are_unknown_and_tried_again_over_a_new_connection():
    broken = Script(False, Failure(InstanceBrokeOff("vm2")), 0.0)
    silent = Script(True, Failure(InstanceSilent("vm1")), 0.01)
    outcome, permits, endpoint = run(
        silent, broken, Script(False, Success(ANSWER), 0.0)
    )
    assert outcome == ANSWER
    assert len(permits.released) == permits.granted == 3
    assert endpoint.calls[-1][1].is_once


def test_request_that_is_not_idempotent_is_never_sent_twice():
    lost = Script(False, Failure(InstanceSilent("vm1")), 0.0)
    outcome, permits, endpoint = run(lost, is_idempotent=False)
    assert outcome == LOST
    assert len(endpoint.calls) == 1
    assert endpoint.calls[0][1].is_once
    assert permits.released == [("vm1", RunResult.ABANDONED)]
