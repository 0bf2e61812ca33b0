"""Interfaces between the daemon and external systems.

The ``adapters`` package holds in-memory implementations for tests and for the
sample platform, and implementations that use the network.
"""

import abc
import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from returns.result import Result

from corianderpitch.domain.jobs import Shape, Task, Worker
from corianderpitch.domain.outcomes import Answered
from corianderpitch.domain.platform import ListedVm, VmAction, VmActionState
from corianderpitch.domain.scheduling.advice import AdviceRequest
from corianderpitch.domain.scheduling.catalog import OperatorChanges
from corianderpitch.domain.scheduling.maintenance import PoolVm
from corianderpitch.domain.scheduling.orders import (
    OrderResult,
    PaceRun,
    StartReply,
    StartRun,
    StopRun,
)
from corianderpitch.domain.scheduling.workers import WorkerInfo, WorkerReport
from corianderpitch.errors import (
    CommitError,
    HistoryLost,
    InstanceError,
    PlatformError,
    WorkerError,
)
from corianderpitch.ids import (
    DataCenterId,
    EntryId,
    JobId,
    OperationId,
    ServiceName,
    TaskId,
    VmId,
    WorkerId,
)


class PartitionedKey(NamedTuple):
    """Key of a row in a store whose tables are divided into partitions.

    ``part`` is the partition, ``name`` the row within it.
    """

    table: str
    part: str
    name: str


RowKey = str | PartitionedKey


def partitioned_key(key: RowKey) -> PartitionedKey:
    """Convert a flat key to a key in the partition with the empty name.

    The part before the first slash becomes the table. A key that is already
    partitioned is returned unchanged.

    >>> partitioned_key("role/manager/epoch")
    PartitionedKey(table='role', part='', name='manager/epoch')
    """
    if isinstance(key, PartitionedKey):
        return key
    table, _, name = key.partition("/")
    return PartitionedKey(table, "", name)


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table service; ``version`` increases with every write."""

    key: RowKey
    version: int
    value: bytes


def version_of(row: Row | None) -> int:
    """Return a row's version, or 0 if the row is absent."""
    return row.version if row is not None else 0


@dataclass(frozen=True, slots=True)
class Check:
    """Condition of a transaction: the row has this version (0: it is absent)."""

    key: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Write of a transaction; a value of ``None`` deletes the row."""

    key: RowKey
    value: bytes | None


class TableService(abc.ABC):
    """The platform's transactional table."""

    @abc.abstractmethod
    def read(
        self, known_versions: Mapping[str, int]
    ) -> Result[dict[str, Row], PlatformError]:
        """Read several rows in one request.

        ``known_versions`` maps each key to the version that the caller already
        has (0: none). The result omits rows that are absent or still have that
        version.
        """

    @abc.abstractmethod
    def scan(self, prefix: str) -> Result[list[Row], PlatformError]:
        """Read every row whose key starts with ``prefix``, in key order."""

    @abc.abstractmethod
    def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Result[dict[str, int], CommitError]:
        """Write all rows if every check holds, and return their new versions."""


class VmList(abc.ABC):
    """The platform's list of VMs, which may lag behind their actual state."""

    @abc.abstractmethod
    def list_vms(self) -> Result[list[ListedVm], PlatformError]:
        """Return every VM that the platform lists."""


class VmActions(abc.ABC):
    """The platform's actions on VMs."""

    @abc.abstractmethod
    def start(self, action: VmAction) -> Result[VmActionState, PlatformError]:
        """Start an action, or return the state of the one already started."""

    @abc.abstractmethod
    def state(self, operation_id: OperationId) -> Result[VmActionState, PlatformError]:
        """Return the current state of an action."""


@dataclass(frozen=True, slots=True)
class Call:
    """One request to an instance.

    ``needs_new_connection`` excludes reused connections, because one can fail in a
    way that leaves open whether the request ran. Up to ``idle_limit`` connections
    to the instance are kept for reuse.
    """

    request_id: str
    content_type: str
    body: bytes
    timeout_ms: float
    idle_limit: int
    needs_new_connection: bool = False


class Exchange(abc.ABC):
    """A request that has been sent to an instance, and its answer."""

    is_reused: bool

    @abc.abstractmethod
    def wait_for_first_byte(self, within_ms: float) -> bool:
        """Wait for the first byte of the answer; return whether it came in time."""

    @abc.abstractmethod
    def finish(self) -> Result[Answered, InstanceError]:
        """Wait for the whole answer, at most until the call's timeout.

        Only the error ``InstanceRefused`` means that the request did not run.
        """


@dataclass(frozen=True, slots=True)
class Load:
    """An instance's report of its running requests.

    ``is_leaving`` is set if the instance is about to exit.
    """

    running: int
    is_leaving: bool


class Endpoint(abc.ABC):
    """Client of the instances that run on endpoint VMs."""

    @abc.abstractmethod
    def start(
        self, vm_id: VmId, address: str, call: Call
    ) -> Result[Exchange, InstanceError]:
        """Send a request.

        Only the error ``InstanceUnreachable`` means that it did not run.
        """

    @abc.abstractmethod
    def load(self, vm_id: VmId, address: str) -> Result[Load, InstanceError]:
        """Ask an instance for its load over a new connection."""


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task to start; starting the same task id again has no effect."""

    task_id: TaskId
    job_id: JobId
    worker: WorkerId
    shape: Shape
    command: str
    lease_ms: int


@dataclass(frozen=True, slots=True)
class TaskChanges:
    """Tasks that changed after an earlier cursor, and the cursor for the next call."""

    cursor: int
    tasks: tuple[Task, ...]


class Workers(abc.ABC):
    """The platform's workers and the tasks on them."""

    @abc.abstractmethod
    def list_workers(
        self, data_center: DataCenterId
    ) -> Result[list[Worker], PlatformError]:
        """Return the workers of a data centre."""

    @abc.abstractmethod
    def changed_tasks(
        self, data_center: DataCenterId, cursor: int
    ) -> Result[TaskChanges, PlatformError]:
        """Return the tasks that changed after ``cursor`` (0: all)."""

    @abc.abstractmethod
    def start_task(self, spec: TaskSpec) -> Result[None, PlatformError]:
        """Start a task; it stops unless its lease is renewed in time."""

    @abc.abstractmethod
    def renew_tasks(
        self, task_ids: tuple[TaskId, ...], lease_ms: int
    ) -> Result[None, PlatformError]:
        """Renew the leases of tasks; a task stops by itself when its lease expires."""

    @abc.abstractmethod
    def stop_task(
        self, task_id: TaskId, has_checkpoint: bool
    ) -> Result[None, PlatformError]:
        """Stop a task.

        With ``has_checkpoint`` its job can later continue from a checkpoint.
        """


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows of a partition as of ``version`` of the whole store."""

    rows: tuple[Row, ...]
    version: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows of a table that were written, in the order of their versions.

    ``deleted`` lists the rows that were deleted. ``version`` is the starting
    point of the next :meth:`RowStore.follow`.
    """

    rows: tuple[Row, ...]
    deleted: tuple[PartitionedKey, ...]
    version: int


class StoreClock(Protocol):
    """Bounds of a store's monotonic clock, in milliseconds."""

    def time_ms(self) -> float:
        """Return a time that the store's clock has reached by now."""

    def latest_time_ms(self) -> float:
        """Return a time that the store's clock has not passed yet."""


class RowStore(abc.ABC):
    """A store of rows in tables and partitions that reports changes.

    All rows share one version counter, so a later write of any row has the
    higher version. A row's value has at most ``max_value_bytes``.
    """

    max_value_bytes: int = 65_536

    @abc.abstractmethod
    def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[Snapshot, PlatformError]:
        """Read the rows of a partition whose names are in a range.

        The range begins with ``first`` and excludes ``end``. An empty bound sets
        no limit on its side.
        """

    @abc.abstractmethod
    def list_partitions(self, table: str) -> Result[tuple[str, ...], PlatformError]:
        """Return the partitions of a table."""

    @abc.abstractmethod
    def follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Changes, PlatformError | HistoryLost]:
        """Return the changes to a table after version ``after``.

        If there are none, wait for the first one for up to ``wait_ms``.
        """

    @abc.abstractmethod
    def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Result[int, CommitError]:
        """Write all rows if every check holds, and return their new version."""

    @abc.abstractmethod
    def time_ms(self) -> float:
        """Return a time that the store's monotonic clock has reached by now.

        The clock is common to all entries. The result lags behind it by what is
        unknown of the store's time.
        """

    @abc.abstractmethod
    def latest_time_ms(self) -> float:
        """Return a time that the store's monotonic clock has not passed yet."""

    @property
    @abc.abstractmethod
    def last_answered_ms(self) -> float | None:
        """Return when the store last answered, or ``None`` if it never did.

        The time is that of this entry's clock.
        """


class WorkerLink(abc.ABC):
    """Client of the workers: sends orders and fetches reports.

    A holder's lease may have lapsed. Its successor then waits for the processes that it
    could reach before, but knows nothing of one that has just begun, which no fence
    protects yet. Orders are therefore sent to a process only if it was reached while
    the holder's lease was valid.
    """

    @abc.abstractmethod
    def report(
        self,
        info: WorkerInfo,
        fence: int,
        committed_sequence: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> Result[WorkerReport, WorkerError]:
        """Fetch a worker's report, and extend its lease.

        Parameters
        ----------
        info : WorkerInfo
            The worker.
        fence : int
            Fence number of the caller. The worker rejects one that is lower than
            the highest that it has received.
        committed_sequence : int
            Sequence number up to which the scheduler has committed all ends of
            runs. The worker discards its records of ended runs up to it.
        until_ms : int or None
            New end of the lease, on the worker's own clock. ``None`` leaves the
            lease unchanged.
        wait_ms : int
            How long the worker may delay its answer until another run ends.
        """

    @abc.abstractmethod
    def start(self, info: WorkerInfo, order: StartRun, until_ms: int) -> StartReply:
        """Start a run; the lease lasts until ``until_ms`` of the worker's own clock."""

    @abc.abstractmethod
    def stop(self, info: WorkerInfo, order: StopRun) -> OrderResult:
        """Stop a run."""

    @abc.abstractmethod
    def pace(self, info: WorkerInfo, order: PaceRun) -> OrderResult:
        """Slow a run down, or return it to full speed."""

    @abc.abstractmethod
    def disconnect(self, info: WorkerInfo) -> None:
        """Close the connections to a worker."""


@dataclass(frozen=True, slots=True)
class WorkerChanges:
    """Workers whose list entry has changed, and those whose entry was removed.

    A worker with an invalid entry cannot be used, so it counts as removed.
    """

    listed: tuple[WorkerInfo, ...]
    gone: tuple[WorkerId, ...]
    version: int


class WorkerList(abc.ABC):
    """The platform's list of workers; each worker writes its own entry."""

    @abc.abstractmethod
    def read(self) -> Result[WorkerChanges, PlatformError]:
        """Return every worker with a list entry."""

    @abc.abstractmethod
    def follow(
        self, after: int, wait_ms: int
    ) -> Result[WorkerChanges, PlatformError | HistoryLost]:
        """Return the changes after version ``after``, waiting up to ``wait_ms``."""


@dataclass(frozen=True, slots=True)
class Advice:
    """A ticket for each worker that may run a step, valid for ``validity_ms``."""

    allowed: Mapping[WorkerId, str]
    validity_ms: float


class AdviceService(abc.ABC):
    """Service that evaluates a queue's policy on which workers may run a step."""

    @abc.abstractmethod
    def advise(self, question: AdviceRequest) -> Result[Advice, PlatformError]:
        """Ask which of the named workers may run a step."""


class VmOrderResult(enum.Enum):
    """Result of an order about a VM."""

    DONE = "done"
    SUPERSEDED = "superseded"
    BUSY = "busy"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    NO_ANSWER = "no_answer"


class VmPools(abc.ABC):
    """The platform's VMs and their pools, and orders about them.

    An order contains the entry that holds the scheduler role and its fence number.
    Repeating an order that was carried out returns ``DONE``. ``may_send`` is called
    right before an order is sent, after all that the caller may have to wait for; if
    it returns ``False``, the order is not sent.
    """

    @property
    @abc.abstractmethod
    def order_timeout_ms(self) -> float:
        """Return how long after its sending an order may still arrive, in ms."""

    @abc.abstractmethod
    def list_vms(self) -> Result[tuple[PoolVm, ...], PlatformError]:
        """Return every VM."""

    @abc.abstractmethod
    def maintain(
        self,
        vm: VmId,
        wave: int,
        holder: EntryId,
        fence: int,
        may_send: Callable[[], bool],
    ) -> VmOrderResult:
        """Take a VM down for maintenance; everything that runs on it ends at once."""

    @abc.abstractmethod
    def move(
        self,
        vm: VmId,
        pool: ServiceName,
        holder: EntryId,
        fence: int,
        may_send: Callable[[], bool],
    ) -> VmOrderResult:
        """Move a VM to another pool; everything that runs on it ends at once."""


class OperatorRows(abc.ABC):
    """Rows that operators write: the configuration and the maintenance waves."""

    @abc.abstractmethod
    def read(self) -> Result[OperatorChanges, PlatformError]:
        """Return the current configuration and waves."""

    @abc.abstractmethod
    def follow(
        self, after: int, wait_ms: int
    ) -> Result[OperatorChanges, PlatformError | HistoryLost]:
        """Return the changes after version ``after``, waiting up to ``wait_ms``."""

    @abc.abstractmethod
    def wave_status(self, number: int, is_completed: bool) -> Write:
        """Return the row that tells operators whether a wave is completed."""
