"""Loans of VMs as steps of the manager."""

from collections.abc import Iterator

from corianderpitch.domain.lending import (
    Lend,
    Lender,
    PoolDemand,
    ServiceNeed,
    TakeBack,
)
from corianderpitch.domain.manager import (
    EntryReport,
    Snapshot,
    VmStep,
    has_room,
    is_reporting,
)
from corianderpitch.domain.vms import (
    OperationKind,
    VmOperation,
    VmRecord,
    VmState,
    request_operation,
    start_drain,
)
from corianderpitch.ids import DataCenterId, OperationId, PoolName, ServiceName


def loan_step(
    snapshot: Snapshot, lender: Lender, now_ms: float, wall_ms: int
) -> VmStep | None:
    """Return the step that begins the next loan or return, if one is due."""
    spare = snapshot.config.spare_pool()
    if spare is None:
        return None
    demands = [
        _demand(snapshot, pool) for pool in snapshot.config.pools if pool != spare
    ]
    match lender.decide(demands, _demand(snapshot, spare), now_ms):
        case Lend(pool):
            return _begin_move(snapshot, spare, pool, wall_ms, is_return=False)
        case TakeBack(pool):
            return _begin_move(snapshot, pool, spare, wall_ms, is_return=True)
    return None


def _demand(snapshot: Snapshot, pool: PoolName) -> PoolDemand:
    """Return what a pool has, VMs on their way to it included, and needs."""
    service = snapshot.config.service_of_pool(pool)
    slots = snapshot.config.services[service].instance_slots if service else 0
    mine = [r for _, _, r in snapshot.records() if _will_serve(r, pool)]
    lent = sum(1 for record in mine if record.lent_from is not None)
    needed = sum(need.slots for _, need in _needs_of(snapshot, service))
    return PoolDemand(pool, len(mine), slots, needed, lent)


def _will_serve(record: VmRecord, pool: PoolName) -> bool:
    target = record.operation.target_pool if record.operation else None
    if target is not None:
        return target == pool
    return record.pool == pool and record.state in (VmState.ACTIVE, VmState.STOPPING)


def _needs_of(
    snapshot: Snapshot, service: ServiceName | None
) -> Iterator[tuple[DataCenterId, ServiceNeed]]:
    """Yield a service's need in each data centre, from one report of each."""
    by_site: dict[DataCenterId, EntryReport] = {}
    for report in snapshot.reports.values():
        by_site[report.data_center] = report
    for site, report in by_site.items():
        for need in report.needs:
            if need.service == service:
                yield site, need


def _begin_move(
    snapshot: Snapshot,
    source: PoolName,
    target: PoolName,
    wall_ms: int,
    *,
    is_return: bool,
) -> VmStep | None:
    """Close a VM of the source pool, where the target pool needs it most."""
    if not has_room(snapshot, source):
        return None
    service = snapshot.config.service_of_pool(target)
    needs = {site: need.slots for site, need in _needs_of(snapshot, service)}
    candidates = [
        (needs.get(site, 0), vm_id, site, record)
        for site, vm_id, record in snapshot.records()
        if record.pool == source
        and record.state is VmState.ACTIVE
        and record.operation is None
        and (record.lent_from is not None) == is_return
        and is_reporting(snapshot, site)
    ]
    if not candidates:
        return None
    _, vm_id, site, record = max(candidates, key=lambda item: item[:2])
    operation_id = OperationId(f"loan:{vm_id}:{wall_ms}")
    operation = VmOperation(operation_id, OperationKind.MOVE, target, is_loan=True)
    requested = request_operation(record, operation)
    return VmStep(site, vm_id, start_drain(requested))
