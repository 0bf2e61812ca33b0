"""Cancel rows of jobs that are not stored, during a term (see ``cancelling``).

Callers choose how many there are. Each is kept for a limited time, and once there are
too many of them, the queues with the most take no more until some are deleted.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from returns.result import Failure, Success

from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.closing import ClosedQueues
from corianderpitch.daemon.scheduling.rows import (
    EARLY_CANCELS_TABLE,
    JOBS_TABLE,
    RANGE_END,
    job_id_of,
    job_key,
    queue_of,
    unpack_cancellation,
)
from corianderpitch.domain.scheduling.admission import REOPEN_SHARE, largest_queues
from corianderpitch.errors import MalformedData, RowConflict
from corianderpitch.ids import JobId, QueueName
from corianderpitch.ports import Check, Row, RowStore, Write

MAX_ROWS = 20_000  # two a cancellation, some 500 bytes each in a holder's memory
MAX_ROWS_PER_COMMIT = 32  # three entries each, of 100 in a transaction

log = logger("cleanup")


class EarlyCancels:
    """Keeps the early cancellations of a term, and deletes the old ones.

    ``keep_ms`` is the time in which a submission may come after its cancellation.
    """

    def __init__(
        self,
        store: RowStore,
        role: RoleLease,
        keep_ms: float,
        max_rows: int = MAX_ROWS,
    ):
        self._store = store
        self._role = role
        self._keep_ms = keep_ms
        self._max_rows = max_rows
        self._rows: dict[JobId, dict[str, tuple[Row, float]]] = {}
        self._counts: Counter[QueueName] = Counter()
        self._closed = ClosedQueues(store, role, EARLY_CANCELS_TABLE)

    def keep(self, row: Row) -> None:
        """Keep a cancel row whose job is not stored.

        One that does not tell when it was written is taken for new.
        """
        try:
            written_ms = unpack_cancellation(row.value).time_ms
        except MalformedData:
            written_ms = self._store.time_ms()
        by_part = self._rows.setdefault(job_id_of(row.key), {})
        if row.key.part not in by_part:
            self._counts[queue_of(row.key.part)] += 1
        by_part[row.key.part] = (row, written_ms)

    def pop(self, job_id: JobId) -> list[Row]:
        """Return the cancel rows of a job that is stored now, and forget them."""
        by_part = self._rows.pop(job_id, {})
        for part in by_part:
            self._counts[queue_of(part)] -= 1
        return [row for row, _ in by_part.values()]

    def run_once(self) -> None:
        """Delete old rows, and tell the entries which queues take no more."""
        self._delete_old()
        if self._closed.read():
            used = self._counts.total()
            share = REOPEN_SHARE if self._closed.names else 1.0
            is_crowded = used >= share * self._max_rows
            wanted = largest_queues(+self._counts) if is_crowded else set()
            self._closed.update(wanted)

    def _delete_old(self) -> None:
        """Delete the rows before the first one that is still kept.

        They are in the order in which they were read, which is about that of their age.
        """
        oldest_ms = self._store.time_ms() - self._keep_ms
        by_part: dict[str, list[Row]] = defaultdict(list)
        for rows in self._rows.values():
            if any(written_ms >= oldest_ms for _, written_ms in rows.values()):
                break
            for part, (row, _) in rows.items():
                by_part[part].append(row)
        for rows in by_part.values():
            for start in range(0, len(rows), MAX_ROWS_PER_COMMIT):
                if not self._delete(rows[start : start + MAX_ROWS_PER_COMMIT]):
                    break

    def _delete(self, rows: Sequence[Row]) -> bool:
        """Delete cancel rows unless their jobs were stored; return whether that worked.

        After a conflict each row is tried by itself. One whose job was stored is kept
        until the holder reads that job.
        """
        checks = [self._role.partitioned_fence()]
        for row in rows:
            checks.append(Check(row.key, row.version))
            checks.append(Check(job_key(row.key.part, job_id_of(row.key)), 0))
        writes = tuple(Write(row.key, None) for row in rows)
        match self._store.commit(tuple(checks), writes):
            case Success(_):
                self._forget(rows)
                log.info("Old cancellations deleted.", rows=len(rows))
                return True
            case Failure(RowConflict()) if len(rows) > 1:
                return all([self._delete([row]) for row in rows])
            case Failure(RowConflict()):
                return self._read_again(rows[0])
            case Failure(error):
                log.debug("Could not delete cancellations.", cause=repr(error))
        return False

    def _read_again(self, row: Row) -> bool:
        """Forget a row that is gone, as after a deletion without an answer."""
        name = row.key.name
        match self._store.read(JOBS_TABLE, row.key.part, name, name + RANGE_END):
            case Success(snapshot):
                if not snapshot.rows:
                    self._forget([row])
                return True
        return False

    def _forget(self, rows: Iterable[Row]) -> None:
        for row in rows:
            job_id = job_id_of(row.key)
            by_part = self._rows.get(job_id, {})
            if by_part.pop(row.key.part, None) is not None:
                self._counts[queue_of(row.key.part)] -= 1
            if not by_part:
                self._rows.pop(job_id, None)
