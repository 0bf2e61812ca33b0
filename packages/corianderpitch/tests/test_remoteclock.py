"""Bounds of a remote clock."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corianderpitch.domain.remoteclock import MAX_DRIFT, RemoteClock

REMOTE_AHEAD_MS = 70_000.0
delays_ms = st.floats(0.0, 5000.0)


def read(clock, sent_ms, request_ms, response_ms):
    """Add the reading of a call that takes these times each way."""
    remote_ms = sent_ms + request_ms + REMOTE_AHEAD_MS
    clock.add_reading(sent_ms, sent_ms + request_ms + response_ms, remote_ms)


@given(st.lists(st.tuples(delays_ms, delays_ms, delays_ms), min_size=1), delays_ms)
def test_remote_time_is_always_within_the_bounds(calls, pause_ms):
    clock = RemoteClock()
    now_ms = 0.0
    for idle_ms, request_ms, response_ms in calls:
        now_ms += idle_ms
        read(clock, now_ms, request_ms, response_ms)
        now_ms += request_ms + response_ms
    now_ms += pause_ms
    remote_ms = now_ms + REMOTE_AHEAD_MS
    assert clock.earliest_ms(now_ms) <= remote_ms + 1e-6
    assert clock.latest_ms(now_ms) >= remote_ms - 1e-6


def test_a_response_that_is_read_late_does_not_widen_the_bounds():
    clock = RemoteClock()
    read(clock, 0.0, 2.0, 2.0)
    read(clock, 10.0, 2.0, 3000.0)
    assert clock.earliest_ms(3012.0) >= 3012.0 + REMOTE_AHEAD_MS - 10.0


def test_bounds_widen_with_time():
    clock = RemoteClock()
    read(clock, 0.0, 0.0, 0.0)
    spread_ms = clock.latest_ms(10_000.0) - clock.earliest_ms(10_000.0)
    assert spread_ms == pytest.approx(2 * MAX_DRIFT * 10_000.0)


def test_a_remote_clock_that_starts_anew_is_followed():
    clock = RemoteClock()
    read(clock, 0.0, 2.0, 2.0)
    clock.add_reading(100.0, 104.0, 5.0)
    assert (clock.earliest_ms(104.0), clock.latest_ms(104.0)) == (5.0, 9.0)


@pytest.mark.parametrize("rate", [0.999, 1.001], ids=["slower", "faster"])
def test_a_clock_that_drifts_as_much_as_clocks_may_stays_within_the_bounds(rate):
    clock = RemoteClock()
    now_ms = 0.0
    for _ in range(20):
        clock.add_reading(now_ms, now_ms + 4.0, rate * (now_ms + 2.0))
        now_ms += 10_000.0
        assert clock.earliest_ms(now_ms) <= rate * now_ms <= clock.latest_ms(now_ms)
