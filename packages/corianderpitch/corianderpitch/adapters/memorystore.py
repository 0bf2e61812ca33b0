"""In-memory store of rows in tables and partitions, for tests and stand-ins."""

import eventlet
from eventlet.event import Event
from returns.result import Failure, Result, Success

from corianderpitch.clock import Clock
from corianderpitch.errors import (
    CommitError,
    HistoryLost,
    PlatformError,
    RowConflict,
)
from corianderpitch.ports import (
    Changes,
    Check,
    PartitionedKey,
    Row,
    RowStore,
    Snapshot,
    Write,
)


class MemoryRowStore(RowStore):
    """Rows held in memory, with the version of each row's last change."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._rows: dict[PartitionedKey, Row] = {}
        self._change_versions: dict[PartitionedKey, int] = {}
        self._version = 0
        self._history_start = 0
        self._changed_event = Event()

    def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[Snapshot, PlatformError]:
        """Read the rows of a partition, in the order of their names."""
        rows = [
            row
            for key, row in sorted(self._rows.items())
            if (key.table, key.part) == (table, part)
            and key.name >= first
            and (not end or key.name < end)
        ]
        return Success(Snapshot(tuple(rows), self._version))

    def list_partitions(self, table: str) -> Result[tuple[str, ...], PlatformError]:
        """Return the partitions of a table."""
        parts = {key.part for key in self._rows if key.table == table}
        return Success(tuple(sorted(parts)))

    def follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Changes, PlatformError | HistoryLost]:
        """Return the changes to a table after version ``after``."""
        if after < self._history_start:
            return Failure(HistoryLost())
        changes = self._changes(table, after)
        if changes.rows or changes.deleted or wait_ms <= 0:
            return Success(changes)
        started_ms = self._clock.now_ms()
        with eventlet.Timeout(wait_ms / 1000.0, False):
            self._changed_event.wait()
        waited_ms = self._clock.now_ms() - started_ms
        return self.follow(table, after, int(wait_ms - waited_ms))

    def _changes(self, table: str, after: int) -> Changes:
        changed = sorted(
            (version, key)
            for key, version in self._change_versions.items()
            if key.table == table and version > after
        )
        rows = tuple(self._rows[key] for _, key in changed if key in self._rows)
        deleted = tuple(key for _, key in changed if key not in self._rows)
        return Changes(rows, deleted, self._version)

    def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Result[int, CommitError]:
        """Write all rows if every check holds."""
        for check in checks:
            row = self._rows.get(check.key)
            if (row.version if row is not None else 0) != check.version:
                return Failure(RowConflict((check.key.name,)))
        self._version += 1
        for write in writes:
            self._change_versions[write.key] = self._version
            if write.value is None:
                self._rows.pop(write.key, None)
            else:
                self._rows[write.key] = Row(write.key, self._version, write.value)
        event, self._changed_event = self._changed_event, Event()
        event.send()
        return Success(self._version)

    def truncate_history(self) -> None:
        """Discard the change history, as a store may do at any time."""
        self._history_start = self._version

    def latest_time_ms(self) -> float:
        """Return the time of the store's clock, which is known exactly."""
        return self.time_ms()

    def time_ms(self) -> float:
        """Return the time of the clock, which all users of the store share."""
        return self._clock.now_ms()

    @property
    def last_answered_ms(self) -> float | None:
        """Return the current time, because this store always answers."""
        return self._clock.now_ms()
