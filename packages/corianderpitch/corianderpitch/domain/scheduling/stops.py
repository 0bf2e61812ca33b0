"""Orders to stop runs, which are repeated until the end of the run is known."""

from corianderpitch.domain.scheduling.workers import RunKey

STOP_RETRY_MS = 500.0


class RecentStops:
    """The times of the last orders to stop runs, by the task and number of the run."""

    def __init__(self):
        self._sent_ms: dict[RunKey, float] = {}

    def note_if_due(self, run: RunKey, now_ms: float) -> bool:
        """Note an order to stop a run, unless there was one a short while ago."""
        if now_ms - self._sent_ms.get(run, -STOP_RETRY_MS) < STOP_RETRY_MS:
            return False
        self._sent_ms[run] = now_ms
        return True

    def forget(self, run: RunKey) -> None:
        """Forget a run that has ended."""
        self._sent_ms.pop(run, None)
