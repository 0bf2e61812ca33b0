"""``PlatformStore``: what it knows of the store's time."""

from corianderpitch.clock import ManualClock
from corianderpitch_platform.http import Response
from corianderpitch_platform.store import PlatformStore

STORE_AHEAD_MS = 70_000.0


class LateAnswers:
    """Answers each call with the store's time, read by the caller after a delay."""

    def __init__(self, clock):
        self.clock = clock
        self.read_after_ms = 4.0

    def call(self, *arguments, **options):
        store_ms = self.clock.now_ms() + STORE_AHEAD_MS
        self.clock.advance(self.read_after_ms)
        return Response(200, {"rows": [], "row_version": 1, "now_ms": store_ms})


def test_the_time_does_not_fall_back_when_an_answer_is_read_late():
    clock = ManualClock(1000.0)
    store = PlatformStore("127.0.0.1:1", clock)
    store._client = answers = LateAnswers(clock)
    store.read("jobs", "")
    answers.read_after_ms = 2500.0
    store.read("jobs", "")
    true_ms = clock.now_ms() + STORE_AHEAD_MS
    assert true_ms - 50.0 <= store.time_ms() <= true_ms
    assert true_ms <= store.latest_time_ms() <= true_ms + 50.0
