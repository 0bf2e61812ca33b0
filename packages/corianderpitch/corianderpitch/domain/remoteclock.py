"""Bounds of the time of a remote clock, from the times in its responses.

A response does not tell how long it was on its way, nor how long it waited until this
process read it. So a remote time is known only within bounds.
"""

MAX_DRIFT = 0.001  # by which one of the two clocks may run faster than the other


class RemoteClock:
    """Bounds of a remote steady clock, in milliseconds.

    A remote time that arrives in a response was read after the request was sent and
    before the response was read here. Each reading therefore bounds the difference of
    the two clocks from both sides. The tightest bounds of all readings are kept; they
    widen with time, as the clocks may drift apart.

    >>> clock = RemoteClock()
    >>> clock.add_reading(sent_ms=100.0, received_ms=110.0, remote_ms=5000.0)
    >>> clock.earliest_ms(110.0), clock.latest_ms(110.0)
    (5000.0, 5010.0)
    """

    def __init__(self):
        self._least_offset_ms = 0.0
        self._most_offset_ms = 0.0
        self._updated_ms: float | None = None

    @property
    def has_reading(self) -> bool:
        """Return whether the remote clock has been read at all."""
        return self._updated_ms is not None

    def add_reading(self, sent_ms: float, received_ms: float, remote_ms: float) -> None:
        """Add a reading that a request from ``sent_ms`` to ``received_ms`` returned."""
        least_ms = remote_ms - received_ms
        most_ms = remote_ms - sent_ms
        known_least_ms, known_most_ms = self._offsets_ms(received_ms)
        is_restarted = least_ms > known_most_ms or most_ms < known_least_ms
        if self.has_reading and not is_restarted:
            least_ms = max(least_ms, known_least_ms)
            most_ms = min(most_ms, known_most_ms)
        self._least_offset_ms = least_ms
        self._most_offset_ms = most_ms
        self._updated_ms = received_ms

    def earliest_ms(self, now_ms: float) -> float:
        """Return a time that the remote clock has reached by ``now_ms``."""
        return now_ms + self._offsets_ms(now_ms)[0]

    def latest_ms(self, now_ms: float) -> float:
        """Return a time that the remote clock has not passed at ``now_ms``."""
        return now_ms + self._offsets_ms(now_ms)[1]

    def _offsets_ms(self, now_ms: float) -> tuple[float, float]:
        if self._updated_ms is None:
            return 0.0, 0.0
        drift_ms = MAX_DRIFT * (now_ms - self._updated_ms)
        return self._least_offset_ms - drift_ms, self._most_offset_ms + drift_ms
