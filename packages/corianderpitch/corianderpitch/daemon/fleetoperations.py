"""Operators' requests about VMs and waves, with typed results.

Every change is one conditional transaction; the manager carries it out.
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
    """A proposed wave over the VMs that match every selector given.

    ``not_maintained_for_ms`` selects VMs whose last maintenance is at least
    that long ago, or that never had one.
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
        """Tell whether a VM belongs to the wave."""
        age_ms = wall_ms - record.last_maintained_ms
        return (
            age_ms >= self.not_maintained_for_ms
            and record.state is not VmState.RETIRED
            and selects(self.pools, record.pool)
            and selects(self.racks, record.rack)
            and selects(self.vm_ids, vm_id)
        )


@dataclass(frozen=True, slots=True)
class FoundVm:
    """A VM and where it stands."""

    data_center: DataCenterId
    vm_id: VmId
    record: VmRecord


class FleetOperations:
    """Plans operations on VMs, and shows the fleet."""

    def __init__(self, table: TableService, documents: DocumentTask, clock: Clock):
        self._table = table
        self._documents = documents
        self._clock = clock

    def fleet(self) -> Result[list[FoundVm], OperationError]:
        """Return every VM of the fleet."""
        return self._table.scan(FLEET_PREFIX).map(_found_vms)

    def find_vm(self, vm_id: VmId) -> Result[FoundVm, OperationError]:
        """Return one VM."""
        return self.fleet().bind(lambda found: _pick(found, vm_id))

    def request_vm(
        self, vm_id: VmId, operation: VmOperation
    ) -> Result[FoundVm, OperationError]:
        """Ask for an operation on a VM; the manager carries it out."""
        pool = operation.target_pool
        config = self._documents.config
        if pool is not None and config and pool not in config.base.pools:
            nearest = difflib.get_close_matches(pool, list(config.base.pools), n=1)
            hint = nearest[0] if nearest else ""
            return Failure(VmRefused(vm_id, VmRefusal.NO_SUCH_POOL, hint))
        return self._change_vm(vm_id, lambda r: request_operation(r, operation))

    def return_vm(self, vm_id: VmId) -> Result[FoundVm, OperationError]:
        """Take a planned operation back."""
        return self._change_vm(vm_id, cancel_operation)

    def _change_vm(
        self, vm_id: VmId, change: Callable[[VmRecord], VmRecord | VmRefusal]
    ) -> Result[FoundVm, OperationError]:
        """Apply a change to a VM's record, again if another change came first."""
        failure: Result[FoundVm, CommitError] = Failure(RowConflict(()))
        for _ in range(COMMIT_ATTEMPTS):
            match self.find_vm(vm_id):
                case Success(found):
                    changed = change(found.record)
                case Failure(error):
                    return Failure(error)
            if isinstance(changed, VmRefusal):
                return Failure(VmRefused(vm_id, changed))
            if changed == found.record:
                return Success(found)
            failure = self._commit_vm(found, changed)
            if failure != Failure(RowConflict((fleet_key(found.data_center),))):
                return failure
        return failure

    def _commit_vm(
        self, found: FoundVm, changed: VmRecord
    ) -> Result[FoundVm, OperationError]:
        key = fleet_key(found.data_center)
        match self._table.read({key: 0}):
            case Success(rows):
                row = rows[key]
            case Failure(error):
                return Failure(error)
        fleet = decode_row(SiteFleet, row.value)
        if fleet.vms.get(found.vm_id) != found.record:
            return Failure(RowConflict((key,)))
        value = encode_row(fleet.with_vm(found.vm_id, changed))
        committed = self._table.commit((Check(key, row.version),), (Write(key, value),))
        return committed.map(lambda _: replace(found, record=changed))

    def create_wave(self, request: WaveRequest) -> Result[Wave, OperationError]:
        """Plan a wave over the VMs that the request selects."""
        refusal = self._wave_refusal(request)
        if refusal is not None:
            return Failure(WaveRefused(request.name, refusal))
        match self.fleet():
            case Success(found):
                wall_ms = self._clock.wall_ms()
                chosen = [
                    vm.vm_id
                    for vm in found
                    if request.selects(vm.vm_id, vm.record, wall_ms)
                ]
            case Failure(error):
                return Failure(error)
        if not chosen:
            return Failure(WaveRefused(request.name, WaveRefusal.NO_VMS))
        wave = Wave.for_vms(
            request.name,
            request.kind,
            request.max_concurrent,
            chosen,
            request.target_pool,
            wall_ms,
        )
        return self._commit_wave(wave, 0, WaveRefusal.EXISTS)

    def _wave_refusal(self, request: WaveRequest) -> WaveRefusal | None:
        if request.max_concurrent < 1:
            return WaveRefusal.BAD_CONCURRENCY
        config = self._documents.config
        named = [
            *request.pools,
            *([request.target_pool] if request.target_pool else []),
        ]
        if config and any(pool not in config.base.pools for pool in named):
            return WaveRefusal.NO_SUCH_POOL
        return None

    def wave(self, name: WaveName) -> Result[Wave, OperationError]:
        """Return a wave."""
        return self._wave_row(name).map(lambda row: decode_row(Wave, row.value))

    def waves(self) -> Result[list[Wave], OperationError]:
        """Return every wave."""
        rows = self._table.scan(WAVE_PREFIX)
        return rows.map(lambda found: [decode_row(Wave, row.value) for row in found])

    def set_wave_state(
        self, name: WaveName, state: WaveState
    ) -> Result[Wave, OperationError]:
        """Pause, resume or abort a wave that is not over."""
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
        self, wave: Wave, version: int, on_conflict: WaveRefusal
    ) -> Result[Wave, OperationError]:
        key = wave_key(wave.name)
        write = Write(key, encode_row(wave))
        match self._table.commit((Check(key, version),), (write,)):
            case Success(_):
                return Success(wave)
            case Failure(RowConflict()):
                return Failure(WaveRefused(wave.name, on_conflict))
            case Failure(error):
                return Failure(error)


def _found_vms(rows: list[Row]) -> list[FoundVm]:
    found = []
    for row in rows:
        data_center = DataCenterId(row.key.removeprefix(FLEET_PREFIX))
        fleet = decode_row(SiteFleet, row.value)
        for vm_id, record in sorted(fleet.vms.items()):
            found.append(FoundVm(data_center, vm_id, record))
    return found


def _pick(found: list[FoundVm], vm_id: VmId) -> Result[FoundVm, OperationError]:
    for vm in found:
        if vm.vm_id == vm_id:
            return Success(vm)
    close = difflib.get_close_matches(vm_id, [vm.vm_id for vm in found], n=1)
    return Failure(VmRefused(vm_id, VmRefusal.NO_SUCH_VM, close[0] if close else ""))
