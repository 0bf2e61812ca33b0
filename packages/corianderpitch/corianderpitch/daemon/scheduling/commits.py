"""Commits job progress in batches, one batch at a time."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

import eventlet
from eventlet.event import Event
from returns.result import Failure, Result, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.cleanup import RowCleanup
from corianderpitch.daemon.scheduling.diversions import DivertedJobs
from corianderpitch.daemon.scheduling.holderrow import FencedRow
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.scheduling.rows import (
    JOBS_TABLE,
    WORKERS_KEY,
    cancel_key,
    job_key,
    job_partitions,
    pack_progress,
    pack_workers,
    progress_key,
    unpack_workers,
)
from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.changes import JobChange
from corianderpitch.domain.scheduling.progress import ProgressRecord
from corianderpitch.domain.scheduling.scheduler import Scheduler
from corianderpitch.errors import (
    CommitError,
    PlatformError,
    PlatformUnavailable,
    RowConflict,
)
from corianderpitch.ids import JobId, WorkerId
from corianderpitch.ports import Check, RowStore, Write

# A transaction holds up to 100 entries, and a change needs up to four of them.
MAX_CHANGES_PER_COMMIT = 24
MAX_UNITS_PER_COMMIT = 5000  # of progress, up to 100 bytes each
MAX_MOVES_PER_COMMIT = 20
PROGRESS_INTERVAL_MS = 50.0
RETRY_MS = 100.0
REFUSALS_BEFORE_MOVE = 2  # consecutive refusals by a partition
PARTITION_BACKOFF_MS = 500.0  # duration of a call to a partition that does not answer
IDLE_WAIT_S = 1.0

log = logger("commits")


class CommitTask:
    """Writes a term's changes to the store and commits the ends of runs.

    Each write of a progress row requires that the row still has the version read
    last and that the role has not changed hands. A write whose answer was lost
    can therefore not overwrite a newer one when the store applies it late.
    """

    def __init__(
        self,
        store: RowStore,
        role: RoleLease,
        scheduler: Scheduler,
        diverted: DivertedJobs,
        clock: Clock,
        meters: JobMeters,
        on_committed: Callable[[], None],
        cleanup: RowCleanup,
    ):
        self._store = store
        self._role = role
        self._scheduler = scheduler
        self._diverted = diverted
        self._clock = clock
        self._meters = meters
        self._on_committed = on_committed
        self._wake_event = Event()
        self._commit_event = Event()
        self._workers_row = FencedRow(store, role, WORKERS_KEY)
        self._recorded_workers: set[WorkerId] | None = None
        self._backoff_until_ms: dict[str, float] = {}
        self._refusals: dict[str, int] = {}
        self._next_move_ms = 0.0
        self._fallback_versions: dict[JobId, int] = {}
        self._cleanup = cleanup

    def wake(self) -> None:
        """Request a commit."""
        if not self._wake_event.ready():
            self._wake_event.send()

    def wait_for_commit(self, within_ms: float) -> None:
        """Wait until the next commit has finished, at most ``within_ms``."""
        with eventlet.Timeout(within_ms / 1000.0, False):
            self._commit_event.wait()

    def run(self) -> None:
        """Commit changes until the thread is killed."""
        while True:
            with eventlet.Timeout(IDLE_WAIT_S, False):
                self._wake_event.wait()
            self._wake_event = Event()
            if not self._scheduler.has_final_changes:
                eventlet.sleep(PROGRESS_INTERVAL_MS / 1000.0)
            if not (self._record_workers() and self.commit_all()):
                eventlet.sleep(RETRY_MS / 1000.0)
                self.wake()

    def read_recorded_workers(self) -> Result[tuple[WorkerId, ...], PlatformError]:
        """Read the workers that may still execute orders of a predecessor."""
        row = self._workers_row.read()
        return row.map(lambda value: unpack_workers(value) if value else ())

    def _record_workers(self) -> bool:
        """Record in the store which workers may get orders; ``False`` if that failed.

        A worker gets its first order only after the store names it, so that a
        successor can wait for the end of its lease.
        """
        workers = self._scheduler.workers_to_record()
        if workers != self._recorded_workers and not self._write_workers(workers):
            return False
        # A worker that was removed and is listed again may be in the row already.
        self._scheduler.mark_recorded(workers)
        return True

    def _write_workers(self, workers: set[WorkerId]) -> bool:
        """Write the row of workers; after a lost answer its contents are unknown."""
        match self._workers_row.write(pack_workers(workers)):
            case Success(_):
                self._recorded_workers = workers
                self._on_committed()
                return True
            case Failure(error):
                self._recorded_workers = None
                log.warning("Could not record the workers.", cause=repr(error))
        return False

    def commit_all(self) -> bool:
        """Commit all changes; returns ``False`` if some of them failed."""
        changes = self._scheduler.pop_changes()
        remaining = self._commit_changes(changes)
        self._scheduler.requeue_changes(remaining)
        finished, self._commit_event = self._commit_event, Event()
        finished.send()
        if len(remaining) < len(changes):
            self._on_committed()
        return not remaining

    def _commit_changes(self, changes: Sequence[JobChange]) -> list[JobChange]:
        """Commit changes in batches; returns those that could not be committed.

        When the store rejects a batch, the changes of each partition are tried
        separately. A partition that fails is skipped for ``PARTITION_BACKOFF_MS``,
        so that it does not delay the commits of the others.
        """
        now_ms = self._clock.now_ms()
        remaining = [
            c
            for c in changes
            if self._is_backing_off(self._serving_partition(c), now_ms)
        ]
        available = [
            c
            for c in changes
            if not self._is_backing_off(self._serving_partition(c), now_ms)
        ]
        while available:
            chunk = _first_batch(available)
            available = available[len(chunk) :]
            if self._commit(chunk):
                continue
            by_part: dict[str, list[JobChange]] = {}
            for change in chunk:
                by_part.setdefault(self._serving_partition(change), []).append(change)
            for part, group in by_part.items():
                if len(by_part) > 1 and self._commit(group):
                    continue
                self._backoff_until_ms[part] = (
                    self._clock.now_ms() + PARTITION_BACKOFF_MS
                )
                remaining += group
            if not self._role.is_held:
                return remaining + available
        return self._move_ended(remaining)

    def _is_backing_off(self, part: str, now_ms: float) -> bool:
        return self._backoff_until_ms.get(part, 0) > now_ms

    def _move_ended(self, remaining: list[JobChange]) -> list[JobChange]:
        """Commit ends in fallback partitions where the home partition refuses them.

        Callers can then read the final state, and workers can drop the ends. Returns
        the changes that are still to be committed.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._next_move_ms:
            return remaining
        by_part: dict[str, list[JobChange]] = {}
        for change in remaining:
            home, fallback = job_partitions(
                change.job.workload.queue, change.job.job_id
            )
            is_refused = self._refusals.get(home, 0) >= REFUSALS_BEFORE_MOVE
            is_movable = (
                change.is_final
                and self._serving_partition(change) == home
                and is_refused
            )
            if is_movable and not self._is_backing_off(fallback, now_ms):
                by_part.setdefault(fallback, []).append(change)
        moved: set[JobId] = set()
        for part, group in by_part.items():
            group = group[
                : min(MAX_MOVES_PER_COMMIT, self._diverted.remaining_capacity)
            ]
            if group and self._move(part, group):
                moved |= {change.job.job_id for change in group}
            elif group:
                self._next_move_ms = self._clock.now_ms() + PARTITION_BACKOFF_MS
        return [change for change in remaining if change.job.job_id not in moved]

    def _move(self, part: str, changes: Sequence[JobChange]) -> bool:
        """Commit ends in a fallback partition and record the jobs as diverted."""
        checks: list[Check] = []
        writes: list[Write] = []
        for change in changes:
            job_id = change.job.job_id
            key = progress_key(part, job_id)
            checks.append(Check(key, self._fallback_versions.get(job_id, 0)))
            writes += self._build_writes(change, key)
        job_ids = {change.job.job_id for change in changes}
        match self._diverted.record(job_ids, tuple(checks), tuple(writes)):
            case Success(version):
                for change in changes:
                    home, _ = job_partitions(
                        change.job.workload.queue, change.job.job_id
                    )
                    self._cleanup.stale_homes[change.job.job_id] = home
                self._apply_committed(changes, version)
                return True
            case Failure(RowConflict()):
                self._refresh_fallback_versions(part, job_ids)
        return False

    def _refresh_fallback_versions(self, part: str, job_ids: Iterable[JobId]) -> None:
        """Read the versions of progress rows in a fallback partition.

        A move whose answer was lost may have written them.
        """
        for job_id in job_ids:
            key = progress_key(part, job_id)
            rows = self._store.read(JOBS_TABLE, part, key.name, key.name + "/")
            if isinstance(rows, Success):
                progress_rows = rows.unwrap().rows
                self._fallback_versions[job_id] = (
                    progress_rows[0].version if progress_rows else 0
                )

    def _commit(self, changes: Sequence[JobChange]) -> bool:
        checks = [self._role.partitioned_fence()]
        writes: list[Write] = []
        for change in changes:
            key = progress_key(self._serving_partition(change), change.job.job_id)
            checks.append(Check(key, change.job.progress_version))
            writes += self._build_writes(change, key)
        began_ms = self._clock.now_ms()
        result = self._store.commit(tuple(checks), tuple(writes))
        kind = "done" if isinstance(result, Success) else "failed"
        self._meters.record_commit(kind, self._clock.now_ms() - began_ms)
        match result:
            case Success(version):
                self._apply_committed(changes, version)
                for change in changes:
                    self._refusals.pop(self._serving_partition(change), None)
                return True
            case Failure(error):
                self._count_refusal(changes, error)
                self._handle_commit_failure(changes, error)
        return False

    def _count_refusal(self, changes: Sequence[JobChange], error: CommitError) -> None:
        """Count a refusal if it concerns one partition and certainly had no effect."""
        parts = {self._serving_partition(change) for change in changes}
        if len(parts) == 1 and isinstance(error, PlatformUnavailable):
            (part,) = parts
            self._refusals[part] = self._refusals.get(part, 0) + 1

    def _build_writes(self, change: JobChange, key) -> list[Write]:
        record = replace(change.record, recorded_ms=self._store.time_ms())
        if not change.is_final:
            return [Write(key, self._pack_open(change, record))]
        final = replace(record, steps={})
        writes = [
            Write(key, pack_progress(final)),
            Write(job_key(key.part, change.job.job_id), None),
        ]
        if record.state is JobState.CANCELLED or change.job.has_other_cancel:
            writes.append(Write(cancel_key(key.part, change.job.job_id), None))
        return writes

    def _pack_open(self, change: JobChange, record: ProgressRecord) -> bytes:
        """Encode the progress of an open job, without checkpoints if it is too long.

        A row that is too long would be refused together with all changes beside it.
        """
        value = pack_progress(record)
        if len(value) <= self._store.max_value_bytes:
            return value
        log.warning("Checkpoints left out.", job=change.job.job_id, bytes=len(value))
        return pack_progress(record.without_checkpoints())

    def _apply_committed(self, changes: Sequence[JobChange], version: int) -> None:
        self._scheduler.mark_committed(changes)
        for change in changes:
            change.job.progress_version = version
            if change.is_final:
                key = progress_key(self._serving_partition(change), change.job.job_id)
                self._cleanup.ended_ms_by_key[key] = self._store.time_ms()
                took_ms = self._clock.now_ms() - change.job.accepted_ms
                state = change.record.state.value
                self._meters.record_end(change.job.workload.queue, state, took_ms)
                log.info(
                    "Job ended.",
                    job=change.job.job_id,
                    state=state,
                    took_ms=round(took_ms),
                    at=version,
                )

    def _handle_commit_failure(
        self, changes: Sequence[JobChange], error: CommitError
    ) -> None:
        """Log a failed commit; after a conflict verify the role and reload versions."""
        log.warning("Commit failed.", changes=len(changes), cause=repr(error))
        if not isinstance(error, RowConflict):
            return
        self._role.verify_holder()
        if not self._role.is_held:
            return
        for change in changes:
            key = progress_key(self._serving_partition(change), change.job.job_id)
            rows = self._store.read(JOBS_TABLE, key.part, key.name, key.name + "/")
            if isinstance(rows, Success):
                progress_rows = rows.unwrap().rows
                change.job.progress_version = (
                    progress_rows[0].version if progress_rows else 0
                )

    def _serving_partition(self, change: JobChange) -> str:
        """Return the partition that the changed job is served from."""
        home, fallback = job_partitions(change.job.workload.queue, change.job.job_id)
        is_diverted = change.job.job_id in self._scheduler.diverted
        return fallback if is_diverted else home


def _first_batch(changes: Sequence[JobChange]) -> list[JobChange]:
    """Return the leading changes that fit into one transaction, at least one."""
    batch: list[JobChange] = []
    units = 0
    for change in changes[:MAX_CHANGES_PER_COMMIT]:
        units += change.record.size
        if batch and units > MAX_UNITS_PER_COMMIT:
            break
        batch.append(change)
    return batch
