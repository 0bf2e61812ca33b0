"""How far a job has come, and the record from which a successor goes on."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from corianderpitch.domain.jobs import JobState
from corianderpitch.domain.scheduling.workers import EndRef, Run
from corianderpitch.domain.scheduling.workloads import (
    Step,
    TaskRef,
    Workload,
    chain_ms,
)
from corianderpitch.ids import JobId, WorkerId


@dataclass(frozen=True, slots=True)
class StepRecord:
    """Committed progress of one step of one occurrence.

    ``failed`` lists, for each task, the numbers of its failed runs: an end that
    is listed twice counts once. ``placed`` names the worker of each run.
    """

    done: tuple[int, ...] = ()
    failed: dict[int, tuple[int, ...]] = field(default_factory=dict)
    checkpoints: dict[int, str] = field(default_factory=dict)
    placed: dict[int, tuple[WorkerId, ...]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ProgressRecord:
    """Committed progress of a job: its state and the steps that have begun.

    ``finished`` is the number of leading occurrences that are done as a whole.
    ``ended_ms`` is the store's time of the job's end, 0 before.
    """

    state: JobState
    finished: int = 0
    steps: dict[tuple[int, int], StepRecord] = field(default_factory=dict)
    ended_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Ticket:
    """Leave to start tasks of one step on one life of a worker."""

    text: str
    life: str
    until_ms: float


@dataclass(slots=True)
class ActiveStep:
    """A step of one occurrence: which of its tasks wait, run or are done.

    ``begun`` tasks have been started at some time. ``tickets`` are those of the
    advice service; ``denied`` names lives of workers that it does not allow.
    """

    step: Step
    number: int
    occurrence: int
    pending: set[int]
    done: set[int] = field(default_factory=set)
    failed: dict[int, set[int]] = field(default_factory=dict)
    checkpoints: dict[int, str] = field(default_factory=dict)
    runs: dict[int, list[Run]] = field(default_factory=dict)
    begun: set[int] = field(default_factory=set)
    tickets: dict[WorkerId, Ticket] = field(default_factory=dict)
    denied: set[tuple[WorkerId, str]] = field(default_factory=set)

    @property
    def is_done(self) -> bool:
        """Tell whether all tasks are done."""
        return len(self.done) == self.step.count

    def failures(self, index: int) -> int:
        """Return how often a task has failed; a gang fails as a whole."""
        if not self.step.is_gang:
            return len(self.failed.get(index, ()))
        return len(set().union(*self.failed.values()))

    def ticket_for(self, worker: WorkerId) -> str:
        """Return the ticket for a worker, empty where there is none."""
        ticket = self.tickets.get(worker)
        return ticket.text if ticket is not None else ""

    def finish(self, index: int) -> None:
        """Note that a task is done."""
        self.done.add(index)
        self.pending.discard(index)
        self.checkpoints.pop(index, None)

    def record(self) -> StepRecord:
        """Return what a successor needs."""
        placed = {i: tuple(r.worker for r in runs) for i, runs in self.runs.items()}
        return StepRecord(
            tuple(sorted(self.done)),
            {i: tuple(sorted(numbers)) for i, numbers in self.failed.items()},
            dict(self.checkpoints),
            placed,
        )

    def restore(self, record: StepRecord) -> None:
        """Take over what a predecessor has committed."""
        for index in record.done:
            self.finish(index)
        self.failed = {i: set(numbers) for i, numbers in record.failed.items()}
        self.checkpoints = dict(record.checkpoints)
        self.begun = {*record.failed, *record.checkpoints, *record.placed}


class ActiveJob:
    """A job that has not ended.

    ``accepted_ms`` is the holder's own time of its acceptance, ``version`` the
    store's version of its row; ``progress_version`` is that of the row with its
    progress, 0 while there is none. ``open_ends`` are ends taken in since the last
    record of its progress.
    """

    def __init__(self, workload: Workload, accepted_ms: float, version: int):
        self.workload = workload
        self.accepted_ms = accepted_ms
        self.version = version
        self.progress_version = 0
        self.state = JobState.QUEUED
        self.finished = 0
        self.occurrences: dict[int, list[ActiveStep]] = {}
        self.tails_ms = chain_ms(workload.steps)
        self.chain_ms = max(self.tails_ms, default=0.0)
        self.is_dirty = False
        self.is_uncertain = False
        self.open_ends: list[EndRef] = []
        self.failed_on: dict[tuple[int, int], frozenset[WorkerId]] = {}
        self.left_core_ms = 0.0
        self.left_chain_ms = 0.0
        self.begin(0)

    @property
    def job_id(self) -> JobId:
        """Return the job's id."""
        return self.workload.job_id

    def avoid(self, step: int, index: int, worker: WorkerId) -> None:
        """Remember that a task has failed on a worker."""
        key = (step, index)
        self.failed_on[key] = self.failed_on.get(key, frozenset()) | {worker}

    def take_open_ends(self) -> tuple[EndRef, ...]:
        """Return the ends taken in since the last call."""
        ends, self.open_ends = tuple(self.open_ends), []
        return ends

    def begin(self, occurrence: int) -> list[ActiveStep]:
        """Return the steps of an occurrence, made when first asked for."""
        if occurrence not in self.occurrences:
            self.occurrences[occurrence] = [
                ActiveStep(step, number, occurrence, set(range(step.count)))
                for number, step in enumerate(self.workload.steps)
            ]
            self.recount()
        return self.occurrences[occurrence]

    def find(self, task: TaskRef) -> ActiveStep | None:
        """Return the step of a task, ``None`` if the job has no such task."""
        if not 0 <= task.occurrence < self.workload.schedule.occurrences:
            return None
        if task.occurrence < self.finished:
            return None
        if not 0 <= task.step < len(self.workload.steps):
            return None
        if not 0 <= task.index < self.workload.steps[task.step].count:
            return None
        return self.begin(task.occurrence)[task.step]

    def steps(self) -> Iterable[ActiveStep]:
        """Return the steps of all occurrences under way."""
        for steps in self.occurrences.values():
            yield from steps

    def runs(self) -> Iterable[Run]:
        """Return all runs of the job."""
        for step in self.steps():
            for runs in step.runs.values():
                yield from runs

    @property
    def has_waiting_tasks(self) -> bool:
        """Tell whether tasks wait, for room or for steps before theirs."""
        return any(step.pending for step in self.steps())

    def ready_steps(self, wall_ms: float) -> Iterable[ActiveStep]:
        """Return the steps whose predecessors are done and whose time has come."""
        for occurrence, steps in self.occurrences.items():
            if wall_ms < self.workload.schedule.due_ms(occurrence):
                continue
            for step in steps:
                if step.pending and all(steps[n].is_done for n in step.step.after):
                    yield step

    def begin_due(self, wall_ms: float) -> None:
        """Begin the occurrences whose time has come."""
        schedule = self.workload.schedule
        if schedule.repeats == 0:
            return
        following = max(self.occurrences, default=self.finished - 1) + 1
        while following < schedule.occurrences and wall_ms >= schedule.due_ms(
            following
        ):
            self.begin(following)
            following += 1

    def settle_occurrences(self) -> bool:
        """Drop finished occurrences; returns whether the whole job is done."""
        while self.finished in self.occurrences and all(
            step.is_done for step in self.occurrences[self.finished]
        ):
            del self.occurrences[self.finished]
            self.finished += 1
        return self.finished == self.workload.schedule.occurrences

    def recount(self) -> None:
        """Work out how much work is left, in total and along the longest chain."""
        work = 0.0
        chain = 0.0
        for step in self.steps():
            left = step.step.count - len(step.done)
            if left:
                work += left * step.step.work_core_ms
                chain = max(chain, self.tails_ms[step.number])
        self.left_core_ms = work
        self.left_chain_ms = chain

    def record(self) -> ProgressRecord:
        """Return what a successor needs to go on."""
        steps = {
            (step.occurrence, step.number): step.record()
            for step in self.steps()
            if step.done or step.runs or step.failed or step.checkpoints
        }
        return ProgressRecord(self.state, self.finished, steps)

    def restore(self, record: ProgressRecord) -> None:
        """Take over what a predecessor has committed."""
        self.state = record.state
        self.finished = record.finished
        self.occurrences = {}
        if self.finished < self.workload.schedule.occurrences:
            self.begin(self.finished)
        for (occurrence, number), step in record.steps.items():
            self.begin(occurrence)[number].restore(step)
        self.recount()
