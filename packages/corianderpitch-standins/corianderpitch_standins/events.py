"""Queue of timed events for the models."""

import heapq
import itertools
from collections.abc import Callable


class EventQueue:
    """Runs functions in the order of their times, in milliseconds."""

    def __init__(self):
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.now_ms = 0.0

    def after(self, delay_ms: float, event: Callable[[], None]) -> None:
        """Run a function when some time has passed."""
        entry = (self.now_ms + delay_ms, next(self._sequence), event)
        heapq.heappush(self._heap, entry)

    def run(self) -> None:
        """Run until nothing is left."""
        while self._heap:
            self.now_ms, _, event = heapq.heappop(self._heap)
            event()
