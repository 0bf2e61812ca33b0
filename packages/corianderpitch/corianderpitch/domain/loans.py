"""Planning of loans: the manager's steps that lend and return VMs."""

from collections.abc import Iterator

from corianderpitch.domain.lending import (
    Lender,
    LendVm,
    PoolDemand,
    ReturnLentVm,
    ServiceNeed,
)
from corianderpitch.domain.manager import (
    EntryReport,
    Snapshot,
    VmStep,
    allows_disruption,
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
    """Return the step that starts the next loan or return, if one is due."""
    spare = snapshot.config.spare_pool()
    if spare is None:
        return None
    demands = [
        _demand(snapshot, pool) for pool in snapshot.config.pools if pool != spare
    ]
    match lender.decide(demands, _demand(snapshot, spare), now_ms):
        case LendVm(pool):
            return _start_move(snapshot, spare, pool, wall_ms, is_return=False)
        case ReturnLentVm(pool):
            return _start_move(snapshot, pool, spare, wall_ms, is_return=True)
    return None


def _demand(snapshot: Snapshot, pool: PoolName) -> PoolDemand:
    """Return a pool's capacity and demand; its capacity includes incoming VMs."""
    service = snapshot.config.service_of_pool(pool)
    slots = snapshot.config.services[service].instance_slots if service else 0
    pool_records = [r for _, _, r in snapshot.records() if _counts_for_pool(r, pool)]
    lent = sum(1 for record in pool_records if record.lent_from is not None)
    needed = sum(need.slots for _, need in _service_needs(snapshot, service))
    return PoolDemand(pool, len(pool_records), slots, needed, lent)


def _counts_for_pool(record: VmRecord, pool: PoolName) -> bool:
    target = record.operation.target_pool if record.operation else None
    if target is not None:
        return target == pool
    return record.pool == pool and record.state in (VmState.ACTIVE, VmState.STOPPING)


def _service_needs(
    snapshot: Snapshot, service: ServiceName | None
) -> Iterator[tuple[DataCenterId, ServiceNeed]]:
    """Yield a service's need in each data centre, from one report of each site."""
    by_site: dict[DataCenterId, EntryReport] = {}
    for report in snapshot.reports.values():
        by_site[report.data_center] = report
    for site, report in by_site.items():
        for need in report.needs:
            if need.service == service:
                yield site, need


def _start_move(
    snapshot: Snapshot,
    source: PoolName,
    target: PoolName,
    wall_ms: int,
    *,
    is_return: bool,
) -> VmStep | None:
    """Return the step that starts to drain a VM of the source pool.

    The VM comes from the data centre in which the target pool has the greatest
    need.
    """
    if not allows_disruption(snapshot, source):
        return None
    service = snapshot.config.service_of_pool(target)
    needs = {site: need.slots for site, need in _service_needs(snapshot, service)}
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
