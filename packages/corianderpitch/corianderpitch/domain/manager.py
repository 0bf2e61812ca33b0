"""Planning of VM operations and waves within the availability budgets.

The planner is pure: it looks at one consistent snapshot of the table and at
the reports of the entries, and returns the steps that may be taken. Every step
is committed on the condition that the rows it was planned from are unchanged,
so that two planners can never spend the same budget.
"""

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from corianderpitch.domain.fleetsections import FleetFile
from corianderpitch.domain.lending import ServiceNeed
from corianderpitch.domain.platform import VmAction, VmActionState
from corianderpitch.domain.vms import (
    OperationKind,
    SiteFleet,
    VmRecord,
    VmState,
    finish_drain,
    finish_stop,
    request_operation,
    request_return,
    start_drain,
    start_stop,
)
from corianderpitch.domain.waves import Wave, WaveState, WaveStep
from corianderpitch.ids import (
    DataCenterId,
    EntryId,
    OperationId,
    PoolName,
    RackId,
    VmId,
    WaveName,
)


@dataclass(frozen=True, slots=True)
class DrainReport:
    """What one entry knows about a VM that is being drained."""

    vm_id: VmId
    in_flight: int


@dataclass(frozen=True, slots=True)
class EntryReport:
    """One entry's answer to the manager's query.

    ``fleet_version`` is the version of its data centre's record that it has
    put in force; ``unavailable`` lists the VMs that do not answer; ``live``
    are the entries of its data centre whose heartbeats it receives; ``needs``
    is what the services of its data centre run and keep waiting.
    """

    entry: EntryId
    data_center: DataCenterId
    fleet_version: int
    drains: tuple[DrainReport, ...]
    unavailable: tuple[VmId, ...]
    live: frozenset[EntryId]
    needs: tuple[ServiceNeed, ...] = ()


@dataclass(frozen=True, slots=True)
class SiteSnapshot:
    """A data centre: its record, the record's version and its entries.

    ``members`` are the entries whose leases have not lapsed.
    """

    fleet: SiteFleet
    version: int
    members: frozenset[EntryId]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Everything that a plan is made from."""

    config: FleetFile
    sites: Mapping[DataCenterId, SiteSnapshot]
    waves: Mapping[WaveName, Wave]
    reports: Mapping[EntryId, EntryReport]
    actions: Mapping[OperationId, VmActionState] = field(default_factory=dict)

    def records(self) -> Iterator[tuple[DataCenterId, VmId, VmRecord]]:
        """Yield every VM with its data centre."""
        for data_center, site in self.sites.items():
            for vm_id, record in site.fleet.vms.items():
                yield data_center, vm_id, record


class Wait(enum.Enum):
    """Why a VM's operation does not go on."""

    BUDGET = "budget"
    IN_FLIGHT = "in_flight"
    CUT_OFF = "cut_off"
    VM_ACTION = "vm_action"
    RACK = "rack"


@dataclass(frozen=True, slots=True)
class VmStep:
    """One change of a VM's record, and of the wave it belongs to.

    ``action`` is what the platform must do once the step is committed.
    """

    data_center: DataCenterId
    vm_id: VmId
    record: VmRecord
    action: VmAction | None = None
    wave: Wave | None = None


@dataclass(frozen=True, slots=True)
class WaveStepDropped:
    """Records that a wave passes over a VM that is gone."""

    wave: Wave


@dataclass(frozen=True, slots=True)
class SiteStep:
    """Replaces the record of a data centre to match the platform's list."""

    data_center: DataCenterId
    fleet: SiteFleet


Step = VmStep | WaveStepDropped | SiteStep


@dataclass(frozen=True, slots=True)
class Plan:
    """The next step, if any, and why the other operations wait."""

    step: Step | None
    waits: Mapping[VmId, Wait]


def plan_step(snapshot: Snapshot, wall_ms: int) -> Plan:
    """Return the next step; the caller commits it and plans again.

    Steps that free capacity come before steps that use it.
    """
    waits: dict[VmId, Wait] = {}
    planners = (_finish_step, _return_step, _advance_step, _start_step, _wave_step)
    for planner in planners:
        step = planner(snapshot, waits, wall_ms)
        if step is not None:
            return Plan(step, waits)
    return Plan(None, waits)


def available_vms(snapshot: Snapshot, pool: PoolName) -> int:
    """Count the VMs of a pool that are certain to take work.

    A VM that does not answer, and every VM of a data centre from which no
    report came, counts as unavailable.
    """
    unavailable = {v for r in snapshot.reports.values() for v in r.unavailable}
    reporting = {report.data_center for report in snapshot.reports.values()}
    return sum(
        1
        for data_center, vm_id, record in snapshot.records()
        if record.pool == pool
        and record.is_open
        and data_center in reporting
        and vm_id not in unavailable
    )


def is_reporting(snapshot: Snapshot, data_center: DataCenterId) -> bool:
    """Tell whether any entry of a data centre has reported."""
    return any(r.data_center == data_center for r in snapshot.reports.values())


def required_vms(config: FleetFile, pool: PoolName) -> int:
    """Return how many VMs of a pool the budget wants available."""
    service = config.service_of_pool(pool)
    return config.services[service].budget.min_available if service else 0


def has_room(snapshot: Snapshot, pool: PoolName) -> bool:
    """Tell whether one more VM of a pool may become unavailable."""
    return available_vms(snapshot, pool) > required_vms(snapshot.config, pool)


def is_short(snapshot: Snapshot, pool: PoolName) -> bool:
    """Tell whether a pool has fewer VMs available than its budget wants."""
    return available_vms(snapshot, pool) < required_vms(snapshot.config, pool)


def _records(
    snapshot: Snapshot, *states: VmState
) -> list[tuple[DataCenterId, VmId, VmRecord]]:
    """Return the VMs that stand at one of the states, in the same order always."""
    found = (item for item in snapshot.records() if item[2].state in states)
    return sorted(found, key=lambda item: item[:2])


def _finish_step(
    snapshot: Snapshot, waits: dict[VmId, Wait], wall_ms: int
) -> VmStep | None:
    """End the stop of a VM whose action the platform has carried out."""
    for data_center, vm_id, record in _records(snapshot, VmState.STOPPING):
        if record.operation is None:
            continue
        state = snapshot.actions.get(record.operation.operation_id)
        if state is VmActionState.DONE:
            finished = finish_stop(record, wall_ms)
            wave = _wave_after(snapshot, record, vm_id, WaveStep.DONE)
            return VmStep(data_center, vm_id, finished, wave=wave)
        waits[vm_id] = Wait.VM_ACTION
    return None


def _return_step(
    snapshot: Snapshot, waits: dict[VmId, Wait], wall_ms: int
) -> VmStep | None:
    """Give a VM back to a pool that has become short, before it is stopped."""
    draining = _records(snapshot, VmState.DRAINING, VmState.DRAINED)
    for data_center, vm_id, record in draining:
        is_from_wave = record.operation is not None and record.operation.wave
        if not is_from_wave or not is_short(snapshot, record.pool):
            continue
        returned = request_return(record)
        if isinstance(returned, VmRecord):
            wave = _wave_after(snapshot, record, vm_id, WaveStep.PENDING)
            return VmStep(data_center, vm_id, returned, wave=wave)
    return None


def _advance_step(
    snapshot: Snapshot, waits: dict[VmId, Wait], wall_ms: int
) -> VmStep | None:
    """Take a VM from draining to drained, or from drained to stopping."""
    for data_center, vm_id, record in _records(snapshot, VmState.DRAINING):
        wait = drain_wait(snapshot.sites[data_center], snapshot.reports, vm_id)
        if wait is None:
            return VmStep(data_center, vm_id, finish_drain(record))
        waits[vm_id] = wait
    for data_center, vm_id, record in _records(snapshot, VmState.DRAINED):
        operation = record.operation
        if operation is None or operation.kind is OperationKind.DRAIN:
            continue
        if is_short(snapshot, record.pool):
            waits[vm_id] = Wait.BUDGET
            continue
        action = record.action(vm_id)
        return VmStep(data_center, vm_id, start_stop(record), action=action)
    return None


def _start_step(
    snapshot: Snapshot, waits: dict[VmId, Wait], wall_ms: int
) -> VmStep | None:
    """Close a VM for which an operator has asked for an operation."""
    for data_center, vm_id, record in _records(snapshot, VmState.ACTIVE):
        if record.operation is None:
            continue
        if not is_reporting(snapshot, data_center):
            waits[vm_id] = Wait.CUT_OFF
            continue
        if not has_room(snapshot, record.pool):
            waits[vm_id] = Wait.BUDGET
            continue
        return VmStep(data_center, vm_id, start_drain(record))
    return None


def _wave_step(
    snapshot: Snapshot, waits: dict[VmId, Wait], wall_ms: int
) -> Step | None:
    """Start the next VM of a running wave, or pass over one that is gone."""
    for _, wave in sorted(snapshot.waves.items()):
        if wave.state is not WaveState.RUNNING:
            continue
        step = _next_of_wave(snapshot, wave, waits)
        if step is not None:
            return step
    return None


def _next_of_wave(
    snapshot: Snapshot, wave: Wave, waits: dict[VmId, Wait]
) -> Step | None:
    is_full = wave.count(WaveStep.STARTED) >= wave.max_concurrent
    for vm_id in _wave_order(snapshot, wave):
        data_center, record = _find(snapshot, vm_id)
        if record is None or record.state in (VmState.RETIRED, VmState.FAILED):
            return WaveStepDropped(wave.with_step(vm_id, WaveStep.SKIPPED))
        if is_full or record.state is not VmState.ACTIVE:
            continue
        if record.operation is not None:
            continue
        wait = _start_wait(snapshot, data_center, record)
        if wait is not None:
            waits[vm_id] = wait
            continue
        requested = request_operation(record, wave.operation(vm_id))
        if isinstance(requested, VmRecord):
            started = wave.with_step(vm_id, WaveStep.STARTED)
            closed = start_drain(requested)
            return VmStep(data_center, vm_id, closed, wave=started)
    return None


def _wave_order(snapshot: Snapshot, wave: Wave) -> list[VmId]:
    """Return the pending VMs rack by rack, so that a wave finishes racks."""

    def rack_then_id(vm_id: VmId) -> tuple[str, RackId, VmId]:
        data_center, record = _find(snapshot, vm_id)
        return (data_center, record.rack if record else RackId(""), vm_id)

    pending = [v for v, step in wave.steps.items() if step is WaveStep.PENDING]
    return sorted(pending, key=rack_then_id)


def _start_wait(
    snapshot: Snapshot, data_center: DataCenterId, record: VmRecord
) -> Wait | None:
    """Return why a wave may not close this VM now.

    A pool is out in one rack at a time: a failure of another rack then finds
    the pool as whole as the budget assumes.
    """
    if not is_reporting(snapshot, data_center):
        return Wait.CUT_OFF
    if not has_room(snapshot, record.pool):
        return Wait.BUDGET
    out = _records(snapshot, VmState.DRAINING, VmState.DRAINED, VmState.STOPPING)
    racks_out = {r.rack for _, _, r in out if r.pool == record.pool}
    if racks_out - {record.rack}:
        return Wait.RACK
    return None


def drain_wait(
    site: SiteSnapshot, reports: Mapping[EntryId, EntryReport], vm_id: VmId
) -> Wait | None:
    """Return why a draining VM may not be taken as drained yet.

    Every entry of the data centre that has a valid lease, or whose heartbeats
    another entry receives, must have closed the VM and have nothing in flight
    on it. A data centre of which nobody reports is cut off, and its VMs wait.
    """
    heard = {e: reports[e] for e in site.members if e in reports}
    needed = site.members.union(*(report.live for report in heard.values()))
    if not heard or not needed <= reports.keys():
        return Wait.CUT_OFF
    for entry in needed:
        report = reports[entry]
        in_flight = {drain.vm_id: drain.in_flight for drain in report.drains}
        is_closed = report.fleet_version >= site.version
        if not is_closed or in_flight.get(vm_id) != 0:
            return Wait.IN_FLIGHT
    return None


def _find(
    snapshot: Snapshot, vm_id: VmId
) -> tuple[DataCenterId, VmRecord] | tuple[DataCenterId, None]:
    for data_center, site in snapshot.sites.items():
        if vm_id in site.fleet.vms:
            return data_center, site.fleet.vms[vm_id]
    return DataCenterId(""), None


def _wave_after(
    snapshot: Snapshot, record: VmRecord, vm_id: VmId, step: WaveStep
) -> Wave | None:
    name = record.operation.wave if record.operation else None
    wave = snapshot.waves.get(name) if name else None
    return wave.with_step(vm_id, step) if wave and vm_id in wave.steps else None
