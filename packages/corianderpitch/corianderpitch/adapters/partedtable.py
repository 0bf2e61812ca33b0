"""A flat table service in a store that has tables and partitions.

The first word of a key names the table, the rest the row; all rows are in the
empty partition.
"""

from collections.abc import Mapping

from returns.result import Result, Success

from corianderpitch.errors import CommitError, PlatformError
from corianderpitch.ports import (
    Check,
    Row,
    RowStore,
    TableService,
    Write,
    parted_key,
)

AFTER_NAME = "\0"  # sorts directly behind a name


class PartedTable(TableService):
    """Maps keys like ``role/manager/epoch`` to rows of the table ``role``."""

    def __init__(self, store: RowStore):
        self._store = store

    def read(self, known: Mapping[str, int]) -> Result[dict[str, Row], PlatformError]:
        """Read several rows, with one call for each table that they are in."""
        by_table: dict[str, list[str]] = {}
        for key in known:
            parted = parted_key(key)
            by_table.setdefault(parted.table, []).append(parted.name)
        found: dict[str, Row] = {}
        for table, names in by_table.items():
            rows = self._store.read(table, "", min(names), max(names) + AFTER_NAME)
            if not isinstance(rows, Success):
                return rows
            for row in rows.unwrap().rows:
                key = f"{table}/{row.key.name}"
                if key in known and known[key] != row.version:
                    found[key] = Row(key, row.version, row.value)
        return Success(found)

    def scan(self, prefix: str) -> Result[list[Row], PlatformError]:
        """Read the rows under a prefix, in key order."""
        parted = parted_key(prefix)
        rows = self._store.read(parted.table, "", parted.name)
        return rows.map(
            lambda snapshot: [
                Row(f"{parted.table}/{row.key.name}", row.version, row.value)
                for row in snapshot.rows
                if row.key.name.startswith(parted.name)
            ]
        )

    def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Result[dict[str, int], CommitError]:
        """Write all rows if every check holds; returns the new versions."""
        version = self._store.commit(
            tuple(Check(parted_key(check.key), check.version) for check in checks),
            tuple(Write(parted_key(write.key), write.value) for write in writes),
        )
        return version.map(lambda at: {write.key: at for write in writes})
