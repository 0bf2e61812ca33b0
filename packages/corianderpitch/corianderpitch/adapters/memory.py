"""In-memory implementations of the platform's services and of instances."""

from collections.abc import Callable, Mapping
from dataclasses import replace

from returns.result import Failure, Result, Success

from corianderpitch.domain.jobs import Shape, Task, TaskState, Worker
from corianderpitch.domain.outcomes import Answered
from corianderpitch.domain.platform import ListedVm, VmAction, VmActionState
from corianderpitch.errors import (
    CommitError,
    InstanceError,
    InstanceUnreachable,
    PlatformError,
    RowConflict,
)
from corianderpitch.ids import DataCenterId, OperationId, TaskId, VmId
from corianderpitch.ports import (
    Call,
    Check,
    Endpoint,
    Exchange,
    Load,
    Row,
    TableService,
    TaskChanges,
    TaskSpec,
    VmActions,
    VmList,
    Workers,
    Write,
    version_of,
)


class MemoryTable(TableService):
    """Transactional table held in memory.

    All rows share one version counter, so a row that is deleted and written again
    never has the same version twice.
    """

    def __init__(self):
        self._rows: dict[str, Row] = {}
        self._last_version = 0

    def read(
        self, known_versions: Mapping[str, int]
    ) -> Result[dict[str, Row], PlatformError]:
        """Read the rows whose version differs from that in ``known_versions``."""
        changed = {
            key: self._rows[key]
            for key, version in known_versions.items()
            if key in self._rows and self._rows[key].version != version
        }
        return Success(changed)

    def scan(self, prefix: str) -> Result[list[Row], PlatformError]:
        """Read the rows whose keys start with ``prefix``, in key order."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return Success([self._rows[key] for key in keys])

    def commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> Result[dict[str, int], CommitError]:
        """Write all rows if every check holds."""
        failed = tuple(c.key for c in checks if self._version(c.key) != c.version)
        if failed:
            return Failure(RowConflict(failed))
        versions = {}
        for write in writes:
            self._last_version += 1
            if write.value is None:
                self._rows.pop(write.key, None)
                continue
            row = Row(write.key, self._last_version, write.value)
            self._rows[write.key] = row
            versions[write.key] = row.version
        return Success(versions)

    def _version(self, key: str) -> int:
        return version_of(self._rows.get(key))


class MemoryVmList(VmList):
    """List of VMs held in memory."""

    def __init__(self, vms: tuple[ListedVm, ...] = ()):
        self.vms = {vm.vm_id: vm for vm in vms}

    def list_vms(self) -> Result[list[ListedVm], PlatformError]:
        """Return every VM."""
        return Success(list(self.vms.values()))


class MemoryVmActions(VmActions):
    """VM actions that complete at once; ``perform`` carries out their effect."""

    def __init__(self, perform: Callable[[VmAction], None] = lambda action: None):
        self._perform = perform
        self._states: dict[OperationId, VmActionState] = {}

    def start(self, action: VmAction) -> Result[VmActionState, PlatformError]:
        """Perform an action unless one with its operation id was performed before."""
        if action.operation_id not in self._states:
            self._states[action.operation_id] = VmActionState.DONE
            self._perform(action)
        return Success(self._states[action.operation_id])

    def state(self, operation_id: OperationId) -> Result[VmActionState, PlatformError]:
        """Return the state of an action."""
        return Success(self._states.get(operation_id, VmActionState.UNKNOWN))


class MemoryWorkers(Workers):
    """Workers held in memory; ``set_task`` changes a task's state and usage."""

    def __init__(self, workers: Mapping[DataCenterId, tuple[Worker, ...]]):
        self.workers = {site: list(listed) for site, listed in workers.items()}
        self.started: list[TaskSpec] = []
        self.stopped: list[TaskId] = []
        self.renewed: set[TaskId] = set()
        self._tasks: dict[TaskId, tuple[int, Task]] = {}
        self._cursor = 0

    def set_task(self, task: Task) -> None:
        """Record a task's new state."""
        self._cursor += 1
        self._tasks[task.task_id] = (self._cursor, task)

    def list_workers(
        self, data_center: DataCenterId
    ) -> Result[list[Worker], PlatformError]:
        """Return the workers of a data centre."""
        return Success(list(self.workers.get(data_center, ())))

    def changed_tasks(
        self, data_center: DataCenterId, cursor: int
    ) -> Result[TaskChanges, PlatformError]:
        """Return the tasks that changed after ``cursor``."""
        local_workers = {worker.worker for worker in self.workers.get(data_center, ())}
        changed = tuple(
            task
            for task_cursor, task in self._tasks.values()
            if task_cursor > cursor and task.worker in local_workers
        )
        return Success(TaskChanges(self._cursor, changed))

    def start_task(self, spec: TaskSpec) -> Result[None, PlatformError]:
        """Start a task unless its id was started before."""
        if spec.task_id not in self._tasks:
            self.started.append(spec)
            running = TaskState.RUNNING
            usage = Shape(0.0, 0, 0)
            self.set_task(Task(spec.task_id, spec.job_id, spec.worker, running, usage))
        return Success(None)

    def renew_tasks(
        self, task_ids: tuple[TaskId, ...], lease_ms: int
    ) -> Result[None, PlatformError]:
        """Record which tasks were renewed."""
        self.renewed.update(task_ids)
        return Success(None)

    def stop_task(
        self, task_id: TaskId, has_checkpoint: bool
    ) -> Result[None, PlatformError]:
        """Stop a running task."""
        entry = self._tasks.get(task_id)
        if entry is not None and entry[1].state is TaskState.RUNNING:
            self.stopped.append(task_id)
            self.set_task(replace(entry[1], state=TaskState.STOPPED))
        return Success(None)


class MemoryExchange(Exchange):
    """Exchange whose answer is the body of the request."""

    is_reused = False

    def __init__(self, call: Call):
        self._call = call

    def wait_for_first_byte(self, within_ms: float) -> bool:
        """Return that the answer has begun."""
        return True

    def finish(self) -> Result[Answered, InstanceError]:
        """Return the answer."""
        return Success(Answered(200, self._call.content_type, self._call.body))


class MemoryEndpoint(Endpoint):
    """Instances that answer every request with the body of the request.

    Requests to the VMs in ``unreachable`` fail.
    """

    def __init__(self):
        self.unreachable: set[VmId] = set()

    def start(
        self, vm_id: VmId, address: str, call: Call
    ) -> Result[Exchange, InstanceError]:
        """Accept a request unless the VM is unreachable."""
        if vm_id in self.unreachable:
            return Failure(InstanceUnreachable(vm_id))
        return Success(MemoryExchange(call))

    def load(self, vm_id: VmId, address: str) -> Result[Load, InstanceError]:
        """Report an idle instance."""
        if vm_id in self.unreachable:
            return Failure(InstanceUnreachable(vm_id))
        return Success(Load(running=0, is_leaving=False))
