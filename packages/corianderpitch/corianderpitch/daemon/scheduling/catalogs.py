"""Follows the configuration and the waves that operators have written."""

import math

import eventlet
from eventlet.semaphore import Semaphore
from returns.result import Failure, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.domain.scheduling.catalog import (
    Catalog,
    OperatorChanges,
    WaveOrder,
)
from corianderpitch.errors import HistoryLost
from corianderpitch.ports import OperatorRows

FOLLOW_WAIT_MS = 1000  # limits the time to detect a dead connection
RETRY_S = 0.1
CONFIRM_RETRY_MS = 500.0  # between look-ups while the operators' rows cannot be read

log = logger("catalog")


class CatalogTask:
    """Keeps the newest configuration and all waves; runs in every entry.

    A configuration is never replaced by one with a lower version.
    """

    def __init__(self, rows: OperatorRows, clock: Clock):
        self._rows = rows
        self._clock = clock
        self.catalog: Catalog | None = None
        self.waves: dict[int, WaveOrder] = {}
        self._version = 0
        self._is_read = False
        self._confirmed_ms = -math.inf
        self._confirm_lock = Semaphore()
        self._next_confirm_ms = 0.0

    def run(self) -> None:
        """Follow the operators' rows until the thread is killed."""
        while True:
            asked_ms = self._clock.now_ms()
            if self._is_read:
                changes = self._rows.follow(self._version, FOLLOW_WAIT_MS)
            else:
                changes = self._rows.read()
            match changes:
                case Success(new):
                    self._apply_changes(new, asked_ms)
                case Failure(HistoryLost()):
                    log.warning("History truncated; reloading the operators' rows.")
                    self._is_read = False
                case Failure(error):
                    log.debug("Could not follow operators' rows.", cause=repr(error))
                    eventlet.sleep(RETRY_S)

    def confirm(self, max_age_ms: float) -> bool:
        """Return whether the configuration was in force at most ``max_age_ms`` ago.

        The operators' rows are read if that is not known. There is one such read at a
        time, and none soon after one that failed.
        """
        with self._confirm_lock:
            now_ms = self._clock.now_ms()
            if self._confirmed_ms >= now_ms - max_age_ms:
                return True
            if now_ms < self._next_confirm_ms:
                return False
            match self._rows.read():
                case Success(rows):
                    self._apply_changes(rows, now_ms)
                    return True
            self._next_confirm_ms = self._clock.now_ms() + CONFIRM_RETRY_MS
            return False

    def _apply_changes(self, changes: OperatorChanges, asked_ms: float) -> None:
        """Apply rows that the store has answered after ``asked_ms``."""
        self._is_read = True
        self._confirmed_ms = max(asked_ms, self._confirmed_ms)
        self._version = max(self._version, changes.version)
        for wave in changes.waves:
            self.waves[wave.number] = wave
        catalog = changes.catalog
        if catalog is None:
            return
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return
        self.catalog = catalog
        log.info(
            "Configuration in force.",
            version=catalog.version,
            queues=len(catalog.queues),
            teams=len(catalog.teams),
            at=changes.version,
        )
