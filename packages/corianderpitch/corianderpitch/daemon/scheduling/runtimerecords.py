"""Keeps the learned run times in the store, so that a successor begins with them.

Each queue has one row. Rows are written now and then, beside the commits of progress
and never before them. A holder that dies loses what it has learned since its last
write; a row that cannot be read costs the knowledge of its queue. No decision waits
for them.
"""

from collections.abc import Iterable
from dataclasses import replace

import eventlet
from returns.result import Failure, Success

from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.refusals import RefusalLog
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.scheduling.rows import (
    RUN_TIMES_TABLE,
    pack_run_times,
    run_times_key,
    unpack_run_times,
)
from corianderpitch.domain.scheduling.runtimes import (
    WHOLE_QUEUE,
    RunTimeStats,
)
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.errors import MalformedData
from corianderpitch.ids import QueueName
from corianderpitch.ports import Row, RowStore, Write

SAVE_INTERVAL_S = 5.0
READ_RETRY_S = 0.5
MAX_ROWS_PER_COMMIT = 15  # of 64 KiB, of 1 MB in a transaction

log = logger("runtimes")


class RunTimeRecords:
    """Reads the learned run times at the beginning of a term, and writes them."""

    def __init__(
        self,
        store: RowStore,
        role: RoleLease,
        scheduler: Scheduler,
        meters: JobMeters,
    ):
        self._store = store
        self._role = role
        self._scheduler = scheduler
        self._model = scheduler.run_times.model
        self._meters = meters
        self._refusals = RefusalLog()
        self._saved: dict[QueueName, RunTimeStats] = {}

    def run(self) -> None:
        """Read the rows, then write them until the thread is killed."""
        while not self.load():
            eventlet.sleep(READ_RETRY_S)
        while True:
            eventlet.sleep(SAVE_INTERVAL_S)
            if self._role.has_valid_lease:
                self.save()

    def load(self) -> bool:
        """Read what predecessors have learned; return whether the store has answered.

        Queues of which this term has learned something already keep that.
        """
        match self._store.read(RUN_TIMES_TABLE, ""):
            case Success(snapshot):
                for row in snapshot.rows:
                    self._apply(row)
                log.info("Run times read.", queues=len(self._model.queues))
                return True
        return False

    def _apply(self, row: Row) -> None:
        queue = QueueName(row.key.name)
        try:
            by_image = unpack_run_times(row.value)
        except MalformedData as error:
            self._refusals.record(row.key, error)
            return
        self._model.queues.setdefault(queue, by_image)
        self._saved.setdefault(queue, replace(by_image[WHOLE_QUEUE]))

    def save(self) -> None:
        """Write the rows of the queues of which something was learned.

        Those of queues that are not served any more are deleted.
        """
        for queue in self._model.queues.keys() - self._scheduler.queues.keys():
            if not self._delete(queue):
                return
        changed = [
            queue
            for queue, by_image in self._model.queues.items()
            if by_image[WHOLE_QUEUE] != self._saved.get(queue)
        ]
        for start in range(0, len(changed), MAX_ROWS_PER_COMMIT):
            if not self._write(changed[start : start + MAX_ROWS_PER_COMMIT]):
                return
        self._report(changed)

    def _write(self, queues: Iterable[QueueName]) -> bool:
        known = {queue: self._model.queues[queue] for queue in queues}
        writes = tuple(
            Write(run_times_key(queue), pack_run_times(by_image))
            for queue, by_image in known.items()
        )
        saved = {queue: replace(stats[WHOLE_QUEUE]) for queue, stats in known.items()}
        match self._store.commit((self._role.partitioned_fence(),), writes):
            case Success(_):
                self._saved |= saved
                return True
            case Failure(error):
                log.warning("Could not write the run times.", cause=repr(error))
        return False

    def _delete(self, queue: QueueName) -> bool:
        write = Write(run_times_key(queue), None)
        fence = self._role.partitioned_fence()
        is_deleted = isinstance(self._store.commit((fence,), (write,)), Success)
        if is_deleted:
            del self._model.queues[queue]
            self._saved.pop(queue, None)
        return is_deleted

    def _report(self, queues: Iterable[QueueName]) -> None:
        for queue in queues:
            by_image = self._model.queues[queue]
            stats = by_image[WHOLE_QUEUE]
            ratio = 2.0**stats.mean_error
            self._meters.set_run_times(queue, ratio, stats.error_variance)
            log.info(
                "Run times learned.",
                queue=queue,
                images=len(by_image) - 1,
                steps=round(stats.steps),
                observed_to_declared=round(ratio, 3),
                declared_share=round(1.0 + stats.slope, 3),
            )
