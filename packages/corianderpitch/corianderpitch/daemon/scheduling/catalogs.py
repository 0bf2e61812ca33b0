"""Follows the configuration and the waves that operators have written."""

import eventlet
from returns.result import Failure, Success

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

log = logger("catalog")


class CatalogTask:
    """Keeps the newest configuration and all waves; runs in every entry.

    A configuration is never replaced by one with a lower version.
    """

    def __init__(self, rows: OperatorRows):
        self._rows = rows
        self.catalog: Catalog | None = None
        self.waves: dict[int, WaveOrder] = {}
        self._version = 0
        self._is_read = False

    def run(self) -> None:
        """Follow the operators' rows until the thread is killed."""
        while True:
            if self._is_read:
                changes = self._rows.follow(self._version, FOLLOW_WAIT_MS)
            else:
                changes = self._rows.read()
            match changes:
                case Success(new):
                    self._apply_changes(new)
                case Failure(HistoryLost()):
                    log.warning("History truncated; reloading the operators' rows.")
                    self._is_read = False
                case Failure(error):
                    log.debug("Could not follow operators' rows.", cause=repr(error))
                    eventlet.sleep(RETRY_S)

    def _apply_changes(self, changes: OperatorChanges) -> None:
        self._is_read = True
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
            at=changes.version,
        )
