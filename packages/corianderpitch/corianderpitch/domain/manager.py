"""Planning of VM operations and waves within the availability budgets.

The planner has no side effects. From one consistent snapshot of the table and
the entries' reports, it computes the next step that is allowed. The caller
commits a step on the condition that the rows it was planned from are unchanged,
so that two planners can never use the same part of a budget.
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
    cancel_operation,
    finish_drain,
    finish_stop,
    request_operation,
    start_drain,
    start_stop,
)
from corianderpitch.domain.waves import Wave, WaveState, WaveVmState
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
    """Number of requests that one entry has in flight on a draining VM."""

    vm_id: VmId
    in_flight: int


@dataclass(frozen=True, slots=True)
class EntryReport:
    """One entry's answer to the manager's query.

    ``fleet_version`` is the version of its data centre's record that the entry
    applies. ``unavailable`` lists the VMs that do not answer it. ``live`` holds
    the entries of its data centre whose heartbeats it receives. ``needs`` lists
    the running and waiting requests of each service in its data centre.
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

    ``members`` holds the entries whose leases have not lapsed.
    """

    fleet: SiteFleet
    version: int
    members: frozenset[EntryId]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All inputs of a plan."""

    config: FleetFile
    sites: Mapping[DataCenterId, SiteSnapshot]
    waves: Mapping[WaveName, Wave]
    reports: Mapping[EntryId, EntryReport]
    actions: Mapping[OperationId, VmActionState] = field(default_factory=dict)

    def records(self) -> Iterator[tuple[DataCenterId, VmId, VmRecord]]:
        """Yield the record of every VM, with its data centre and id."""
        for data_center, site in self.sites.items():
            for vm_id, record in site.fleet.vms.items():
                yield data_center, vm_id, record


class WaitReason(enum.Enum):
    """Reason why a VM's operation cannot proceed.

    ``BUDGET``: the availability budget of the pool allows no further step.
    ``IN_FLIGHT``: work still runs on the VM, or may still start on it.
    ``CUT_OFF``: reports of entries in the VM's data centre are missing.
    ``VM_ACTION``: the platform has not completed the VM action.
    ``RACK``: VMs of the same pool are out of service in another rack.
    """

    BUDGET = "budget"
    IN_FLIGHT = "in_flight"
    CUT_OFF = "cut_off"
    VM_ACTION = "vm_action"
    RACK = "rack"


@dataclass(frozen=True, slots=True)
class VmStep:
    """One change of a VM's record, and of the wave it belongs to.

    ``action`` is the action to request from the platform once the step is
    committed.
    """

    data_center: DataCenterId
    vm_id: VmId
    record: VmRecord
    action: VmAction | None = None
    wave: Wave | None = None


@dataclass(frozen=True, slots=True)
class WaveVmSkipped:
    """Records that a wave skips a VM that is unknown, failed or retired."""

    wave: Wave


@dataclass(frozen=True, slots=True)
class SiteStep:
    """Replaces the record of a data centre to match the platform's list."""

    data_center: DataCenterId
    fleet: SiteFleet


Step = VmStep | WaveVmSkipped | SiteStep


@dataclass(frozen=True, slots=True)
class Plan:
    """The next step, if any, and the reasons why other operations wait."""

    step: Step | None
    waits: Mapping[VmId, WaitReason]


def plan_step(snapshot: Snapshot, wall_ms: int) -> Plan:
    """Return the next step; the caller must commit it and plan again.

    Steps that restore capacity come before steps that take VMs out of service.
    """
    waits: dict[VmId, WaitReason] = {}
    planners = (
        _finish_stop_step,
        _cancel_drain_step,
        _advance_step,
        _start_drain_step,
        _wave_step,
    )
    for planner in planners:
        step = planner(snapshot, waits, wall_ms)
        if step is not None:
            return Plan(step, waits)
    return Plan(None, waits)


def available_vms(snapshot: Snapshot, pool: PoolName) -> int:
    """Count the VMs of a pool that are certain to accept work.

    A VM that does not answer counts as unavailable, and so does every VM of a
    data centre without a report.
    """
    unavailable = {v for r in snapshot.reports.values() for v in r.unavailable}
    reporting = {report.data_center for report in snapshot.reports.values()}
    return sum(
        1
        for data_center, vm_id, record in snapshot.records()
        if record.pool == pool
        and record.is_schedulable
        and data_center in reporting
        and vm_id not in unavailable
    )


def is_reporting(snapshot: Snapshot, data_center: DataCenterId) -> bool:
    """Return whether any entry of a data centre has reported."""
    return any(r.data_center == data_center for r in snapshot.reports.values())


def required_vms(config: FleetFile, pool: PoolName) -> int:
    """Return how many VMs of a pool the availability budget requires."""
    service = config.service_of_pool(pool)
    return config.services[service].budget.min_available if service else 0


def allows_disruption(snapshot: Snapshot, pool: PoolName) -> bool:
    """Return whether one more VM of a pool may become unavailable."""
    return available_vms(snapshot, pool) > required_vms(snapshot.config, pool)


def is_below_budget(snapshot: Snapshot, pool: PoolName) -> bool:
    """Return whether a pool has fewer VMs available than its budget requires."""
    return available_vms(snapshot, pool) < required_vms(snapshot.config, pool)


def _records_in_states(
    snapshot: Snapshot, *states: VmState
) -> list[tuple[DataCenterId, VmId, VmRecord]]:
    """Return the VMs in one of the states, ordered by data centre and id."""
    matching = (item for item in snapshot.records() if item[2].state in states)
    return sorted(matching, key=lambda item: item[:2])


def _finish_stop_step(
    snapshot: Snapshot, waits: dict[VmId, WaitReason], wall_ms: int
) -> VmStep | None:
    """Return the step that ends a stop whose action the platform has completed."""
    for data_center, vm_id, record in _records_in_states(snapshot, VmState.STOPPING):
        if record.operation is None:
            continue
        state = snapshot.actions.get(record.operation.operation_id)
        if state is VmActionState.DONE:
            finished = finish_stop(record, wall_ms)
            wave = _updated_wave(snapshot, record, vm_id, WaveVmState.DONE)
            return VmStep(data_center, vm_id, finished, wave=wave)
        waits[vm_id] = WaitReason.VM_ACTION
    return None


def _cancel_drain_step(
    snapshot: Snapshot, waits: dict[VmId, WaitReason], wall_ms: int
) -> VmStep | None:
    """Return the step that cancels a wave's drain in a pool below its budget."""
    draining = _records_in_states(snapshot, VmState.DRAINING, VmState.DRAINED)
    for data_center, vm_id, record in draining:
        is_from_wave = record.operation is not None and record.operation.wave
        if not is_from_wave or not is_below_budget(snapshot, record.pool):
            continue
        cancelled = cancel_operation(record)
        if isinstance(cancelled, VmRecord):
            wave = _updated_wave(snapshot, record, vm_id, WaveVmState.PENDING)
            return VmStep(data_center, vm_id, cancelled, wave=wave)
    return None


def _advance_step(
    snapshot: Snapshot, waits: dict[VmId, WaitReason], wall_ms: int
) -> VmStep | None:
    """Return the step from draining to drained, or from drained to stopping."""
    for data_center, vm_id, record in _records_in_states(snapshot, VmState.DRAINING):
        reason = drain_wait_reason(snapshot.sites[data_center], snapshot.reports, vm_id)
        if reason is None:
            return VmStep(data_center, vm_id, finish_drain(record))
        waits[vm_id] = reason
    for data_center, vm_id, record in _records_in_states(snapshot, VmState.DRAINED):
        operation = record.operation
        if operation is None or operation.kind is OperationKind.DRAIN:
            continue
        if is_below_budget(snapshot, record.pool):
            waits[vm_id] = WaitReason.BUDGET
            continue
        action = record.action(vm_id)
        return VmStep(data_center, vm_id, start_stop(record), action=action)
    return None


def _start_drain_step(
    snapshot: Snapshot, waits: dict[VmId, WaitReason], wall_ms: int
) -> VmStep | None:
    """Return the step that starts to drain a VM with a requested operation."""
    for data_center, vm_id, record in _records_in_states(snapshot, VmState.ACTIVE):
        if record.operation is None:
            continue
        if not is_reporting(snapshot, data_center):
            waits[vm_id] = WaitReason.CUT_OFF
            continue
        if not allows_disruption(snapshot, record.pool):
            waits[vm_id] = WaitReason.BUDGET
            continue
        return VmStep(data_center, vm_id, start_drain(record))
    return None


def _wave_step(
    snapshot: Snapshot, waits: dict[VmId, WaitReason], wall_ms: int
) -> Step | None:
    """Return the next step of a running wave, which starts or skips a VM."""
    for _, wave in sorted(snapshot.waves.items()):
        if wave.state is not WaveState.RUNNING:
            continue
        step = _next_wave_step(snapshot, wave, waits)
        if step is not None:
            return step
    return None


def _next_wave_step(
    snapshot: Snapshot, wave: Wave, waits: dict[VmId, WaitReason]
) -> Step | None:
    is_full = wave.count(WaveVmState.STARTED) >= wave.max_concurrent
    for vm_id in _wave_order(snapshot, wave):
        data_center, record = _find_vm(snapshot, vm_id)
        if record is None or record.state in (VmState.RETIRED, VmState.FAILED):
            return WaveVmSkipped(wave.with_vm_state(vm_id, WaveVmState.SKIPPED))
        if is_full or record.state is not VmState.ACTIVE:
            continue
        if record.operation is not None:
            continue
        reason = _start_wait_reason(snapshot, data_center, record)
        if reason is not None:
            waits[vm_id] = reason
            continue
        requested = request_operation(record, wave.operation(vm_id))
        if isinstance(requested, VmRecord):
            started = wave.with_vm_state(vm_id, WaveVmState.STARTED)
            draining = start_drain(requested)
            return VmStep(data_center, vm_id, draining, wave=started)
    return None


def _wave_order(snapshot: Snapshot, wave: Wave) -> list[VmId]:
    """Return the pending VMs rack by rack, so that one rack ends before the next."""

    def rack_then_id(vm_id: VmId) -> tuple[str, RackId, VmId]:
        data_center, record = _find_vm(snapshot, vm_id)
        return (data_center, record.rack if record else RackId(""), vm_id)

    pending = [v for v, state in wave.steps.items() if state is WaveVmState.PENDING]
    return sorted(pending, key=rack_then_id)


def _start_wait_reason(
    snapshot: Snapshot, data_center: DataCenterId, record: VmRecord
) -> WaitReason | None:
    """Return why a wave may not start this VM now, or ``None`` if it may.

    A pool has VMs out of service in only one rack at a time, so that the rest of
    the pool is complete, as the budget assumes, if another rack fails meanwhile.
    """
    if not is_reporting(snapshot, data_center):
        return WaitReason.CUT_OFF
    if not allows_disruption(snapshot, record.pool):
        return WaitReason.BUDGET
    out_of_service = _records_in_states(
        snapshot, VmState.DRAINING, VmState.DRAINED, VmState.STOPPING
    )
    racks_out = {r.rack for _, _, r in out_of_service if r.pool == record.pool}
    if racks_out - {record.rack}:
        return WaitReason.RACK
    return None


def drain_wait_reason(
    site: SiteSnapshot, reports: Mapping[EntryId, EntryReport], vm_id: VmId
) -> WaitReason | None:
    """Return why a draining VM does not count as drained yet, or ``None``.

    This concerns every entry of the data centre that has a valid lease, or whose
    heartbeats another entry receives. Each must have applied the record that
    marks the VM as draining, and must have no work in flight on the VM. Without
    a report from any entry with a valid lease, or if the report of an entry
    concerned is missing, the data centre counts as cut off and its VMs wait.
    """
    member_reports = {e: reports[e] for e in site.members if e in reports}
    required = site.members.union(*(report.live for report in member_reports.values()))
    if not member_reports or not required <= reports.keys():
        return WaitReason.CUT_OFF
    for entry in required:
        report = reports[entry]
        in_flight = {drain.vm_id: drain.in_flight for drain in report.drains}
        is_up_to_date = report.fleet_version >= site.version
        if not is_up_to_date or in_flight.get(vm_id) != 0:
            return WaitReason.IN_FLIGHT
    return None


def _find_vm(
    snapshot: Snapshot, vm_id: VmId
) -> tuple[DataCenterId, VmRecord] | tuple[DataCenterId, None]:
    for data_center, site in snapshot.sites.items():
        if vm_id in site.fleet.vms:
            return data_center, site.fleet.vms[vm_id]
    return DataCenterId(""), None


def _updated_wave(
    snapshot: Snapshot, record: VmRecord, vm_id: VmId, vm_state: WaveVmState
) -> Wave | None:
    name = record.operation.wave if record.operation else None
    wave = snapshot.waves.get(name) if name else None
    return wave.with_vm_state(vm_id, vm_state) if wave and vm_id in wave.steps else None
