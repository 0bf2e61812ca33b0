"""Rows that tell all entries which queues take no more of something.

A write that needs the room requires that no such row exists in its partition, so that
entries need not read anything to learn of it.
"""

from collections.abc import Set

from returns.result import Failure, Success

from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.rows import (
    closed_key,
    queue_of,
    queue_partitions,
)
from corianderpitch.ids import QueueName
from corianderpitch.ports import RowStore, Write

# A write without an answer may be made seconds later. Until then the rows are read
# again in each round: it is undone in the round after it is made.
ROUNDS_IN_DOUBT = 60

log = logger("admission")


class ClosedQueues:
    """The queues that are closed in one table, for all entries.

    Attributes
    ----------
    names : set of QueueName
        The closed queues, as far as they are known after ``read``.
    """

    def __init__(self, store: RowStore, role: RoleLease, table: str):
        self._store = store
        self._role = role
        self._table = table
        self._is_read = False
        self._rounds_in_doubt = 0
        self.names: set[QueueName] = set()

    def read(self) -> bool:
        """Read which queues are closed, unless it is known; return whether it is."""
        if self._is_read and not self._rounds_in_doubt:
            return True
        self._rounds_in_doubt = max(0, self._rounds_in_doubt - 1)
        match self._store.list_partitions(self._table):
            case Success(parts):
                self.names = {queue_of(part) for part in parts}
                self._is_read = True
                return True
        return False

    def update(self, wanted: Set[QueueName]) -> None:
        """Close and open queues until exactly the wanted ones are closed."""
        for queue in sorted(wanted ^ self.names):
            if not self._write(queue, is_closed=queue in wanted):
                return

    def _write(self, queue: QueueName, is_closed: bool) -> bool:
        value = b"" if is_closed else None
        keys = [closed_key(self._table, part) for part in queue_partitions(queue)]
        writes = tuple(Write(key, value) for key in keys)
        match self._store.commit((self._role.partitioned_fence(),), writes):
            case Success(_):
                self.names = self.names ^ {queue}
                log.warning(
                    "Queue closed." if is_closed else "Queue opened.",
                    queue=queue,
                    table=self._table,
                )
                return True
            case Failure(error):
                self._is_read = False
                self._rounds_in_doubt = ROUNDS_IN_DOUBT
                log.warning("Could not close or open a queue.", cause=repr(error))
        return False
