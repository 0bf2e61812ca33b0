"""Seeks the scheduler's role, and serves it while this entry holds it."""

from collections.abc import Callable

import eventlet

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.terms import SchedulerTerm
from corianderpitch.domain.scheduling.candidates import Standing

UNKNOWN_INTERVAL_MS = 200.0

log = logger("scheduler")


class SchedulerTask:
    """Serves the scheduler's role, one tenure after the other."""

    def __init__(
        self,
        role: RoleLease,
        new_term: Callable[[Callable[[], bool]], SchedulerTerm],
        clock: Clock,
        standing: Callable[[], Standing | None],
    ):
        self._role = role
        self._new_term = new_term
        self._clock = clock
        self._standing = standing
        self.term: SchedulerTerm | None = None
        self._is_leaving = False

    def run(self) -> None:
        """Seek and serve the role until told to leave.

        An entry without a standing cannot serve yet.
        """
        while not self._is_leaving:
            standing = self._standing()
            if standing is None:
                eventlet.sleep(UNKNOWN_INTERVAL_MS / 1000.0)
                continue
            if self._role.seek(standing.patience_ms):
                self._serve()
            eventlet.sleep(standing.interval_ms / 1000.0)

    def _is_outclassed(self) -> bool:
        """Tell whether a candidate with much more room has come since."""
        standing = self._standing()
        return standing is not None and standing.larger_sent_ms > self._role.taken_ms

    def _serve(self) -> None:
        self.term = self._new_term(self._is_outclassed)
        log.info(
            "Tenure begins.",
            term=self.term.scheduler.term.number,
            version=self.term.scheduler.term.version,
        )
        try:
            self.term.run()
        finally:
            self.term = None
            self._give_up()

    def _give_up(self) -> None:
        """Give the role up if it is still held.

        A tenure never begins twice: run numbers and fences would start anew.
        """
        if self._role.is_held:
            self._role.release()

    def leave(self) -> None:
        """Stop serving and give the role up, so that a successor need not wait."""
        self._is_leaving = True
        if self.term is not None:
            self.term.stop()
        self._give_up()
