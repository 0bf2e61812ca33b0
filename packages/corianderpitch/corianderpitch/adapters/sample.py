"""A small in-memory platform, for running the daemon without external systems.

It lists two VMs, whose instances answer every request with the body of the request,
and has a configuration with one service, ``sample``.
"""

from returns.result import Result

from corianderpitch.adapters.memory import (
    MemoryEndpoint,
    MemoryTable,
    MemoryVmActions,
    MemoryVmList,
    MemoryWorkers,
)
from corianderpitch.domain.jobs import Shape, Worker
from corianderpitch.domain.platform import (
    ListedVm,
    VmAction,
    VmActionState,
    VmStatus,
)
from corianderpitch.errors import PlatformError
from corianderpitch.ids import (
    DataCenterId,
    OperationId,
    PoolName,
    RackId,
    Revision,
    VmId,
    WorkerId,
)
from corianderpitch.ports import VmActions, VmList, Write
from corianderpitch.records import (
    CONFIG_HEAD_KEY,
    ConfigRecord,
    config_revision_key,
    encode_row,
)

SAMPLE_FLEET = """\
name = "sample"

[sites.{site}]
region = "sample"

[pools.sample]
vm_processors = 1
vm_memory_mb = 512

[services.sample]
pool = "sample"
instance_slots = 8
instance_connections = 64
budget = {{ min_available = 1 }}
"""


class SamplePlatform(MemoryTable, VmList, VmActions, MemoryWorkers):
    """Table, VM list, VM actions and workers of the sample platform, in one object."""

    def __init__(self, site: DataCenterId):
        MemoryTable.__init__(self)
        worker = Worker(WorkerId("worker-1"), RackId("rack-1"), Shape(8.0, 16_384))
        MemoryWorkers.__init__(self, {site: (worker,)})
        self.endpoint = MemoryEndpoint()
        self._vm_actions = MemoryVmActions()
        vms = (_sample_vm(site, 1), _sample_vm(site, 2))
        self._vm_list = MemoryVmList(vms)
        fleet_config_text = SAMPLE_FLEET.format(site=site)
        record = ConfigRecord(
            Revision(1),
            Revision(0),
            OperationId("sample"),
            "sample",
            0,
            fleet_config_text,
            {},
        )
        value = encode_row(record)
        keys = (CONFIG_HEAD_KEY, config_revision_key(Revision(1)))
        self.commit((), tuple(Write(key, value) for key in keys))

    def list_vms(self) -> Result[list[ListedVm], PlatformError]:
        """Return the two VMs of the sample."""
        return self._vm_list.list_vms()

    def start(self, action: VmAction) -> Result[VmActionState, PlatformError]:
        """Perform an action at once."""
        return self._vm_actions.start(action)

    def state(self, operation_id: OperationId) -> Result[VmActionState, PlatformError]:
        """Return the state of an action."""
        return self._vm_actions.state(operation_id)


def _sample_vm(site: DataCenterId, number: int) -> ListedVm:
    return ListedVm(
        VmId(f"sample-{number}"),
        site,
        RackId("rack-1"),
        PoolName("sample"),
        "memory",
        VmStatus.LIVE,
    )
