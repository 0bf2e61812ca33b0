"""Table service with flat keys, on a store that has tables and partitions.

The part of a key before its first slash names the table, the rest the row. All rows
are in the partition with the empty name.
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
    partitioned_key,
)

NEXT_NAME_SUFFIX = "\0"  # a name with this suffix is the next one in sort order


class PartitionedTable(TableService):
    """Stores a key like ``role/manager/epoch`` as a row of the table ``role``."""

    def __init__(self, store: RowStore):
        self._store = store

    def read(
        self, known_versions: Mapping[str, int]
    ) -> Result[dict[str, Row], PlatformError]:
        """Read several rows, with one call for each table that they are in."""
        names_by_table: dict[str, list[str]] = {}
        for key in known_versions:
            row_key = partitioned_key(key)
            names_by_table.setdefault(row_key.table, []).append(row_key.name)
        changed: dict[str, Row] = {}
        for table, names in names_by_table.items():
            result = self._store.read(
                table, "", min(names), max(names) + NEXT_NAME_SUFFIX
            )
            if not isinstance(result, Success):
                return result
            for row in result.unwrap().rows:
                key = f"{table}/{row.key.name}"
                if key in known_versions and known_versions[key] != row.version:
                    changed[key] = Row(key, row.version, row.value)
        return Success(changed)

    def scan(self, prefix: str) -> Result[list[Row], PlatformError]:
        """Read the rows whose keys start with ``prefix``, in key order."""
        start = partitioned_key(prefix)
        result = self._store.read(start.table, "", start.name)
        return result.map(
            lambda snapshot: [
                Row(f"{start.table}/{row.key.name}", row.version, row.value)
                for row in snapshot.rows
                if row.key.name.startswith(start.name)
            ]
        )

    def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Result[dict[str, int], CommitError]:
        """Write all rows if every check holds, and return their new versions."""
        result = self._store.commit(
            tuple(Check(partitioned_key(check.key), check.version) for check in checks),
            tuple(Write(partitioned_key(write.key), write.value) for write in writes),
        )
        return result.map(
            lambda new_version: {write.key: new_version for write in writes}
        )
