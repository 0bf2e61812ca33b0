"""In-memory twin of a store of rows in tables and partitions."""

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
    PartedKey,
    Row,
    RowStore,
    Snapshot,
    Write,
)


class MemoryRowStore(RowStore):
    """Rows in memory, with the history of their changes."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._rows: dict[PartedKey, Row] = {}
        self._changed: dict[PartedKey, int] = {}
        self._version = 0
        self._history_from = 0
        self._event = Event()

    def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[Snapshot, PlatformError]:
        """Read the rows of a partition, in the order of their names."""
        found = [
            row
            for key, row in sorted(self._rows.items())
            if (key.table, key.part) == (table, part)
            and key.name >= first
            and (not end or key.name < end)
        ]
        return Success(Snapshot(tuple(found), self._version))

    def list_parts(self, table: str) -> Result[tuple[str, ...], PlatformError]:
        """Return the partitions of a table."""
        parts = {key.part for key in self._rows if key.table == table}
        return Success(tuple(sorted(parts)))

    def follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Changes, PlatformError | HistoryLost]:
        """Return what has changed in a table."""
        if after < self._history_from:
            return Failure(HistoryLost())
        changes = self._changes(table, after)
        if changes.rows or changes.deleted or wait_ms <= 0:
            return Success(changes)
        started_ms = self._clock.now_ms()
        with eventlet.Timeout(wait_ms / 1000.0, False):
            self._event.wait()
        waited_ms = self._clock.now_ms() - started_ms
        return self.follow(table, after, int(wait_ms - waited_ms))

    def _changes(self, table: str, after: int) -> Changes:
        changed = sorted(
            (version, key)
            for key, version in self._changed.items()
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
            self._changed[write.key] = self._version
            if write.value is None:
                self._rows.pop(write.key, None)
            else:
                self._rows[write.key] = Row(write.key, self._version, write.value)
        event, self._event = self._event, Event()
        event.send()
        return Success(self._version)

    def forget_history(self) -> None:
        """Drop the history, as a store may do at any time."""
        self._history_from = self._version

    def time_ms(self) -> float:
        """Return the clock that all share."""
        return self._clock.now_ms()

    @property
    def answered_ms(self) -> float | None:
        """Return the time of the last answer, which is now."""
        return self._clock.now_ms()
