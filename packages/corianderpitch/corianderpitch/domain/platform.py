"""What the platform says about VMs and can do with them."""

import enum
from dataclasses import dataclass

from corianderpitch.ids import DataCenterId, OperationId, PoolName, RackId, VmId


class VmStatus(enum.Enum):
    """State of a VM as the platform lists it, with a lag."""

    LIVE = "live"
    LEAVING = "leaving"
    STOPPED = "stopped"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM in the platform's list."""

    vm_id: VmId
    data_center: DataCenterId
    rack: RackId
    pool: PoolName
    address: str
    status: VmStatus


class VmActionKind(enum.Enum):
    """What the platform can do with a VM."""

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

    ``pool`` is where an ``ASSIGN`` moves the VM.
    """

    operation_id: OperationId
    vm_id: VmId
    kind: VmActionKind
    pool: PoolName | None = None
