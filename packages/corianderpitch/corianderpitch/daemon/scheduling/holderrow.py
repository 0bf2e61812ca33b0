"""A row of the store that only the holder of a role writes."""

from returns.result import Failure, Result, Success

from corianderpitch.daemon.roles import RoleLease
from corianderpitch.errors import CommitError, PlatformError, RowConflict
from corianderpitch.ports import Check, PartedKey, RowStore, Write


class HolderRow:
    """Reads and writes one row under a role's fence.

    Each write is conditional on the version that was seen last: one whose answer was
    lost may be carried out seconds later, and must not undo a newer one.
    """

    def __init__(self, store: RowStore, role: RoleLease, key: PartedKey):
        self._store = store
        self._role = role
        self._key = key
        self._version: int | None = None

    def read(self) -> Result[bytes | None, PlatformError]:
        """Return the row's value, ``None`` if there is no such row."""
        key = self._key
        found = self._store.read(key.table, key.part, key.name, key.name + "/")
        match found:
            case Success(snapshot):
                rows = [row for row in snapshot.rows if row.key == key]
                self._version = rows[0].version if rows else 0
                return Success(rows[0].value if rows else None)
        return found

    def write(
        self,
        value: bytes,
        checks: tuple[Check, ...] = (),
        writes: tuple[Write, ...] = (),
    ) -> Result[int, CommitError | PlatformError]:
        """Write the row if nothing has changed since it was seen last.

        ``checks`` and ``writes`` of other rows become part of the transaction.
        After a conflict the row is read again, so that the next write can succeed.
        """
        if self._version is None:
            match self.read():
                case Failure(_) as failure:
                    return failure
        own = (self._role.parted_fence(), Check(self._key, self._version))
        result = self._store.commit((*own, *checks), (Write(self._key, value), *writes))
        match result:
            case Success(version):
                self._version = version
            case Failure(RowConflict()):
                self.read()
        return result
