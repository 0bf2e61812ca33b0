"""Operators' requests about VMs and waves, with typed results.

Every change is one conditional transaction. It only records what is requested; the
manager executes it.
"""

import difflib
from collections.abc import Callable
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.domain.vms import (
    OperationKind,
    SiteFleet,
    VmOperation,
    VmRecord,
    VmRefusal,
    VmState,
    cancel_operation,
    request_operation,
)
from corianderpitch.domain.waves import Wave, WaveState, selects
from corianderpitch.errors import (
    CommitError,
    OperationError,
    RowConflict,
    VmRefused,
    WaveRefusal,
    WaveRefused,
)
from corianderpitch.ids import DataCenterId, PoolName, RackId, VmId, WaveName
from corianderpitch.ports import Check, Row, TableService, Write
from corianderpitch.records import (
    FLEET_PREFIX,
    WAVE_PREFIX,
    decode_row,
    encode_row,
    fleet_key,
    wave_key,
)

COMMIT_ATTEMPTS = 8


@dataclass(frozen=True, slots=True)
class WaveRequest:
    """A proposed wave over the VMs that match all selectors that are given.

    An empty tuple of pools, racks or VMs selects all of them.
    ``not_maintained_for_ms`` selects the VMs whose last maintenance is at least
    that long ago, and those that never had one.
    """

    name: WaveName
    kind: OperationKind
    max_concurrent: int
    pools: tuple[PoolName, ...] = ()
    racks: tuple[RackId, ...] = ()
    vm_ids: tuple[VmId, ...] = ()
    target_pool: PoolName | None = None
    not_maintained_for_ms: int = 0

    def selects(self, vm_id: VmId, record: VmRecord, wall_ms: int) -> bool:
        """Return whether a VM belongs to the wave; a retired VM never does."""
        age_ms = wall_ms - record.last_maintained_ms
        return (
            age_ms >= self.not_maintained_for_ms
            and record.state is not VmState.RETIRED
            and selects(self.pools, record.pool)
            and selects(self.racks, record.rack)
            and selects(self.vm_ids, vm_id)
        )


@dataclass(frozen=True, slots=True)
class FleetVm:
    """A VM of the fleet, with its data centre and its record."""

    data_center: DataCenterId
    vm_id: VmId
    record: VmRecord


class FleetOperations:
    """Requests operations on VMs, manages waves and returns the fleet."""

    def __init__(self, table: TableService, documents: DocumentTask, clock: Clock):
        self._table = table
        self._documents = documents
        self._clock = clock

    def fleet(self) -> Result[list[FleetVm], OperationError]:
        """Return every VM of the fleet."""
        return self._table.scan(FLEET_PREFIX).map(_fleet_vms)

    def find_vm(self, vm_id: VmId) -> Result[FleetVm, OperationError]:
        """Return one VM, or the refusal with the nearest VM id if it is unknown."""
        return self.fleet().bind(lambda vms: _vm_by_id(vms, vm_id))

    def request_vm_operation(
        self, vm_id: VmId, operation: VmOperation
    ) -> Result[FleetVm, OperationError]:
        """Request an operation on a VM, which the manager executes later."""
        pool = operation.target_pool
        config = self._documents.config
        if pool is not None and config and pool not in config.base.pools:
            nearest = difflib.get_close_matches(pool, list(config.base.pools), n=1)
            hint = nearest[0] if nearest else ""
            return Failure(VmRefused(vm_id, VmRefusal.NO_SUCH_POOL, hint))
        return self._update_vm(
            vm_id, lambda record: request_operation(record, operation)
        )

    def return_vm(self, vm_id: VmId) -> Result[FleetVm, OperationError]:
        """Cancel a VM's operation, unless its stop has begun."""
        return self._update_vm(vm_id, cancel_operation)

    def _update_vm(
        self, vm_id: VmId, change: Callable[[VmRecord], VmRecord | VmRefusal]
    ) -> Result[FleetVm, OperationError]:
        """Apply a change to a VM's record.

        After a conflict with another change the record is read again and the change
        retried, at most ``COMMIT_ATTEMPTS`` times in all.
        """
        result: Result[FleetVm, CommitError] = Failure(RowConflict(()))
        for _ in range(COMMIT_ATTEMPTS):
            match self.find_vm(vm_id):
                case Success(vm):
                    changed = change(vm.record)
                case Failure(error):
                    return Failure(error)
            if isinstance(changed, VmRefusal):
                return Failure(VmRefused(vm_id, changed))
            if changed == vm.record:
                return Success(vm)
            result = self._commit_vm(vm, changed)
            if result != Failure(RowConflict((fleet_key(vm.data_center),))):
                return result
        return result

    def _commit_vm(
        self, vm: FleetVm, changed: VmRecord
    ) -> Result[FleetVm, OperationError]:
        key = fleet_key(vm.data_center)
        match self._table.read({key: 0}):
            case Success(rows):
                row = rows[key]
            case Failure(error):
                return Failure(error)
        fleet = decode_row(SiteFleet, row.value)
        if fleet.vms.get(vm.vm_id) != vm.record:
            return Failure(RowConflict((key,)))
        value = encode_row(fleet.with_vm(vm.vm_id, changed))
        committed = self._table.commit((Check(key, row.version),), (Write(key, value),))
        return committed.map(lambda _: replace(vm, record=changed))

    def create_wave(self, request: WaveRequest) -> Result[Wave, OperationError]:
        """Create a wave over the VMs that the request selects now."""
        refusal = self._wave_refusal(request)
        if refusal is not None:
            return Failure(WaveRefused(request.name, refusal))
        match self.fleet():
            case Success(vms):
                wall_ms = self._clock.wall_ms()
                selected = [
                    vm.vm_id
                    for vm in vms
                    if request.selects(vm.vm_id, vm.record, wall_ms)
                ]
            case Failure(error):
                return Failure(error)
        if not selected:
            return Failure(WaveRefused(request.name, WaveRefusal.NO_VMS))
        wave = Wave.for_vms(
            request.name,
            request.kind,
            request.max_concurrent,
            selected,
            request.target_pool,
            wall_ms,
        )
        return self._commit_wave(wave, 0, WaveRefusal.EXISTS)

    def _wave_refusal(self, request: WaveRequest) -> WaveRefusal | None:
        if request.max_concurrent < 1:
            return WaveRefusal.BAD_CONCURRENCY
        config = self._documents.config
        pool_names = [
            *request.pools,
            *([request.target_pool] if request.target_pool else []),
        ]
        if config and any(pool not in config.base.pools for pool in pool_names):
            return WaveRefusal.NO_SUCH_POOL
        return None

    def wave(self, name: WaveName) -> Result[Wave, OperationError]:
        """Return one wave."""
        return self._wave_row(name).map(lambda row: decode_row(Wave, row.value))

    def waves(self) -> Result[list[Wave], OperationError]:
        """Return every wave."""
        result = self._table.scan(WAVE_PREFIX)
        return result.map(lambda rows: [decode_row(Wave, row.value) for row in rows])

    def set_wave_state(
        self, name: WaveName, state: WaveState
    ) -> Result[Wave, OperationError]:
        """Pause, resume or abort a wave that is neither done nor aborted."""
        for _ in range(COMMIT_ATTEMPTS):
            match self._wave_row(name):
                case Success(row):
                    wave = decode_row(Wave, row.value)
                case Failure(error):
                    return Failure(error)
            if wave.state in (WaveState.DONE, WaveState.ABORTED):
                return Failure(WaveRefused(name, WaveRefusal.IS_OVER))
            changed = replace(wave, state=state)
            committed = self._commit_wave(changed, row.version, WaveRefusal.IS_OVER)
            if isinstance(committed, Success):
                return committed
        return committed

    def _wave_row(self, name: WaveName) -> Result[Row, OperationError]:
        key = wave_key(name)
        match self._table.read({key: 0}):
            case Success(rows) if key in rows:
                return Success(rows[key])
            case Success(_):
                return Failure(WaveRefused(name, WaveRefusal.NO_SUCH_WAVE))
            case Failure(error):
                return Failure(error)

    def _commit_wave(
        self, wave: Wave, version: int, conflict_refusal: WaveRefusal
    ) -> Result[Wave, OperationError]:
        key = wave_key(wave.name)
        write = Write(key, encode_row(wave))
        match self._table.commit((Check(key, version),), (write,)):
            case Success(_):
                return Success(wave)
            case Failure(RowConflict()):
                return Failure(WaveRefused(wave.name, conflict_refusal))
            case Failure(error):
                return Failure(error)


def _fleet_vms(rows: list[Row]) -> list[FleetVm]:
    fleet_vms = []
    for row in rows:
        data_center = DataCenterId(row.key.removeprefix(FLEET_PREFIX))
        fleet = decode_row(SiteFleet, row.value)
        for vm_id, record in sorted(fleet.vms.items()):
            fleet_vms.append(FleetVm(data_center, vm_id, record))
    return fleet_vms


def _vm_by_id(vms: list[FleetVm], vm_id: VmId) -> Result[FleetVm, OperationError]:
    for vm in vms:
        if vm.vm_id == vm_id:
            return Success(vm)
    nearest = difflib.get_close_matches(vm_id, [vm.vm_id for vm in vms], n=1)
    return Failure(
        VmRefused(vm_id, VmRefusal.NO_SUCH_VM, nearest[0] if nearest else "")
    )
