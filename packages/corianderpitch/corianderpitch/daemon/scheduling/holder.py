"""Seeks the scheduler's role, and serves it while this entry holds it."""

from collections.abc import Callable

import eventlet

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.terms import SchedulerTerm

SEEK_INTERVAL_MS = 400.0

log = logger("scheduler")


class SchedulerTask:
    """Serves the scheduler's role, one tenure after the other."""

    def __init__(
        self,
        role: RoleLease,
        new_term: Callable[[], SchedulerTerm],
        clock: Clock,
        is_able: Callable[[], bool],
    ):
        self._role = role
        self._new_term = new_term
        self._clock = clock
        self._is_able = is_able
        self.term: SchedulerTerm | None = None
        self._is_leaving = False

    def run(self) -> None:
        """Seek and serve the role until told to leave."""
        while not self._is_leaving:
            if self._is_able() and self._role.seek():
                self._serve()
            eventlet.sleep(SEEK_INTERVAL_MS / 1000.0)

    def _serve(self) -> None:
        self.term = self._new_term()
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
