"""Circuit breaker: holds back calls to a dependency that does not answer.

It protects callers from a store that is silent for seconds while they go on
submitting jobs. Without the breaker each call would wait for its own timeout and end
with an unknown outcome. While the breaker is open, a caller gets an error at once and
can rely on it that nothing was done. One call per ``PROBE_INTERVAL_MS`` is let through
to find out whether the dependency is back.
"""

FAILURES_TO_OPEN = 2
PROBE_INTERVAL_MS = 250.0


class CircuitBreaker:
    """Opens after ``FAILURES_TO_OPEN`` failures in a row; one success closes it.

    >>> breaker = CircuitBreaker()
    >>> breaker.record_failure(0.0), breaker.record_failure(1.0)
    (None, None)
    >>> [breaker.allows_call(now_ms) for now_ms in (2.0, 260.0, 261.0)]
    [False, True, False]
    >>> breaker.record_success()
    >>> breaker.allows_call(262.0)
    True
    """

    def __init__(self):
        self._failures = 0
        self._next_probe_ms = 0.0

    @property
    def is_open(self) -> bool:
        """Tell whether calls are held back, except for probes."""
        return self._failures >= FAILURES_TO_OPEN

    def allows_call(self, now_ms: float) -> bool:
        """Tell whether a call may be made now.

        While the breaker is open, one call per ``PROBE_INTERVAL_MS`` is allowed as a
        probe. Asking counts as making that call.
        """
        if not self.is_open:
            return True
        if now_ms < self._next_probe_ms:
            return False
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        return True

    def record_success(self) -> None:
        """Record a call that was answered."""
        self._failures = 0

    def record_failure(self, now_ms: float) -> None:
        """Record a call without an answer, or refused for trouble at the dependency."""
        self._failures += 1
        if self.is_open:
            self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
