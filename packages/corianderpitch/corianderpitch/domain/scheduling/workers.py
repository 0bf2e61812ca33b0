"""Workers as the scheduler sees them: room, lease, lists of runs and ends."""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.workloads import TaskRef
from corianderpitch.ids import ServiceName, VmId, WorkerId

CLOCK_DRIFT = 0.02
LEASE_SLACK_MS = 100.0


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
    """What a worker says of itself in the platform's list.

    ``labels`` holds its kind and its rack. ``life`` changes with every start
    of the worker's process.
    """

    worker: WorkerId
    service: ServiceName
    address: str
    zone: str
    capacity: Shape
    labels: tuple[str, ...]
    vm: VmId
    life: str
    is_draining: bool = False


@dataclass(frozen=True, slots=True)
class ListedRun:
    """A run in a worker's list.

    ``load`` is the tail latency in ms of a task that serves users, and the
    processors in use of any other.
    """

    task: TaskRef
    number: int
    checkpoint: str
    percent: float
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class ListedEnd:
    """An end in a worker's list; ``sequence`` grows within one life."""

    sequence: int
    task: TaskRef
    number: int
    kind: EndKind
    checkpoint: str


class EndRef(NamedTuple):
    """Names one end: the worker, its life, and the end's place in its list."""

    worker: WorkerId
    life: str
    sequence: int


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's list, as of ``clock_ms`` of its own clock.

    Without ``is_whole`` there are more ends than fit into one answer.
    """

    life: str
    clock_ms: float
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
    is_whole: bool = True


class RunState(enum.Enum):
    """What is known of a run.

    ``UNSETTLED`` is a start or a stop that got no answer; it may still be
    carried out.
    """

    STARTING = "starting"
    RUNNING = "running"
    UNSETTLED = "unsettled"
    STOPPING = "stopping"


@dataclass(slots=True)
class Run:
    """One run of a task on a worker.

    ``fence`` is the number that its start carried. ``pace_percent`` is the share
    of its speed that it was last let work at, ``paced_ms`` when that was ordered.
    """

    task: TaskRef
    number: int
    worker: WorkerId
    room: Shape
    fence: int
    state: RunState
    since_ms: float
    percent: float = 0.0
    load: float = 0.0
    pace_percent: int = 100
    paced_ms: float = 0.0


@dataclass(slots=True)
class WorkerView:
    """A worker with everything that runs there or may run there.

    ``seen`` is the end up to which all are taken in, ``taken_ahead`` are those behind
    one that must wait; ``open_ends`` are those whose effect is not committed yet. A
    worker is given nothing before it is recorded in the store, so that a successor
    knows of every worker that may run something.
    ``fence_bump`` is added to the holder's fence number; raising it makes sure
    that orders still under way are refused.
    """

    info: WorkerInfo
    since_ms: float
    is_listed: bool = True
    is_recorded: bool = False
    is_evacuated: bool = False
    draining_since_ms: float | None = None
    life: str | None = None
    seen: int = 0
    taken_ahead: set[int] = field(default_factory=set)
    open_ends: set[int] = field(default_factory=set)
    fence_bump: int = 0
    runs: dict[TaskRef, Run] = field(default_factory=dict)
    free: Shape = field(init=False)
    clock_ms: float | None = None
    clock_at_ms: float = 0.0
    leased_until_ms: float = 0.0
    is_silent: bool = False
    has_unread_ends: bool = False
    has_unread_runs: bool = False  # of jobs that could not be read yet
    rest_until_ms: float = 0.0
    failed_jobs: list[str] = field(default_factory=list)

    def __post_init__(self):
        self.free = self.info.capacity

    @property
    def is_running(self) -> bool:
        """Tell whether anything runs there, or may run there."""
        return bool(self.runs) or self.has_unread_runs

    @property
    def settled(self) -> int:
        """Return the last end up to which the effects of all are committed."""
        return min(self.seen, min(self.open_ends, default=self.seen + 1) - 1)

    def clock_estimate_ms(self, now_ms: float) -> float | None:
        """Return a lower bound of the worker's clock, ``None`` if never heard."""
        if self.clock_ms is None:
            return None
        return self.clock_ms + (now_ms - self.clock_at_ms) * (1.0 - CLOCK_DRIFT)

    def lease_end_ms(self, predecessors_ms: float) -> float:
        """Return when the last lease has certainly lapsed, in the holder's time.

        A predecessor may have given a lease until ``predecessors_ms``.
        """
        if self.clock_ms is None:
            return predecessors_ms
        left_ms = max(0.0, self.leased_until_ms - self.clock_ms)
        own_ms = self.clock_at_ms + left_ms / (1.0 - CLOCK_DRIFT) + LEASE_SLACK_MS
        return max(own_ms, predecessors_ms)

    def add(self, run: Run) -> None:
        """Count a run against the worker's room."""
        self.runs[run.task] = run
        self.free = self.free.minus(run.room)

    def drop(self, run: Run) -> None:
        """Free the room of a run, if it is the one held for its task."""
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
            used = [other.room for other in self.runs.values()]
            self.free = self.info.capacity
            for room in used:
                self.free = self.free.minus(room)
