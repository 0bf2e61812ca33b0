"""Circuit breaker: calls to a dependency that does not answer are not made.

The load it answers: a store that is silent for seconds, while callers go on
handing jobs in. Each would wait for its own timeout and learn that the outcome is
unknown. While the breaker is open a caller is told at once, and truly, that
nothing was done; one call after each rest finds out whether the dependency is back.
"""

FAILURES_TO_OPEN = 2
REST_MS = 250.0


class Breaker:
    """Opens after failures in a row, and closes with the first success.

    >>> breaker = Breaker()
    >>> breaker.fail(0.0), breaker.fail(1.0)
    (None, None)
    >>> breaker.allows(2.0), breaker.allows(260.0), breaker.allows(261.0)
    (False, True, False)
    >>> breaker.succeed()
    >>> breaker.allows(262.0)
    True
    """

    def __init__(self):
        self._failures = 0
        self._next_probe_ms = 0.0

    @property
    def is_open(self) -> bool:
        """Tell whether calls are held back, but for a probe now and then."""
        return self._failures >= FAILURES_TO_OPEN

    def allows(self, now_ms: float) -> bool:
        """Tell whether a call may be made now; a probe is granted once a rest."""
        if not self.is_open:
            return True
        if now_ms < self._next_probe_ms:
            return False
        self._next_probe_ms = now_ms + REST_MS
        return True

    def succeed(self) -> None:
        """Note a call that was answered."""
        self._failures = 0

    def fail(self, now_ms: float) -> None:
        """Note a call that was not answered, or refused for trouble over there."""
        self._failures += 1
        if self.is_open:
            self._next_probe_ms = now_ms + REST_MS
