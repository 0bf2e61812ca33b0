"""In-memory twins of the platform's services."""

from collections.abc import Callable, Mapping

from returns.result import Failure, Result, Success

from corianderpitch.domain.outcomes import Answered
from corianderpitch.domain.platform import ListedVm, VmAction, VmActionState
from corianderpitch.errors import (
    CommitError,
    InstanceError,
    InstanceUnreachable,
    PlatformError,
    RowConflict,
)
from corianderpitch.ids import OperationId, VmId
from corianderpitch.ports import (
    Call,
    Check,
    Endpoint,
    Load,
    Row,
    TableService,
    VmActions,
    VmList,
    Write,
)


class MemoryTable(TableService):
    """Transactional table held in memory.

    Versions come from one counter, so that a row which is deleted and written
    again never repeats a version.
    """

    def __init__(self):
        self._rows: dict[str, Row] = {}
        self._last_version = 0

    def read(self, known: Mapping[str, int]) -> Result[dict[str, Row], PlatformError]:
        """Read the rows whose version differs from the known one."""
        found = {
            key: self._rows[key]
            for key, version in known.items()
            if key in self._rows and self._rows[key].version != version
        }
        return Success(found)

    def scan(self, prefix: str) -> Result[list[Row], PlatformError]:
        """Read the rows under a prefix, in key order."""
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
        return self._rows[key].version if key in self._rows else 0


class MemoryVmList(VmList):
    """List of VMs held in memory."""

    def __init__(self, vms: tuple[ListedVm, ...] = ()):
        self.vms = {vm.vm_id: vm for vm in vms}

    def list_vms(self) -> Result[list[ListedVm], PlatformError]:
        """Return every VM."""
        return Success(list(self.vms.values()))


class MemoryVmActions(VmActions):
    """VM actions that end at once; ``perform`` carries out their effect."""

    def __init__(self, perform: Callable[[VmAction], None] = lambda action: None):
        self._perform = perform
        self._states: dict[OperationId, VmActionState] = {}

    def start(self, action: VmAction) -> Result[VmActionState, PlatformError]:
        """Perform an action the first time its operation id is seen."""
        if action.operation_id not in self._states:
            self._states[action.operation_id] = VmActionState.DONE
            self._perform(action)
        return Success(self._states[action.operation_id])

    def state(self, operation_id: OperationId) -> Result[VmActionState, PlatformError]:
        """Return the state of an action."""
        return Success(self._states.get(operation_id, VmActionState.UNKNOWN))


class MemoryEndpoint(Endpoint):
    """Instances that answer every request with its own body."""

    def __init__(self):
        self.unreachable: set[VmId] = set()

    def run(
        self, vm_id: VmId, address: str, call: Call
    ) -> Result[Answered, InstanceError]:
        """Return the request's body as the answer."""
        if vm_id in self.unreachable:
            return Failure(InstanceUnreachable(vm_id))
        return Success(Answered(200, call.content_type, call.body))

    def load(self, vm_id: VmId, address: str) -> Result[Load, InstanceError]:
        """Report an idle instance."""
        if vm_id in self.unreachable:
            return Failure(InstanceUnreachable(vm_id))
        return Success(Load(running=0, is_leaving=False))
