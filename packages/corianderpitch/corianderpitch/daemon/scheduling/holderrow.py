"""A row of the store that only the holder of a role can write."""

from returns.result import Failure, Result, Success

from corianderpitch.daemon.roles import RoleLease
from corianderpitch.errors import CommitError, PlatformError, RowConflict
from corianderpitch.ports import Check, PartitionedKey, RowStore, Write


class FencedRow:
    """Reads and writes one row under a role's fencing check.

    Each write requires the version of the row that was read or written last. The
    store may apply a write whose answer was lost seconds later; the check keeps it
    from overwriting a newer write.
    """

    def __init__(self, store: RowStore, role: RoleLease, key: PartitionedKey):
        self._store = store
        self._role = role
        self._key = key
        self._version: int | None = None

    def read(self) -> Result[bytes | None, PlatformError]:
        """Return the row's value, ``None`` if there is no such row."""
        key = self._key
        result = self._store.read(key.table, key.part, key.name, key.name + "/")
        match result:
            case Success(snapshot):
                rows = [row for row in snapshot.rows if row.key == key]
                self._version = rows[0].version if rows else 0
                return Success(rows[0].value if rows else None)
        return result

    def write(
        self,
        value: bytes,
        checks: tuple[Check, ...] = (),
        writes: tuple[Write, ...] = (),
    ) -> Result[int, CommitError | PlatformError]:
        """Write the row if its version has not changed and the role is still held.

        Parameters
        ----------
        value : bytes
            The new value of the row.
        checks, writes : tuple
            Checks and writes of other rows, made in the same transaction.

        Returns
        -------
        Result
            The new version of the row, or the error of the commit. After a conflict
            the row is read again, so that the next write can succeed.
        """
        if self._version is None:
            match self.read():
                case Failure(_) as failure:
                    return failure
        own = (self._role.partitioned_fence(), Check(self._key, self._version))
        result = self._store.commit((*own, *checks), (Write(self._key, value), *writes))
        match result:
            case Success(version):
                self._version = version
            case Failure(RowConflict()):
                self.read()
        return result
