"""Log entries about rows that cannot be read, one for each row and cause."""

from corianderpitch.daemon.logs import logger
from corianderpitch.errors import MalformedData
from corianderpitch.ports import RowKey

MAX_REMEMBERED = 1000

log = logger("refusals")


class RefusalLog:
    """Logs that a row was passed over, but not again at its next reading.

    A row whose contents are malformed in the same way again counts as logged, so
    that a writer that repeats its mistake does not fill the log.
    """

    def __init__(self):
        self._logged: set[tuple[RowKey, str]] = set()

    def record(self, key: RowKey, error: MalformedData) -> None:
        """Log that the row ``key`` was passed over, unless this was logged before."""
        entry = (key, str(error))
        if entry in self._logged:
            return
        if len(self._logged) >= MAX_REMEMBERED:
            self._logged.clear()
        self._logged.add(entry)
        log.warning("Malformed row passed over.", row=key, cause=str(error))
