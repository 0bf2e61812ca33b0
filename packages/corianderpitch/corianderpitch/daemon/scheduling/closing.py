"""Rows that tell all entries which queues take no more of something.

A write that needs the room requires that no such row exists in its partition, so that
entries need not read anything to learn of it.
"""

import abc
from collections.abc import Set
from typing import Generic, TypeVar

from returns.result import Failure, Result, Success

from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.rows import (
    closed_key,
    queue_of,
    queue_partitions,
)
from corianderpitch.errors import PlatformError
from corianderpitch.ids import QueueName
from corianderpitch.ports import RowStore, Write

# A write without an answer may be made seconds later. Until then the rows are read
# again in each round: it is undone in the round after it is made.
ROUNDS_IN_DOUBT = 60

log = logger("admission")

Item = TypeVar("Item")


class ClosedItems(abc.ABC, Generic[Item]):
    """What is closed in one table, for all entries.

    Attributes
    ----------
    names : set
        What is closed, as far as it is known after ``read``.
    """

    def __init__(self, store: RowStore, role: RoleLease, table: str):
        self._store = store
        self._role = role
        self._table = table
        self._is_read = False
        self._rounds_in_doubt = 0
        self.names: set[Item] = set()

    def read(self) -> bool:
        """Read what is closed, unless it is known; return whether it is."""
        if self._is_read and not self._rounds_in_doubt:
            return True
        self._rounds_in_doubt = max(0, self._rounds_in_doubt - 1)
        match self._read_names():
            case Success(names):
                self.names = names
                self._is_read = True
                return True
        return False

    def update(self, wanted: Set[Item]) -> None:
        """Close and open items until exactly the wanted ones are closed."""
        for item in sorted(wanted ^ self.names):
            if not self._write(item, is_closed=item in wanted):
                return

    def _write(self, item: Item, is_closed: bool) -> bool:
        writes = self._writes(item, is_closed)
        match self._store.commit((self._role.partitioned_fence(),), writes):
            case Success(_):
                self.names = self.names ^ {item}
                self._log_change(item, is_closed)
                return True
            case Failure(error):
                self._is_read = False
                self._rounds_in_doubt = ROUNDS_IN_DOUBT
                log.warning("Could not close or open a queue.", cause=repr(error))
        return False

    @abc.abstractmethod
    def _read_names(self) -> Result[set[Item], PlatformError]:
        """Read what is closed from the store."""

    @abc.abstractmethod
    def _writes(self, item: Item, is_closed: bool) -> tuple[Write, ...]:
        """Return the writes that close an item, or open it."""

    @abc.abstractmethod
    def _log_change(self, item: Item, is_closed: bool) -> None:
        """Log that an item was closed or opened."""


class ClosedQueues(ClosedItems[QueueName]):
    """The queues that are closed in one table."""

    def _read_names(self) -> Result[set[QueueName], PlatformError]:
        parts = self._store.list_partitions(self._table)
        return parts.map(lambda names: {queue_of(part) for part in names})

    def _writes(self, item: QueueName, is_closed: bool) -> tuple[Write, ...]:
        value = b"" if is_closed else None
        keys = [closed_key(self._table, part) for part in queue_partitions(item)]
        return tuple(Write(key, value) for key in keys)

    def _log_change(self, item: QueueName, is_closed: bool) -> None:
        log.warning(
            "Queue closed." if is_closed else "Queue opened.",
            queue=item,
            table=self._table,
        )
