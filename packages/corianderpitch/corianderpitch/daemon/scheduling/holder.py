"""Acquires the scheduler's role and serves it while this entry holds it."""

from collections.abc import Callable

import eventlet

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.terms import SchedulerTerm
from corianderpitch.domain.scheduling.candidates import ElectionPriority

NO_PRIORITY_RETRY_MS = 200.0

log = logger("scheduler")


class SchedulerTask:
    """Serves the scheduler's role, one term after the other."""

    def __init__(
        self,
        role: RoleLease,
        create_term: Callable[[Callable[[], bool]], SchedulerTerm],
        clock: Clock,
        election_priority: Callable[[], ElectionPriority | None],
    ):
        self._role = role
        self._create_term = create_term
        self._clock = clock
        self._election_priority = election_priority
        self.term: SchedulerTerm | None = None
        self._is_resigning = False

    def run(self) -> None:
        """Acquire and serve the role until ``resign`` is called.

        An entry has no election priority until it has read the configuration and the
        rows of the other candidates. Until then it does not try to acquire the role.
        """
        while not self._is_resigning:
            priority = self._election_priority()
            if priority is None:
                eventlet.sleep(NO_PRIORITY_RETRY_MS / 1000.0)
                continue
            if self._role.try_acquire(priority.extra_wait_ms):
                self._serve_unless_resigning()
            eventlet.sleep(priority.interval_ms / 1000.0)

    def _has_larger_candidate(self) -> bool:
        """Tell whether a much larger candidate has renewed its row in this term."""
        priority = self._election_priority()
        return (
            priority is not None
            and priority.larger_candidate_sent_ms > self._role.acquired_ms
        )

    def _serve_unless_resigning(self) -> None:
        """Serve a term, or release the role if ``resign`` was called meanwhile."""
        if self._is_resigning:
            self._release_role()
        else:
            self._serve_term()

    def _serve_term(self) -> None:
        self.term = self._create_term(self._has_larger_candidate)
        log.info(
            "Term begins.",
            term=self.term.scheduler.term.number,
            version=self.term.scheduler.term.version,
        )
        try:
            self.term.run()
        finally:
            self.term = None
            self._release_role()

    def _release_role(self) -> None:
        """Release the role if it is still held.

        The next term then has a new epoch. A second term within one epoch would
        repeat the run numbers and fence numbers of the first.
        """
        if self._role.is_held:
            self._role.release()

    def resign(self) -> None:
        """Stop serving and release the role, so that a successor need not wait."""
        self._is_resigning = True
        if self.term is not None:
            self.term.stop()
        self._release_role()
