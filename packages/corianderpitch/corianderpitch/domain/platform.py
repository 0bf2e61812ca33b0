"""The platform's view of VMs, and the actions that it can run on them."""

import enum
from dataclasses import dataclass

from corianderpitch.ids import DataCenterId, OperationId, PoolName, RackId, VmId


class VmStatus(enum.Enum):
    """State of a VM in the platform's list, which lags behind the VM."""

    LIVE = "live"
    LEAVING = "leaving"
    STOPPED = "stopped"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One VM of the platform's list."""

    vm_id: VmId
    data_center: DataCenterId
    rack: RackId
    pool: PoolName
    address: str
    status: VmStatus


class VmActionKind(enum.Enum):
    """Kind of an action that the platform can run on a VM."""

    REBOOT = "reboot"
    STOP = "stop"
    ASSIGN = "assign"


class VmActionState(enum.Enum):
    """Progress of a VM action."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class VmAction:
    """An action on a VM; a repeat with the same operation id has no effect.

    ``pool`` is the pool that an ``ASSIGN`` action moves the VM to, and ``None``
    for the other kinds.
    """

    operation_id: OperationId
    vm_id: VmId
    kind: VmActionKind
    pool: PoolName | None = None
