"""Tasks that crash the workers that start them: evidence, suspects and decisions.

Such a task ends its worker's process soon after its start, and with it all other
runs there. One crash says little: the worker may have failed by itself, and several
tasks may have been started there just before. The tasks that had not run for
``PROBATION_MS`` yet become suspects. They are started again in isolation (see
``isolation``), so that a second crash names the job that caused it.

A run whose begin the worker has not confirmed is no evidence: its order may have
found the worker dead already. Nor is one that a predecessor has started, as it may
have run for long. A crash is confirmed only if the worker fell silent soon after the
order to start the run. Where that is possible but not known, as for a crash between
two holders, the task is isolated, but its job not given up for it.

A task that crashes its workers later than that is found by the count of crashes under
its runs that had passed their probation: from the second one on they are held against
it too, and its probation is longer.

The crashes are counted for each task by the numbers of its runs, until a run passes
its probation. They are committed with the job's progress, so that a successor
continues the count. A third confirmed crash in a row ends the job in any case:
decisions on earlier ones may have been lost with their holder.
"""

import enum
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from corianderpitch.domain.scheduling.progress import ActiveJob, ActiveStep
from corianderpitch.domain.scheduling.workers import (
    Run,
    RunKey,
    WorkerInfo,
    WorkerReport,
    WorkerView,
)
from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.ids import JobId, WorkerId

PROBATION_MS = 300.0
LATE_PROBATION_MS = 3000.0
LATE_CRASHES_TO_SUSPECT = 2
CRASHES_TO_GIVE_UP = 2  # the second one prompt, in isolation, without common cause
CONFIRMED_CRASHES_IN_ANY_CASE = 3
CRASHES_IN_ANY_CASE = 4  # with two confirmed ones among them
UNNOTICED_CRASH_MS = 3000.0  # a holder that serves on records a crash before that
DECISION_DELAY_MS = 500.0  # outages with a common cause are noticed one by one


@dataclass(frozen=True, slots=True)
class JobGivenUp:
    """Decision that a task has crashed workers, and its job is to be given up."""

    task: TaskRef
    crashes: int


@dataclass(frozen=True, slots=True)
class Outage:
    """Silence of a worker, which began after ``heard_ms`` and by ``silent_ms``.

    ``silent_ms`` is infinite if it is not known. ``had_suspect`` is true if a run that
    had just begun there was one of a suspect, which explains the outage.
    """

    worker: WorkerInfo
    heard_ms: float
    silent_ms: float
    had_suspect: bool

    @property
    def unheard_ms(self) -> float:
        """Return within how many ms the worker fell silent, 0 if that is not known."""
        if math.isinf(self.silent_ms):
            return 0.0
        return max(0.0, self.silent_ms - self.heard_ms)

    @classmethod
    def from_worker(cls, worker: WorkerView, had_suspect: bool) -> "Outage":
        """Return the outage of a worker that is silent or has crashed."""
        silent_ms = worker.silent_since_ms
        return cls(
            worker.info,
            worker.heard_ms,
            math.inf if silent_ms is None else silent_ms,
            had_suspect,
        )


@dataclass(frozen=True, slots=True)
class WorkerCrash:
    """End of a worker's process that no order or draining explains.

    ``suspects`` are the tasks that most likely caused it, each with the number of
    crashes confirmed for it so far. ``is_prompt`` is true if the worker fell silent
    soon after the last of them was started. ``relations`` counts the runs of open jobs
    on the worker, for the log.
    """

    outage: Outage
    suspects: Mapping[TaskRef, int]
    is_prompt: bool = False
    relations: Mapping["CrashRelation", int] = field(default_factory=dict)

    @property
    def worker(self) -> WorkerInfo:
        """Return the worker that has crashed."""
        return self.outage.worker

    @property
    def only_job(self) -> JobId | None:
        """Return the job of all suspects, ``None`` if there are several or none."""
        job_ids = {task.job_id for task in self.suspects}
        return job_ids.pop() if len(job_ids) == 1 else None

    @property
    def crashes(self) -> int:
        """Return the highest count of crashes among the suspects."""
        return max(self.suspects.values(), default=0)

    def decision(self) -> JobGivenUp:
        """Return the decision that its most suspect task is the cause."""
        task = max(self.suspects, key=lambda suspect: self.suspects[suspect])
        return JobGivenUp(task, self.suspects[task])


@dataclass(frozen=True, slots=True)
class EarlierCrash:
    """Crash of a worker before the term; the suspects may have caused it."""

    worker: WorkerId
    suspects: tuple[TaskRef, ...]


CrashNotice = WorkerCrash | EarlierCrash | JobGivenUp


@dataclass(slots=True)
class IsolationGroup:
    """Workers on which only one suspect job starts tasks; see ``isolation``.

    ``asked_ms`` is the time of the last request for the reports of these workers.
    """

    workers: tuple[WorkerId, ...]
    chosen_ms: float
    asked_ms: float = 0.0


def is_certain_cause(step: ActiveStep, index: int) -> bool:
    """Return whether the crashes held against a task suffice whatever caused each."""
    confirmed = step.confirmed_crash_count(index)
    return confirmed >= CONFIRMED_CRASHES_IN_ANY_CASE or (
        confirmed >= CRASHES_TO_GIVE_UP
        and step.crash_count(index) >= CRASHES_IN_ANY_CASE
    )


def probation_ms(step: ActiveStep, index: int) -> float:
    """Return how long a task must run until it is no suspect any more."""
    if len(step.late_crashed.get(index, ())) >= LATE_CRASHES_TO_SUSPECT:
        return LATE_PROBATION_MS
    return PROBATION_MS


class CrashRelation(enum.Enum):
    """Relation of a run to the crash of its worker.

    A ``RECENT`` run began shortly before the worker fell silent, and is the likely
    cause. For a ``POSSIBLE`` one that is not certain: it is not known when the worker
    fell silent, or its answer to the order came late. A ``LATE`` one had passed its
    probation by then. An ``UNRELATED`` one was not seen to begin.
    """

    UNRELATED = "unrelated"
    POSSIBLE = "possible"
    RECENT = "recent"
    LATE = "late"


def relate_to_crash(
    step: ActiveStep, run: Run, silent_since_ms: float | None
) -> CrashRelation:
    """Return how a run is related to the crash of its worker.

    ``silent_since_ms`` is ``None`` if it is not known since when the worker has been
    silent.
    """
    if run.is_proven:
        return CrashRelation.LATE
    if run.begun_ms is None:
        return CrashRelation.UNRELATED
    if silent_since_ms is None:
        return CrashRelation.POSSIBLE
    limit_ms = probation_ms(step, run.task.index)
    if silent_since_ms - run.begun_ms > limit_ms:
        return CrashRelation.LATE
    if silent_since_ms - run.ordered_ms > limit_ms:
        return CrashRelation.POSSIBLE
    return CrashRelation.RECENT


def count_crash(
    step: ActiveStep, index: int, number: int, relation: CrashRelation
) -> bool:
    """Count a crash of a worker during a run; return whether its task is a suspect.

    A run that had passed its probation is unlikely to be the cause. Its task becomes
    a suspect after ``LATE_CRASHES_TO_SUSPECT``, but for lasting tasks, which run
    through many crashes of their workers. After as many crashes that are possible
    only, the probation is longer too: where answers are slow, none would be confirmed.
    """
    if index in step.done or relation is CrashRelation.UNRELATED:
        return False
    if relation is CrashRelation.LATE and step.step.is_lasting:
        return False
    late = step.late_crashed.setdefault(index, set())
    if relation is not CrashRelation.RECENT:
        late.add(number)
    if relation is CrashRelation.LATE and len(late) < LATE_CRASHES_TO_SUSPECT:
        return False
    if any(run.is_proven and run.number > number for run in step.runs.get(index, ())):
        return False  # noticed late: a later run has passed its probation since
    step.add_crash(index, number, relation is not CrashRelation.POSSIBLE)
    return True


def is_prompt(worker: WorkerView, runs: Iterable[Run]) -> bool:
    """Return whether a worker fell silent soon after the last of some starts."""
    if worker.silent_since_ms is None:
        return False
    ordered_ms = max((run.ordered_ms for run in runs), default=-math.inf)
    return worker.silent_since_ms - ordered_ms <= PROBATION_MS


def has_passed_probation(step: ActiveStep, run: Run, at_ms: float) -> bool:
    """Return whether a run that is at work at ``at_ms`` has passed its probation."""
    since_ms = run.state_since_ms if run.begun_ms is None else run.begun_ms
    return at_ms - since_ms >= probation_ms(step, run.task.index)


@dataclass(slots=True)
class RecordedRuns:
    """Runs that predecessors recorded, by worker, until the worker is heard of.

    A worker that is found in another incarnation crashed under them, unless they
    had ended before.
    """

    _by_worker: dict[WorkerId, list[tuple[TaskRef, int, str]]] = field(
        default_factory=dict
    )

    def add(self, job: ActiveJob) -> None:
        """Add the recorded runs of a job.

        Runs of an old record are left out: had a worker crashed soon after it began
        one of them, the predecessor would have recorded that.
        """
        is_old = job.record_age_ms > UNNOTICED_CRASH_MS
        for task, placement in job.pop_recorded_placements():
            if placement.incarnation and not is_old:
                self._by_worker.setdefault(placement.worker, []).append(
                    (task, placement.number, placement.incarnation)
                )

    def pop_crashed(
        self, worker: WorkerId, report: WorkerReport | None
    ) -> Iterable[RunKey]:
        """Return a worker's runs of other incarnations, but for those it lists now.

        ``report`` is ``None`` if its process has ended. All of its runs are dropped.
        """
        runs = self._by_worker.pop(worker, [])
        if report is None or not runs:
            return [(task, number) for task, number, _ in runs]
        listed = report.run_keys
        return [
            (task, number)
            for task, number, recorded in runs
            if recorded != report.incarnation and (task, number) not in listed
        ]
