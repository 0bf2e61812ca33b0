"""The scheduler's model of workers: capacity, leases, runs and reports."""

import enum
import math
from dataclasses import dataclass, field
from typing import NamedTuple

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.ids import JobId, ServiceName, TeamName, VmId, WorkerId

CLOCK_DRIFT = 0.02  # share by which a worker's clock may run slow
LEASE_SLACK_MS = 100.0
BACKOFF_AFTER_FAILURES_MS = 4000.0
FAILED_JOBS_BEFORE_BACKOFF = 2
NOTHING = Shape(0.0, 0)
FULL_PERCENT = 100  # of the pace of a run

MIN_RATED_MS = 300.0  # between reports, which show progress in percent
USUAL_ANSWER_MS = 50.0  # of a worker; most answers take a few ms
CLOCK_SLACK_MS = 50.0  # far below the age that a process reaches

RunKey = tuple[TaskRef, int]  # a task and the number of its run


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """A worker's entry in the platform's list.

    ``labels`` holds the worker's kind and its rack. ``incarnation`` changes with
    every start of the worker's process.
    """

    worker: WorkerId
    service: ServiceName
    address: str
    zone: str
    capacity: Shape
    labels: tuple[str, ...]
    vm: VmId
    incarnation: str
    is_draining: bool = False

    @property
    def rack(self) -> tuple[str, ...]:
        """Return the worker's zone and rack, the zone alone if it names no rack."""
        return (self.zone, *self.labels[1:])


@dataclass(frozen=True, slots=True)
class ReportedRun:
    """A run in a worker's report.

    ``load`` is the tail latency in ms for a task that serves users, and the number
    of processors in use for any other task. ``percent`` is the progress. A lasting task
    reports 100 while it serves its users.
    """

    task: TaskRef
    number: int
    checkpoint: str
    percent: float
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class ReportedEnd:
    """An ended run in a worker's report.

    ``sequence`` increases within one incarnation of the worker.
    """

    sequence: int
    task: TaskRef
    number: int
    kind: EndKind
    checkpoint: str


class EndRef(NamedTuple):
    """Key of a reported end: the worker, its incarnation and the sequence number."""

    worker: WorkerId
    incarnation: str
    sequence: int


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's runs and ended runs, as of ``clock_ms`` of its own clock.

    A report with more ends than fit into one answer is not complete.
    """

    incarnation: str
    clock_ms: float
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]
    is_complete: bool = True

    @property
    def run_keys(self) -> frozenset[RunKey]:
        """Return the runs that it lists, at work or ended."""
        return frozenset((run.task, run.number) for run in (*self.running, *self.ended))


class RunState(enum.Enum):
    """What is wanted of a run: that it begins, goes on or stops."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class StartState(enum.Enum):
    """How far the order to start a run has got.

    It is planned until it is sent, and sent until its call ends. An ``UNANSWERED`` one
    may have been carried out, or may still be.
    """

    PLANNED = "planned"
    SENT = "sent"
    UNANSWERED = "unanswered"
    CONFIRMED = "confirmed"


@dataclass(slots=True)
class Run:
    """One run of a task on a worker.

    ``fence`` is the fence number of the start order. Reports that were requested
    before ``state_since_ms`` may not reflect ``state`` yet. ``pace_percent`` is
    the share of full speed that the worker last confirmed (a guess for a filler that a
    predecessor has started), and ``paced_ms`` the time of the last order to change it.
    ``incarnation`` is the worker's at the start.
    ``ordered_ms`` is the time at which the order to start it was sent, before that the
    time of its planning, and ``begun_ms`` the time by which the worker had confirmed
    that it runs, ``None`` until then. Neither is known for a run that a predecessor
    has started. ``is_proven`` is set once the run has passed its probation: if its
    worker crashes afterwards, the run is unlikely to be the cause.
    ``may_have_stopped`` is set once an order to stop it may have had an effect.
    ``start`` tells how far the order to start it has got, and ``is_attributed`` is set
    once it is known which process of the worker has begun it. ``usage`` counts towards
    the quota of ``team``. ``was_resumed`` tells that it started from a checkpoint.
    ``progress_ms`` is the time of the last report of its progress, ``changed_ms`` that
    of the first one that showed the present progress, and ``rate_per_ms`` the percent
    that it made a millisecond between two reports, ``None`` if not known.
    """

    task: TaskRef
    number: int
    worker: WorkerId
    reservation: Shape
    fence: int
    state: RunState
    state_since_ms: float
    percent: float = 0.0
    load: float = 0.0
    pace_percent: int = FULL_PERCENT
    paced_ms: float = 0.0
    incarnation: str = ""
    ordered_ms: float = -math.inf
    begun_ms: float | None = None
    is_proven: bool = False
    may_have_stopped: bool = False
    start: StartState = StartState.PLANNED
    is_attributed: bool = False
    team: TeamName | None = None
    usage: Shape = NOTHING
    was_resumed: bool = False
    progress_ms: float | None = None
    changed_ms: float = -math.inf
    rate_per_ms: float | None = None
    _rated_ms: float = 0.0
    _rated_percent: float = 0.0

    @property
    def key(self) -> RunKey:
        """Return the task and the number of the run."""
        return (self.task, self.number)

    @property
    def is_unsent(self) -> bool:
        """Return whether the order to start it was not sent yet."""
        return self.start is StartState.PLANNED

    @property
    def is_adopted(self) -> bool:
        """Return whether a predecessor has started it."""
        return self.ordered_ms == -math.inf

    @property
    def state_before_stop(self) -> RunState:
        """Return the state that it has unless it is to stop."""
        is_confirmed = self.start is StartState.CONFIRMED
        return RunState.RUNNING if is_confirmed else RunState.STARTING

    def note_progress(self, percent: float, now_ms: float) -> None:
        """Note the progress in a report that has just arrived."""
        if self.progress_ms is None:
            self._rated_ms, self._rated_percent = now_ms, percent
        elif now_ms - self._rated_ms >= MIN_RATED_MS:
            made = max(0.0, percent - self._rated_percent)
            self.rate_per_ms = made / (now_ms - self._rated_ms)
            self._rated_ms, self._rated_percent = now_ms, percent
        if self.progress_ms is None or percent != self.percent:
            self.changed_ms = now_ms
        self.progress_ms = now_ms
        self.percent = percent

    def is_overdue(self, now_ms: float) -> bool:
        """Return whether the answer to its start is late, or did not come."""
        if self.start is StartState.SENT:
            return now_ms - self.ordered_ms >= USUAL_ANSWER_MS
        return self.start is StartState.UNANSWERED


@dataclass(slots=True)
class WorkerView:
    """A worker with all runs that it has or may have.

    All ends up to ``processed_sequence`` are processed. ``processed_ahead`` holds
    later ends that are processed too, behind one that must wait for its job. The worker
    was told that ends up to ``acknowledged_sequence`` are committed.
    ``uncommitted_ends`` are processed, but their effect is not committed yet.
    No task is started on a worker before the store records the worker, so that a
    successor can find every worker that may run something.
    ``fence_increment`` is added to the term's fence number. Raising it makes the
    worker refuse orders that are still in flight. ``clock_ms`` is the worker's
    clock in its last report, which arrived at ``clock_received_ms``. ``free`` is the
    capacity less the reservations of all runs, also of those that are being stopped.
    ``heard_ms`` is the time of the last report or answer to an order.
    ``lapsed_runs`` were lost when the lease of this incarnation expired; whether the
    worker had crashed is not known yet. ``restarted_ms`` is the time at which the
    platform's list or an answer showed a new process that has not sent a report yet,
    and nothing is started until it has. By ``stray_leases_end_ms`` all leases have
    expired that were meant for an earlier process: a new one counts them by its own
    clock, and so for longer. Until ``slow_until_ms`` the worker counts as slow, and
    ``asked_ms`` is the time of the last report requested for tasks that are overdue.
    """

    info: WorkerInfo
    known_since_ms: float
    is_listed: bool = True
    is_recorded: bool = False
    is_evacuating: bool = False
    draining_since_ms: float | None = None
    incarnation: str | None = None
    processed_sequence: int = 0
    acknowledged_sequence: int = 0
    processed_ahead: set[int] = field(default_factory=set)
    uncommitted_ends: set[int] = field(default_factory=set)
    fence_increment: int = 0
    runs: dict[TaskRef, Run] = field(default_factory=dict)
    lapsed_runs: list[Run] = field(default_factory=list)
    free: Shape = field(init=False)
    clock_ms: float | None = None
    clock_received_ms: float = 0.0
    leased_until_ms: float = 0.0
    stray_leases_end_ms: float = -math.inf
    restarted_ms: float | None = None
    is_silent: bool = False
    has_terminated: bool = False  # its process, as the list of VMs shows
    silent_since_ms: float | None = None  # None while it answers, or if not known
    heard_ms: float = field(init=False)
    has_unread_ends: bool = False
    has_unread_runs: bool = False  # of jobs that could not be read yet
    has_unneeded_runs: bool = False  # reported ones that are not in ``runs``
    backoff_until_ms: float = 0.0
    slow_until_ms: float = 0.0
    asked_ms: float = 0.0
    consecutive_failed_jobs: list[str] = field(default_factory=list)

    def __post_init__(self):
        self.heard_ms = self.known_since_ms
        self._update_free()

    def is_slow(self, now_ms: float) -> bool:
        """Return whether the worker was found to be slow a short while ago."""
        return now_ms < self.slow_until_ms

    @property
    def is_leaving(self) -> bool:
        """Return whether the end of the worker's process is planned."""
        return self.is_evacuating or self.draining_since_ms is not None

    @property
    def is_in_service(self) -> bool:
        """Return whether the worker is listed, answers, and is not to be emptied."""
        return self.is_listed and not self.is_silent and not self.is_leaving

    @property
    def is_running(self) -> bool:
        """Return whether anything runs on the worker, or may run there."""
        return bool(self.runs) or self.has_unread_runs

    @property
    def has_unknown_reservations(self) -> bool:
        """Return whether runs are reported that ``free`` does not count."""
        return self.has_unread_runs or self.has_unneeded_runs

    @property
    def committed_sequence(self) -> int:
        """Return the sequence number up to which all ends are committed."""
        return min(
            self.processed_sequence,
            min(self.uncommitted_ends, default=self.processed_sequence + 1) - 1,
        )

    def clock_estimate_ms(self, now_ms: float) -> float | None:
        """Return a lower bound of the worker's clock.

        Returns ``None`` for a worker that has not sent a report.
        """
        if self.clock_ms is None:
            return None
        return self.clock_ms + (now_ms - self.clock_received_ms) * (1.0 - CLOCK_DRIFT)

    def lease_end_ms(self, predecessor_leases_end_ms: float) -> float:
        """Return when the last lease has certainly expired, in the holder's time.

        A predecessor may have granted a lease until ``predecessor_leases_end_ms``.
        """
        unknown_ms = max(predecessor_leases_end_ms, self.stray_leases_end_ms)
        if self.clock_ms is None:
            return unknown_ms
        left_ms = max(0.0, self.leased_until_ms - self.clock_ms)
        own_ms = self.clock_received_ms + left_ms / (1.0 - CLOCK_DRIFT) + LEASE_SLACK_MS
        return max(own_ms, unknown_ms)

    def extend_lease(self, length_ms: float, now_ms: float) -> int | None:
        """Extend the lease, and return its end in ms of the worker's clock.

        Returns ``None`` if the clock is not known yet.
        """
        clock_ms = self.clock_estimate_ms(now_ms)
        if clock_ms is None:
            return None
        until_ms = int(clock_ms + length_ms)
        self.leased_until_ms = max(self.leased_until_ms, until_ms)
        return until_ms

    def count_failed_job(self, job_id: JobId, now_ms: float) -> None:
        """Back off from a worker on which several jobs in a row have failed."""
        if job_id not in self.consecutive_failed_jobs:
            self.consecutive_failed_jobs.append(job_id)
        if len(self.consecutive_failed_jobs) >= FAILED_JOBS_BEFORE_BACKOFF:
            self.backoff_until_ms = now_ms + BACKOFF_AFTER_FAILURES_MS

    def forget_process(self) -> None:
        """Forget what an earlier process has reported; its counts start anew."""
        self.incarnation = None
        self.restarted_ms = None
        self.has_terminated = False
        self.processed_sequence = 0
        self.acknowledged_sequence = 0
        self.processed_ahead.clear()
        self.uncommitted_ends.clear()
        self.has_unread_runs = False
        self.has_unneeded_runs = False
        self.clock_ms = None
        self.leased_until_ms = 0.0
        self.consecutive_failed_jobs.clear()
        self.slow_until_ms = 0.0

    def shows_other_process(self, clock_ms: float, sent_ms: float) -> bool:
        """Return whether the answer to an order of ``sent_ms`` is another process's.

        The clock of a process starts anew, so that it shows less than that of the
        process that has sent the last report.
        """
        least_ms = self.clock_estimate_ms(sent_ms)
        return least_ms is not None and clock_ms < least_ms - CLOCK_SLACK_MS

    def pop_acknowledgement(self, now_ms: float) -> int:
        """Return the sequence number up to which the worker may forget its ends.

        It is named once, and again only after a request without an answer: a process
        that has just replaced the reporting one would take it for its own ends. For
        the same reason nothing is named while another process may have run something.
        """
        sequence = self.committed_sequence
        may_have_restarted = self.is_silent or self.restarted_ms is not None
        if may_have_restarted or sequence <= self.acknowledged_sequence:
            return 0
        if any(run.is_overdue(now_ms) for run in self.runs.values()):
            return 0
        self.acknowledged_sequence = sequence
        return sequence

    @property
    def is_over_capacity(self) -> bool:
        """Return whether the runs reserve more than the worker's present capacity."""
        return not NOTHING.fits_in(self.free)

    def set_info(self, info: WorkerInfo) -> None:
        """Replace the worker's entry; its capacity may differ from the last one."""
        self.info = info
        self._update_free()

    def add_run(self, run: Run) -> None:
        """Add a run, and subtract its reservation from the free capacity."""
        self.runs[run.task] = run
        self.free = self.free.minus(run.reservation)

    def remove_run(self, run: Run) -> None:
        """Remove a run, if it is the current one of its task, and free its capacity."""
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
            self._update_free()

    def _update_free(self) -> None:
        """Compute the free capacity, which is negative after a capacity has shrunk."""
        self.free = self.info.capacity
        for run in self.runs.values():
            self.free = self.free.minus(run.reservation)
