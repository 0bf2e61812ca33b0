"""Progress of active jobs, and the records from which a successor resumes them."""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence, Set
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.indexes import IndexSet
from corianderpitch.domain.scheduling.runtimes import ExpectedRunTime, ObservedRuns
from corianderpitch.domain.scheduling.workers import EndRef, Run
from corianderpitch.domain.scheduling.workloads import (
    Step,
    TaskRef,
    Workload,
    critical_path_ms,
)
from corianderpitch.ids import JobId, TeamName, WorkerId

# Callers choose how many occurrences are due at once, how many steps each has, and how
# many tasks a step has. These bounds keep what a holder remembers of one job small;
# what is beyond them begins when something before it has ended.
MAX_ACTIVE_OCCURRENCES = 100
MAX_ACTIVE_STEPS = 2000  # the steps of the first occurrence always begin
MAX_OPEN_TASKS = 1500  # started, but not done; their progress fits into a row


class Placement(NamedTuple):
    """A recorded run: its worker, its number and the worker's incarnation.

    The incarnation is empty if it is not known.
    """

    worker: WorkerId
    number: int = 0
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class StepRecord:
    """Committed progress of one step of one occurrence.

    ``failed`` holds the numbers of each task's failed runs, so that an end that is
    reported twice counts once. ``placed`` names each task's runs. ``crashed`` holds
    the numbers of the runs soon after whose start the worker has crashed, and
    ``unconfirmed`` those of them for which this is only possible.
    """

    done: Collection[int] = ()
    failed: dict[int, tuple[int, ...]] = field(default_factory=dict)
    checkpoints: dict[int, str] = field(default_factory=dict)
    placed: dict[int, tuple[Placement, ...]] = field(default_factory=dict)
    crashed: dict[int, tuple[int, ...]] = field(default_factory=dict)
    unconfirmed: dict[int, tuple[int, ...]] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """Return how many runs, failures and checkpoints it holds."""
        entries = (*self.placed.values(), *self.failed.values())
        return sum(map(len, entries)) + len(self.checkpoints)


@dataclass(frozen=True, slots=True)
class ProgressRecord:
    """Committed progress of a job: its state and the steps that have begun.

    ``finished`` is the number of leading occurrences that are completely done.
    ``steps`` has (occurrence, step number) as keys. ``recorded_ms`` is the store's
    time of the record, 0 if it is not known. For a job that has ended it is the time
    of the end. ``team`` submitted the job.
    """

    state: JobState
    finished: int = 0
    steps: dict[tuple[int, int], StepRecord] = field(default_factory=dict)
    recorded_ms: float = 0.0
    team: TeamName | None = None

    @property
    def size(self) -> int:
        """Return how many steps, runs, failures and checkpoints it holds."""
        return len(self.steps) + sum(step.size for step in self.steps.values())

    def without_checkpoints(self) -> "ProgressRecord":
        """Return the same progress, from which tasks start without checkpoints."""
        steps = {key: replace(s, checkpoints={}) for key, s in self.steps.items()}
        return replace(self, steps=steps)


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to start tasks of one step on one incarnation of a worker."""

    text: str
    incarnation: str
    until_ms: float


@dataclass(slots=True)
class ActiveStep:
    """A step of one occurrence, with its waiting, running and done tasks.

    ``open`` holds the tasks that have been started at least once and are not done.
    ``tickets`` were issued by the advice service, and ``denied`` holds the workers
    that it does not allow, each with its incarnation. ``crashed`` holds the numbers
    of each task's runs soon after whose start the worker has crashed, since a run
    last passed its probation. ``unconfirmed`` holds those of them for which this is
    only possible, and ``late_crashed`` those of all runs that may have
    passed their probation before the worker crashed. ``observed`` are the run times of
    finished tasks, ``None`` if there are none to learn from. Waiting tasks of a lasting
    step have found no further worker since ``awaits_spread_since_ms``, ``None`` if they
    do not wait for one.
    """

    step: Step
    number: int
    occurrence: int
    pending: IndexSet
    done: IndexSet = field(default_factory=IndexSet)
    failed: dict[int, set[int]] = field(default_factory=dict)
    checkpoints: dict[int, str] = field(default_factory=dict)
    runs: dict[int, list[Run]] = field(default_factory=dict)
    open: set[int] = field(default_factory=set)
    tickets: dict[WorkerId, Ticket] = field(default_factory=dict)
    denied: set[tuple[WorkerId, str]] = field(default_factory=set)
    crashed: dict[int, set[int]] = field(default_factory=dict)
    unconfirmed: dict[int, set[int]] = field(default_factory=dict)
    late_crashed: dict[int, set[int]] = field(default_factory=dict)
    observed: ObservedRuns | None = None
    awaits_spread_since_ms: float | None = None

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return len(self.done) == self.step.count

    def failure_count(self, index: int) -> int:
        """Return how often a task has failed.

        The failures of all tasks of a gang are counted together.
        """
        if not self.step.is_gang:
            return len(self.failed.get(index, ()))
        return len(set().union(*self.failed.values()))

    @property
    def suspects(self) -> Set[int]:
        """Return the tasks that may crash the workers that start them."""
        return self.crashed.keys()

    @property
    def waiting_suspects(self) -> IndexSet:
        """Return the suspects that wait to be started."""
        return IndexSet(index for index in self.suspects if index in self.pending)

    @property
    def waiting_others(self) -> IndexSet:
        """Return the waiting tasks that are no suspects."""
        others = IndexSet(self.pending)
        for index in self.suspects:
            others.discard(index)
        return others

    def crash_count(self, index: int) -> int:
        """Return how many workers may have crashed soon after they began a task."""
        return len(self.crashed.get(index, ()))

    def confirmed_crash_count(self, index: int) -> int:
        """Return how many workers have crashed soon after they began a task."""
        return self.crash_count(index) - len(self.unconfirmed.get(index, ()))

    def add_crash(self, index: int, number: int, is_confirmed: bool) -> None:
        """Add the number of a run soon after whose start the worker has crashed."""
        numbers = self.crashed.setdefault(index, set())
        if number not in numbers and not is_confirmed:
            self.unconfirmed.setdefault(index, set()).add(number)
        numbers.add(number)

    def clear_crashes(self, index: int) -> None:
        """Drop the crashes that are held against a task."""
        self.crashed.pop(index, None)
        self.unconfirmed.pop(index, None)

    def ticket_for(self, worker: WorkerId) -> str:
        """Return the ticket for a worker, empty if there is none."""
        ticket = self.tickets.get(worker)
        return ticket.text if ticket is not None else ""

    def checkpoint_of(self, index: int) -> str:
        """Return the checkpoint to start a task from, empty if there is none.

        All members of a gang start from one; that of any member is valid for all.
        """
        return self.checkpoints.get(self._checkpoint_key(index), "")

    def save_checkpoint(self, index: int, checkpoint: str) -> None:
        """Save the newest checkpoint of a task, or of its whole gang."""
        self.checkpoints[self._checkpoint_key(index)] = checkpoint

    def _checkpoint_key(self, index: int) -> int:
        return 0 if self.step.is_gang else index

    def mark_done(self, index: int) -> None:
        """Mark a task as done."""
        self.done.add(index)
        self.pending.discard(index)
        self.open.discard(index)
        self.clear_crashes(index)
        self.late_crashed.pop(index, None)
        self.failed.pop(index, None)
        self.checkpoints.pop(index, None)

    def record(self) -> StepRecord:
        """Return the record that a successor needs."""
        placed = {
            i: tuple(Placement(r.worker, r.number, r.incarnation) for r in runs)
            for i, runs in self.runs.items()
        }
        return StepRecord(
            self.done.copy(),
            {i: tuple(sorted(numbers)) for i, numbers in self.failed.items()},
            self._recorded_checkpoints(),
            placed,
            {i: tuple(sorted(numbers)) for i, numbers in self.crashed.items()},
            {i: tuple(sorted(numbers)) for i, numbers in self.unconfirmed.items()},
        )

    def _recorded_checkpoints(self) -> dict[int, str]:
        """Return the checkpoint of each task, as entries of all versions read them."""
        if self.step.is_gang and self.checkpoints:
            return dict.fromkeys(range(self.step.count), self.checkpoint_of(0))
        return dict(self.checkpoints)

    def _restore_checkpoints(self, recorded: Mapping[int, str]) -> None:
        """Restore checkpoints; an earlier version may have recorded several of a gang.

        The one that most members have is the newest that all have reached.
        """
        if not self.step.is_gang:
            self.checkpoints = dict(recorded)
        elif recorded:
            ((checkpoint, _),) = Counter(recorded.values()).most_common(1)
            self.checkpoints = {self._checkpoint_key(0): checkpoint}

    def restore(self, record: StepRecord) -> None:
        """Restore the progress that a predecessor has committed."""
        self.done = IndexSet(record.done)
        self.pending = self.done.complement(self.step.count)
        self.failed = {i: set(numbers) for i, numbers in record.failed.items()}
        self._restore_checkpoints(record.checkpoints)
        self.crashed = {i: set(numbers) for i, numbers in record.crashed.items()}
        self.unconfirmed = {
            i: set(numbers) for i, numbers in record.unconfirmed.items()
        }
        touched = {
            *record.failed,
            *record.checkpoints,
            *record.placed,
            *record.crashed,
        }
        self.open = touched.difference(self.done)


class ActiveJob:
    """A job that has not ended.

    ``accepted_ms`` is the time of its acceptance by the holder's clock. ``version``
    is the store's version of the job's row, and ``progress_version`` that of its
    progress row, 0 while there is none. ``uncommitted_ends`` are the ends processed
    since the last record of its progress. ``expected`` holds the run times expected
    of each step, and ``step_paths_ms`` the length of the longest chain of steps that
    begins with it. ``least_share`` is the share of these times that the job takes in
    most cases, 0 if nothing is known.
    ``may_have_unknown_runs`` is true for a job that a predecessor may have started.
    ``record_age_ms`` is the age of the progress record from which it was restored.
    ``awaits_group_since_ms`` is the time since when suspects of the job have waited
    for an isolation group, ``None`` if none waits for one. ``next_ready_step`` is the
    place among the ready steps at which the next planning round begins, if these are
    too many for one round. ``has_other_cancel`` is set if a cancel row of another team
    lies beside the job's rows, and ``is_beyond_share`` if its team had sent more jobs
    than its share.
    """

    def __init__(self, workload: Workload, accepted_ms: float, version: int):
        self.workload = workload
        self.accepted_ms = accepted_ms
        self.version = version
        self.progress_version = 0
        self.state = JobState.QUEUED
        self.finished = 0
        self.occurrences: dict[int, list[ActiveStep]] = {}
        self.expected = [
            ExpectedRunTime(float(step.estimate_ms), float(step.estimate_ms))
            for step in workload.steps
        ]
        self.least_share = 0.0
        self.step_paths_ms: tuple[float, ...] = ()
        self.critical_path_ms = 0.0
        self._update_paths()
        self.is_dirty = False
        self.may_have_unknown_runs = False
        self.record_age_ms = 0.0
        self.awaits_group_since_ms: float | None = None
        self.next_ready_step = 0
        self.has_other_cancel = False
        self.is_beyond_share = False
        self.uncommitted_ends: list[EndRef] = []
        self.failed_on: dict[tuple[int, int], frozenset[WorkerId]] = {}
        self._recorded_placements: list[tuple[TaskRef, Placement]] = []
        self.remaining_core_ms = 0.0
        self.remaining_path_ms = 0.0
        self.begin_occurrence(0)

    @property
    def job_id(self) -> JobId:
        """Return the job's id."""
        return self.workload.job_id

    def add_failed_worker(self, step: int, index: int, worker: WorkerId) -> None:
        """Record that a task has failed on a worker."""
        key = (step, index)
        self.failed_on[key] = self.failed_on.get(key, frozenset()) | {worker}

    def pop_uncommitted_ends(self) -> tuple[EndRef, ...]:
        """Return the ends processed since the last call."""
        ends, self.uncommitted_ends = tuple(self.uncommitted_ends), []
        return ends

    def begin_occurrence(self, occurrence: int) -> list[ActiveStep]:
        """Return the steps of an occurrence, which the first call creates."""
        if occurrence not in self.occurrences:
            self.occurrences[occurrence] = [
                ActiveStep(step, number, occurrence, IndexSet.from_range(step.count))
                for number, step in enumerate(self.workload.steps)
            ]
            self.occurrences = dict(sorted(self.occurrences.items()))
            self.update_remaining_work()
        return self.occurrences[occurrence]

    def find_step(self, task: TaskRef) -> ActiveStep | None:
        """Return the step of a task, ``None`` if the job has no such task."""
        if not 0 <= task.occurrence < self.workload.schedule.occurrences:
            return None
        if task.occurrence < self.finished:
            return None
        if not 0 <= task.step < len(self.workload.steps):
            return None
        if not 0 <= task.index < self.workload.steps[task.step].count:
            return None
        return self.begin_occurrence(task.occurrence)[task.step]

    def steps(self) -> Iterable[ActiveStep]:
        """Return the steps of all active occurrences."""
        for steps in self.occurrences.values():
            yield from steps

    def runs(self) -> Iterable[Run]:
        """Return all runs of the job."""
        for step in self.steps():
            for runs in step.runs.values():
                yield from runs

    @property
    def has_suspects(self) -> bool:
        """Return whether a task of the job may crash the workers that start it."""
        return any(step.suspects for step in self.steps())

    @property
    def has_waiting_tasks(self) -> bool:
        """Return whether tasks wait, for free capacity or for earlier steps."""
        return any(step.pending for step in self.steps())

    def ready_steps(self, wall_ms: float) -> Iterable[ActiveStep]:
        """Return the steps with waiting tasks that are due and need no other step."""
        for occurrence, steps in self.occurrences.items():
            if wall_ms < self.workload.schedule.due_ms(occurrence):
                continue
            for step in steps:
                if step.pending and all(steps[n].is_done for n in step.step.after):
                    yield step

    @property
    def max_active_occurrences(self) -> int:
        """Return how many occurrences may be active at once."""
        fitting = MAX_ACTIVE_STEPS // max(1, len(self.workload.steps))
        return max(1, min(MAX_ACTIVE_OCCURRENCES, fitting))

    @property
    def startable_tasks(self) -> int:
        """Return how many tasks may still be started that never were."""
        return max(0, MAX_OPEN_TASKS - sum(len(step.open) for step in self.steps()))

    def begin_due_occurrences(self, wall_ms: float) -> None:
        """Begin the occurrences that are due, up to ``max_active_occurrences``.

        A successor knows an occurrence from its progress or its runs. Earlier ones that
        have neither begin in any case, as the job cannot end without them.
        """
        schedule = self.workload.schedule
        if schedule.repeats == 0:
            return
        highest = max(self.occurrences, default=self.finished - 1)
        for occurrence in range(self.finished, schedule.occurrences):
            if occurrence in self.occurrences:
                continue
            is_later = occurrence > highest
            if is_later and len(self.occurrences) >= self.max_active_occurrences:
                return
            if wall_ms < schedule.due_ms(occurrence):
                return
            self.begin_occurrence(occurrence)

    def drop_finished_occurrences(self) -> bool:
        """Drop leading occurrences that are done; return whether the job is done."""
        while self.finished in self.occurrences and all(
            step.is_done for step in self.occurrences[self.finished]
        ):
            del self.occurrences[self.finished]
            self.finished += 1
        return self.finished == self.workload.schedule.occurrences

    def count_done_task(self, step: ActiveStep, count: int) -> None:
        """Subtract tasks that were just done from the remaining work."""
        if step.is_done:
            self.update_remaining_work()
        else:
            self.remaining_core_ms -= count * self.work_core_ms(step.number)

    def set_expected(self, expected: Sequence[ExpectedRunTime]) -> None:
        """Set the run times that are expected of each step."""
        self.expected = list(expected)
        self._update_paths()
        self.update_remaining_work()

    def update_expected(self, step: int, expected: ExpectedRunTime) -> None:
        """Set the run times that are expected of one step."""
        self.set_expected([*self.expected[:step], expected, *self.expected[step + 1 :]])

    def _update_paths(self) -> None:
        self.least_share = min((e.least_share for e in self.expected), default=0.0)
        durations_ms = [expected.slowest_ms for expected in self.expected]
        self.step_paths_ms = critical_path_ms(self.workload.steps, durations_ms)
        self.critical_path_ms = max(self.step_paths_ms, default=0.0)

    def work_core_ms(self, step: int) -> float:
        """Return the expected work of one task of a step, in core-milliseconds."""
        return self.expected[step].task_ms * self.workload.steps[step].shape.processors

    def update_remaining_work(self) -> None:
        """Update the remaining work, in total and along the critical path."""
        work = 0.0
        path = 0.0
        for step in self.steps():
            remaining = step.step.count - len(step.done)
            if remaining:
                work += remaining * self.work_core_ms(step.number)
                path = max(path, self.step_paths_ms[step.number])
        self.remaining_core_ms = work
        self.remaining_path_ms = path

    def record(self) -> ProgressRecord:
        """Return the record from which a successor can resume the job."""
        steps = {
            (step.occurrence, step.number): step.record()
            for step in self.steps()
            if step.done or step.runs or step.failed or step.checkpoints or step.crashed
        }
        return ProgressRecord(self.state, self.finished, steps, team=self.workload.team)

    def restore(self, record: ProgressRecord) -> None:
        """Restore the progress that a predecessor has committed."""
        self.state = record.state
        self.finished = record.finished
        self.occurrences = {}
        if self.finished < self.workload.schedule.occurrences:
            self.begin_occurrence(self.finished)
        for (occurrence, number), step in record.steps.items():
            self.begin_occurrence(occurrence)[number].restore(step)
            self._recorded_placements += [
                (TaskRef(self.job_id, occurrence, number, index), placement)
                for index, placements in step.placed.items()
                for placement in placements
            ]
        self.update_remaining_work()

    def pop_recorded_placements(self) -> list[tuple[TaskRef, Placement]]:
        """Return the runs that a predecessor recorded, once."""
        placements, self._recorded_placements = self._recorded_placements, []
        return placements
