"""Interfaces between the daemon and the systems around it.

Each port has a real adapter and an in-memory twin in ``adapters``.
"""

import abc
import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

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


class PartedKey(NamedTuple):
    """Key of a row in a store that has tables, each in partitions."""

    table: str
    part: str
    name: str


RowKey = str | PartedKey


def parted_key(key: RowKey) -> PartedKey:
    """Return a flat key as one in a store with tables, in the empty partition.

    >>> parted_key("role/manager/epoch")
    PartedKey(table='role', part='', name='manager/epoch')
    """
    if isinstance(key, PartedKey):
        return key
    table, _, name = key.partition("/")
    return PartedKey(table, "", name)


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table service; ``version`` grows with every write."""

    key: RowKey
    version: int
    value: bytes


def version_of(row: Row | None) -> int:
    """Return a row's version, 0 for an absent row."""
    return row.version if row is not None else 0


@dataclass(frozen=True, slots=True)
class Check:
    """Condition of a transaction: the row has this version (0: is absent)."""

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
    def read(self, known: Mapping[str, int]) -> Result[dict[str, Row], PlatformError]:
        """Read several rows in one request.

        ``known`` maps each key to the version the reader has (0: none). Rows
        that are absent or still have that version are left out.
        """

    @abc.abstractmethod
    def scan(self, prefix: str) -> Result[list[Row], PlatformError]:
        """Read every row whose key starts with ``prefix``, in key order."""

    @abc.abstractmethod
    def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Result[dict[str, int], CommitError]:
        """Write all rows if every check holds; returns the new versions."""


class VmList(abc.ABC):
    """The platform's lagging list of VMs."""

    @abc.abstractmethod
    def list_vms(self) -> Result[list[ListedVm], PlatformError]:
        """Return every VM that the platform knows."""


class VmActions(abc.ABC):
    """The platform's actions on VMs."""

    @abc.abstractmethod
    def start(self, action: VmAction) -> Result[VmActionState, PlatformError]:
        """Start an action, or return the state of the one already started."""

    @abc.abstractmethod
    def state(self, operation_id: OperationId) -> Result[VmActionState, PlatformError]:
        """Return how far an action has come."""


@dataclass(frozen=True, slots=True)
class Call:
    """One request as it is sent to an instance.

    A call with ``is_once`` set is sent over a new connection, because a reused
    one can fail in a way that leaves open whether the request ran. Up to
    ``idle_limit`` connections are kept for reuse.
    """

    request_id: str
    content_type: str
    body: bytes
    timeout_ms: float
    idle_limit: int
    is_once: bool = False


class Exchange(abc.ABC):
    """A request that has been sent to an instance and waits for its answer."""

    is_reused: bool

    @abc.abstractmethod
    def has_begun(self, within_ms: float) -> bool:
        """Wait for the first byte of the answer; tell whether it came in time."""

    @abc.abstractmethod
    def finish(self) -> Result[Answered, InstanceError]:
        """Return the whole answer, by the call's timeout.

        Of the errors only ``InstanceRefused`` means that the request did not
        run.
        """


@dataclass(frozen=True, slots=True)
class Load:
    """An instance's own report of what it runs."""

    running: int
    is_leaving: bool


class Endpoint(abc.ABC):
    """The instances on endpoint VMs."""

    @abc.abstractmethod
    def start(
        self, vm_id: VmId, address: str, call: Call
    ) -> Result[Exchange, InstanceError]:
        """Send a request; only ``InstanceUnreachable`` means that it did not run."""

    @abc.abstractmethod
    def load(self, vm_id: VmId, address: str) -> Result[Load, InstanceError]:
        """Ask an instance for its load over a new connection."""


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task to start; a repeat with the same task id has no effect."""

    task_id: TaskId
    job_id: JobId
    worker: WorkerId
    shape: Shape
    command: str
    lease_ms: int


@dataclass(frozen=True, slots=True)
class TaskChanges:
    """Tasks that have changed since an earlier cursor, and the new cursor."""

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
        """Return the tasks that have changed since ``cursor`` (0: all)."""

    @abc.abstractmethod
    def start_task(self, spec: TaskSpec) -> Result[None, PlatformError]:
        """Start a task under a lease."""

    @abc.abstractmethod
    def renew_tasks(
        self, task_ids: tuple[TaskId, ...], lease_ms: int
    ) -> Result[None, PlatformError]:
        """Renew the leases of tasks; a task whose lease lapses stops by itself."""

    @abc.abstractmethod
    def stop_task(
        self, task_id: TaskId, has_checkpoint: bool
    ) -> Result[None, PlatformError]:
        """Stop a task; with a checkpoint its job can go on later."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows as of ``version`` of the whole store."""

    rows: tuple[Row, ...]
    version: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows that have changed, in order; a deleted one is in ``deleted``.

    The next call follows from ``version``.
    """

    rows: tuple[Row, ...]
    deleted: tuple[PartedKey, ...]
    version: int


class RowStore(abc.ABC):
    """A store of rows in tables and partitions, whose changes can be followed.

    Versions come from one counter over the whole store, so that a later write
    of any row has the higher version.
    """

    @abc.abstractmethod
    def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[Snapshot, PlatformError]:
        """Read the rows of a partition, from ``first`` up to ``end`` (excluded).

        Empty bounds stand for the whole partition.
        """

    @abc.abstractmethod
    def list_parts(self, table: str) -> Result[tuple[str, ...], PlatformError]:
        """Return the partitions of a table."""

    @abc.abstractmethod
    def follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Changes, PlatformError | HistoryLost]:
        """Return what has changed in a table, waiting for the first change."""

    @abc.abstractmethod
    def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Result[int, CommitError]:
        """Write all rows if every check holds; returns the new version."""

    @abc.abstractmethod
    def time_ms(self) -> float:
        """Return the store's steady clock, which all entries share, as estimated."""

    @property
    @abc.abstractmethod
    def answered_ms(self) -> float | None:
        """Return this entry's time of the store's last answer."""


class WorkerLink(abc.ABC):
    """Orders to workers, and their lists."""

    @abc.abstractmethod
    def report(
        self,
        info: WorkerInfo,
        fence: int,
        settled: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> Result[WorkerReport, WorkerError]:
        """Ask a worker for its list, and extend its lease to ``until_ms``.

        Ends up to ``settled`` are forgotten there. With ``wait_ms`` the answer
        waits for an end.
        """

    @abc.abstractmethod
    def start(self, info: WorkerInfo, order: StartRun, until_ms: int) -> OrderResult:
        """Start a run under a lease."""

    @abc.abstractmethod
    def stop(self, info: WorkerInfo, order: StopRun) -> OrderResult:
        """Stop a run."""

    @abc.abstractmethod
    def pace(self, info: WorkerInfo, order: PaceRun) -> OrderResult:
        """Slow a run down, or let it go on at full speed."""

    @abc.abstractmethod
    def forget(self, info: WorkerInfo) -> None:
        """Close the connections to a worker."""


@dataclass(frozen=True, slots=True)
class WorkerChanges:
    """Workers whose entry has changed, and those whose entry is gone.

    An entry that cannot be read names no worker, so it counts as gone.
    """

    listed: tuple[WorkerInfo, ...]
    gone: tuple[WorkerId, ...]
    version: int


class WorkerList(abc.ABC):
    """The platform's list of workers, which they write themselves."""

    @abc.abstractmethod
    def read(self) -> Result[WorkerChanges, PlatformError]:
        """Return every worker that is listed."""

    @abc.abstractmethod
    def follow(
        self, after: int, wait_ms: int
    ) -> Result[WorkerChanges, PlatformError | HistoryLost]:
        """Return what has changed since ``after``."""


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets of the workers that may run a step, good for ``validity_ms``."""

    allowed: Mapping[WorkerId, str]
    validity_ms: float


class AdviceService(abc.ABC):
    """Knows which workers a queue's policy allows to run a step."""

    @abc.abstractmethod
    def advise(self, question: AdviceRequest) -> Result[Advice, PlatformError]:
        """Ask which of the named workers may run a step."""


class VmOrderResult(enum.Enum):
    """What the platform made of an order about a VM."""

    DONE = "done"
    SUPERSEDED = "superseded"
    BUSY = "busy"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    NO_ANSWER = "no_answer"


class VmPools(abc.ABC):
    """The platform's VMs in their pools, and orders about them.

    Orders name their holder and carry a fence number. An order that was
    carried out before is answered as done.
    """

    @abc.abstractmethod
    def list_vms(self) -> Result[tuple[PoolVm, ...], PlatformError]:
        """Return every VM."""

    @abc.abstractmethod
    def maintain(
        self, vm: VmId, wave: int, holder: EntryId, fence: int
    ) -> VmOrderResult:
        """Take a VM down for maintenance; what runs there ends at once."""

    @abc.abstractmethod
    def move(
        self, vm: VmId, pool: ServiceName, holder: EntryId, fence: int
    ) -> VmOrderResult:
        """Move a VM to another pool; what runs there ends at once."""


class OperatorRows(abc.ABC):
    """What operators have written: the configuration and maintenance waves."""

    @abc.abstractmethod
    def read(self) -> Result[OperatorChanges, PlatformError]:
        """Return all that is in force."""

    @abc.abstractmethod
    def follow(
        self, after: int, wait_ms: int
    ) -> Result[OperatorChanges, PlatformError | HistoryLost]:
        """Return what has changed since ``after``."""

    @abc.abstractmethod
    def report_wave(self, number: int, is_completed: bool) -> Result[int, CommitError]:
        """Tell operators how far a wave has come."""
