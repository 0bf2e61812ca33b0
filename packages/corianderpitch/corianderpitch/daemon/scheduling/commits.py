"""Commits of progress: one under way, everything that came meanwhile in the next."""

from collections.abc import Callable, Iterable, Sequence

import eventlet
from eventlet.event import Event
from returns.result import Failure, Result, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.diversions import DivertedJobs
from corianderpitch.daemon.scheduling.holderrow import HolderRow
from corianderpitch.daemon.scheduling.meters import JobMeters
from corianderpitch.daemon.scheduling.rows import (
    JOBS_TABLE,
    WORKERS_KEY,
    cancel_key,
    ended_job,
    job_key,
    job_keys,
    job_places,
    pack_progress,
    pack_workers,
    progress_key,
    queue_of,
    unpack_workers,
)
from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.scheduler import JobChange, Scheduler
from corianderpitch.errors import (
    CommitError,
    PlatformError,
    PlatformUnavailable,
    RowConflict,
)
from corianderpitch.ids import JobId, WorkerId
from corianderpitch.ports import Check, PartedKey, RowStore, Write

MAX_CHANGES = 24  # of up to four entries each, within a transaction's hundred
MAX_MOVED = 20
PROGRESS_INTERVAL_MS = 50.0
RETRY_MS = 100.0
REFUSALS_TO_MOVE = 2  # in a row, by a partition
PART_REST_MS = 500.0  # as long as a call to a partition that does not answer
FORGET_INTERVAL_MS = 5000.0
FORGET_SLACK_MS = 60_000.0
MAX_FORGOTTEN = 24  # of up to four entries each
IDLE_WAIT_S = 1.0

log = logger("commits")


class CommitTask:
    """Writes a tenure's changes to the store, and tells which ends are settled.

    Each progress row is written on the condition that it has the version seen
    last, and that the role has not changed hands. A write whose answer was lost
    can therefore not be carried out late, over a newer one.
    """

    def __init__(
        self,
        store: RowStore,
        role: RoleLease,
        scheduler: Scheduler,
        diverted: DivertedJobs,
        clock: Clock,
        meters: JobMeters,
        on_settled: Callable[[], None],
        keep_ended_ms: float,
    ):
        self._store = store
        self._role = role
        self._scheduler = scheduler
        self._diverted = diverted
        self._clock = clock
        self._meters = meters
        self._on_settled = on_settled
        self._event = Event()
        self._settled = Event()
        self._workers_row = HolderRow(store, role, WORKERS_KEY)
        self._recorded: set[WorkerId] | None = None
        self._rest_until_ms: dict[str, float] = {}
        self._refusals: dict[str, int] = {}
        self._next_move_ms = 0.0
        self._versions_there: dict[JobId, int] = {}
        self.left_behind: dict[JobId, str] = {}  # home partitions with rows to delete
        self._keep_ended_ms = keep_ended_ms
        self._next_forget_ms = 0.0
        self.ended: dict[PartedKey, float] = {}

    def wake(self) -> None:
        """Note that something may have to be committed."""
        if not self._event.ready():
            self._event.send()

    def wait_settled(self, within_ms: float) -> None:
        """Wait until the next commit is through, for a bounded time."""
        with eventlet.Timeout(within_ms / 1000.0, False):
            self._settled.wait()

    def run(self) -> None:
        """Commit until killed."""
        while True:
            with eventlet.Timeout(IDLE_WAIT_S, False):
                self._event.wait()
            self._event = Event()
            if not self._scheduler.has_final_changes:
                eventlet.sleep(PROGRESS_INTERVAL_MS / 1000.0)
            if not (self._record_workers() and self.commit_all()):
                eventlet.sleep(RETRY_MS / 1000.0)
                self.wake()
            if self._clock.now_ms() >= self._next_forget_ms:
                self._next_forget_ms = self._clock.now_ms() + FORGET_INTERVAL_MS
                self.forget_ended()

    def forget_ended(self) -> None:
        """Delete the rows of jobs whose end is longer ago than callers may ask."""
        oldest_ms = self._store.time_ms() - self._keep_ended_ms - FORGET_SLACK_MS
        old = [key for key, ended_ms in self.ended.items() if ended_ms < oldest_ms]
        for start in range(0, len(old), MAX_FORGOTTEN):
            if not self._forget(old[start : start + MAX_FORGOTTEN]):
                return

    def _forget(self, keys: Sequence[PartedKey]) -> bool:
        """Delete rows of ended jobs, of diverted ones also what is left at home."""
        writes: list[Write] = []
        for key in keys:
            writes.append(Write(key, None))
            job_id = ended_job(key)
            if job_id in self._scheduler.diverted:
                home, _ = job_places(queue_of(key.part), job_id)
                writes += [Write(left, None) for left in job_keys(home, job_id)]
        match self._store.commit((self._role.parted_fence(),), tuple(writes)):
            case Success(_):
                for key in keys:
                    del self.ended[key]
                    self._scheduler.ended.discard(ended_job(key))
                    self._scheduler.diverted.discard(ended_job(key))
                return True
            case Failure(error):
                log.warning("Ended jobs not forgotten.", cause=repr(error))
        return False

    def recorded_workers(self) -> Result[tuple[WorkerId, ...], PlatformError]:
        """Return the workers that a predecessor may have given something to."""
        found = self._workers_row.read()
        return found.map(lambda value: unpack_workers(value) if value else ())

    def _record_workers(self) -> bool:
        """Name in the store which workers may be given something."""
        workers = self._scheduler.workers_to_record()
        if workers == self._recorded:
            return True
        match self._workers_row.write(pack_workers(workers)):
            case Success(_):
                self._recorded = workers
                self._scheduler.note_recorded(workers)
                self._on_settled()
                return True
            case Failure(error):
                log.warning("Workers not recorded.", cause=repr(error))
        return False

    def commit_all(self) -> bool:
        """Commit what has changed; False if something is left."""
        changes = self._scheduler.take_changes()
        kept = self._commit_changes(changes)
        self._scheduler.keep_changes(kept)
        settled, self._settled = self._settled, Event()
        settled.send()
        if len(kept) < len(changes):
            self._on_settled()
        return not kept

    def _commit_changes(self, changes: Sequence[JobChange]) -> list[JobChange]:
        """Commit changes, all together where that works; returns what is left.

        When the store does not take them all, each partition is tried by itself,
        and one that fails rests for a while: it must not hold up the others.
        """
        now_ms = self._clock.now_ms()
        kept = [c for c in changes if self._is_resting(self._part(c), now_ms)]
        awake = [c for c in changes if not self._is_resting(self._part(c), now_ms)]
        for start in range(0, len(awake), MAX_CHANGES):
            chunk = awake[start : start + MAX_CHANGES]
            if self._commit(chunk):
                continue
            by_part: dict[str, list[JobChange]] = {}
            for change in chunk:
                by_part.setdefault(self._part(change), []).append(change)
            for part, group in by_part.items():
                if len(by_part) > 1 and self._commit(group):
                    continue
                self._rest_until_ms[part] = self._clock.now_ms() + PART_REST_MS
                kept += group
            if not self._role.is_held:
                return kept + awake[start + MAX_CHANGES :]
        return self._move_ended(kept)

    def _is_resting(self, part: str, now_ms: float) -> bool:
        return self._rest_until_ms.get(part, 0) > now_ms

    def _move_ended(self, kept: list[JobChange]) -> list[JobChange]:
        """Commit ends of jobs whose home partition refuses in their fallback one.

        Their callers learn of them, and workers may forget them. Returns what is left.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._next_move_ms:
            return kept
        by_part: dict[str, list[JobChange]] = {}
        for change in kept:
            home, fallback = job_places(change.job.workload.queue, change.job.job_id)
            is_refused = self._refusals.get(home, 0) >= REFUSALS_TO_MOVE
            is_movable = change.is_final and self._part(change) == home and is_refused
            if is_movable and not self._is_resting(fallback, now_ms):
                by_part.setdefault(fallback, []).append(change)
        done: set[JobId] = set()
        for part, group in by_part.items():
            group = group[: min(MAX_MOVED, self._diverted.room)]
            if group and self._move(part, group):
                done |= {change.job.job_id for change in group}
            elif group:
                self._next_move_ms = self._clock.now_ms() + PART_REST_MS
        return [change for change in kept if change.job.job_id not in done]

    def _move(self, part: str, changes: Sequence[JobChange]) -> bool:
        """Commit ends in a fallback partition, and name the jobs as diverted."""
        checks: list[Check] = []
        writes: list[Write] = []
        for change in changes:
            job_id = change.job.job_id
            key = progress_key(part, job_id)
            checks.append(Check(key, self._versions_there.get(job_id, 0)))
            writes += self._writes(change, key)
        job_ids = {change.job.job_id for change in changes}
        match self._diverted.record(job_ids, tuple(checks), tuple(writes)):
            case Success(version):
                for change in changes:
                    home, _ = job_places(change.job.workload.queue, change.job.job_id)
                    self.left_behind[change.job.job_id] = home
                self._note_written(changes, version)
                return True
            case Failure(RowConflict()):
                self._see_versions(part, job_ids)
        return False

    def _see_versions(self, part: str, job_ids: Iterable[JobId]) -> None:
        """Learn of progress that a move whose answer was lost has written."""
        for job_id in job_ids:
            key = progress_key(part, job_id)
            rows = self._store.read(JOBS_TABLE, part, key.name, key.name + "/")
            if isinstance(rows, Success):
                found = rows.unwrap().rows
                self._versions_there[job_id] = found[0].version if found else 0

    def _commit(self, changes: Sequence[JobChange]) -> bool:
        checks = [self._role.parted_fence()]
        writes: list[Write] = []
        for change in changes:
            key = progress_key(self._part(change), change.job.job_id)
            checks.append(Check(key, change.job.progress_version))
            writes += self._writes(change, key)
        began_ms = self._clock.now_ms()
        result = self._store.commit(tuple(checks), tuple(writes))
        kind = "done" if isinstance(result, Success) else "failed"
        self._meters.record_commit(kind, self._clock.now_ms() - began_ms)
        match result:
            case Success(version):
                self._note_written(changes, version)
                for change in changes:
                    self._refusals.pop(self._part(change), None)
                return True
            case Failure(error):
                self._count_refusal(changes, error)
                self._explain(changes, error)
        return False

    def _count_refusal(self, changes: Sequence[JobChange], error: CommitError) -> None:
        """Count refusals that concern one partition, and are certain."""
        parts = {self._part(change) for change in changes}
        if len(parts) == 1 and isinstance(error, PlatformUnavailable):
            (part,) = parts
            self._refusals[part] = self._refusals.get(part, 0) + 1

    def _writes(self, change: JobChange, key) -> list[Write]:
        record = change.record
        if not change.is_final:
            return [Write(key, pack_progress(record))]
        final = type(record)(record.state, record.finished, {}, self._store.time_ms())
        writes = [
            Write(key, pack_progress(final)),
            Write(job_key(key.part, change.job.job_id), None),
        ]
        if record.state is JobState.CANCELLED:
            writes.append(Write(cancel_key(key.part, change.job.job_id), None))
        return writes

    def _note_written(self, changes: Sequence[JobChange], version: int) -> None:
        self._scheduler.settle(changes)
        for change in changes:
            change.job.progress_version = version
            if change.is_final:
                key = progress_key(self._part(change), change.job.job_id)
                self.ended[key] = self._store.time_ms()
                took_ms = self._clock.now_ms() - change.job.accepted_ms
                state = change.record.state.value
                self._meters.record_end(change.job.workload.queue, state, took_ms)
                log.info(
                    "Ended.",
                    job=change.job.job_id,
                    state=state,
                    took_ms=round(took_ms),
                    at=version,
                )

    def _explain(self, changes: Sequence[JobChange], error: CommitError) -> None:
        """Find out why a commit failed; versions are read anew after a conflict."""
        log.warning("Commit failed.", changes=len(changes), cause=repr(error))
        if not isinstance(error, RowConflict):
            return
        self._role.verify()
        if not self._role.is_held:
            return
        for change in changes:
            key = progress_key(self._part(change), change.job.job_id)
            rows = self._store.read(JOBS_TABLE, key.part, key.name, key.name + "/")
            if isinstance(rows, Success):
                found = rows.unwrap().rows
                change.job.progress_version = found[0].version if found else 0

    def _part(self, change: JobChange) -> str:
        """Return the partition that a job is served from."""
        home, fallback = job_places(change.job.workload.queue, change.job.job_id)
        is_diverted = change.job.job_id in self._scheduler.diverted
        return fallback if is_diverted else home
