"""Changes of jobs that are to be committed, and the reported ends that they include."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from corianderpitch.domain.scheduling.progress import ActiveJob, ProgressRecord
from corianderpitch.domain.scheduling.workers import EndRef, ReportedEnd, WorkerView
from corianderpitch.ids import JobId, WorkerId


@dataclass(frozen=True, slots=True)
class JobChange:
    """Progress of a job that is to be committed; a final change ends the job.

    ``ends`` names the reported ends that the record includes. Workers keep listing
    them until the change is committed.
    """

    job: ActiveJob
    record: ProgressRecord
    ends: tuple[EndRef, ...] = ()

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self.record.state.has_ended


class ChangeLog:
    """Collects the changes of ``jobs``, and the ends that ``workers`` must keep."""

    def __init__(
        self,
        jobs: Mapping[JobId, ActiveJob],
        workers: Mapping[WorkerId, WorkerView],
    ):
        self._jobs = jobs
        self._workers = workers
        self._final: dict[JobId, tuple[ActiveJob, ProgressRecord]] = {}
        self._awaiting_final_commit: dict[JobId, ActiveJob] = {}

    def add_end(self, job: ActiveJob) -> None:
        """Queue the final record of a job that has just ended."""
        record = ProgressRecord(job.state, job.finished, team=job.workload.team)
        self._final[job.job_id] = (job, record)
        self._awaiting_final_commit[job.job_id] = job

    def retain_end(self, worker: WorkerView, end: ReportedEnd) -> None:
        """Make a worker keep an end until its job's progress is committed."""
        job_id = end.task.job_id
        job = self._jobs.get(job_id) or self._awaiting_final_commit.get(job_id)
        if job is not None and worker.incarnation is not None:
            ref = EndRef(worker.info.worker, worker.incarnation, end.sequence)
            job.uncommitted_ends.append(ref)
            job.is_dirty = True
            worker.uncommitted_ends.add(end.sequence)

    def pop(self) -> list[JobChange]:
        """Return the changes to commit, each with the ends that it includes."""
        changes = [
            JobChange(job, record, job.pop_uncommitted_ends())
            for job, record in self._final.values()
        ]
        self._final = {}
        for job in self._jobs.values():
            if job.is_dirty:
                job.is_dirty = False
                changes.append(JobChange(job, job.record(), job.pop_uncommitted_ends()))
        return changes

    def requeue(self, changes: Iterable[JobChange]) -> None:
        """Queue changes whose commit failed for another commit.

        A job may have ended since. Its ends are then committed with its final record.
        """
        for change in changes:
            job = change.job
            job.uncommitted_ends = [*change.ends, *job.uncommitted_ends]
            if change.is_final:
                self._final.setdefault(job.job_id, (job, change.record))
            else:
                job.is_dirty = True

    def mark_committed(self, changes: Iterable[JobChange]) -> None:
        """Mark changes as committed, so that workers may drop their ends."""
        for change in changes:
            ends = change.ends
            if change.is_final:
                del self._awaiting_final_commit[change.job.job_id]
                ends += change.job.pop_uncommitted_ends()
            for end in ends:
                worker = self._workers.get(end.worker)
                if worker is not None and worker.incarnation == end.incarnation:
                    worker.uncommitted_ends.discard(end.sequence)

    def awaits_final_commit(self, job_id: JobId) -> bool:
        """Return whether a job has ended in this term and that is not committed yet."""
        return job_id in self._awaiting_final_commit

    @property
    def has_final(self) -> bool:
        """Return whether the final change of a job waits for its commit."""
        return bool(self._final)
