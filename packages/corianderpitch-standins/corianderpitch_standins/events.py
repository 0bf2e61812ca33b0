"""Event queue for the discrete-event simulations."""

import heapq
import itertools
from collections.abc import Callable


class EventQueue:
    """Runs functions in the order of their simulated times.

    ``now_ms`` is the simulated time in milliseconds. Functions with the same time
    run in the order in which they were scheduled.
    """

    def __init__(self):
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.now_ms = 0.0

    def schedule(self, delay_ms: float, event: Callable[[], None]) -> None:
        """Schedule a function to run ``delay_ms`` after the current simulated time."""
        entry = (self.now_ms + delay_ms, next(self._sequence), event)
        heapq.heappush(self._heap, entry)

    def run(self) -> None:
        """Run events until the queue is empty, including those that events schedule."""
        while self._heap:
            self.now_ms, _, event = heapq.heappop(self._heap)
            event()
