"""Reports to operators on the progress of maintenance waves."""

from returns.result import Failure, Success

from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.holderrow import FencedRow
from corianderpitch.ports import OperatorRows, RowStore

log = logger("maintenance")


class WaveReports:
    """Writes whether each wave is completed, as the holder of the role.

    A report that the store applies late, or that is sent by an entry that no longer
    holds the role, does not replace a newer one.
    """

    def __init__(self, store: RowStore, role: RoleLease, operators: OperatorRows):
        self._store = store
        self._role = role
        self._operators = operators
        self._rows: dict[int, FencedRow] = {}
        self._reported: dict[int, bool] = {}

    def report(self, wave: int, is_completed: bool) -> bool:
        """Report a wave unless that was done; returns whether it is reported."""
        if self._reported.get(wave) == is_completed:
            return True
        status = self._operators.wave_status(wave, is_completed)
        if wave not in self._rows:
            self._rows[wave] = FencedRow(self._store, self._role, status.key)
        match self._rows[wave].write(status.value):
            case Success(_):
                self._reported[wave] = is_completed
                return True
            case Failure(error):
                log.warning("Could not report a wave.", wave=wave, cause=repr(error))
        return False
