"""Reconciliation of the fleet's records with the platform's list of VMs."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from corianderpitch.domain.fleetsections import FleetFile
from corianderpitch.domain.manager import SiteStep, Snapshot
from corianderpitch.domain.platform import ListedVm, VmStatus
from corianderpitch.domain.vms import SiteFleet, VmRecord, VmState
from corianderpitch.ids import DataCenterId, VmId

MISSING_TIMEOUT_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class _ComparedInputs:
    """Inputs of a comparison; equal inputs give the same result."""

    listed: list[ListedVm]
    versions: Mapping[str, int]


class VmListReconciler:
    """Compares the platform's list with the records when either has changed.

    It skips the comparison while nothing has changed, because the list is read
    every few seconds and a comparison of 5,500 VMs takes about 25 ms.
    """

    def __init__(self):
        self._last_inputs: _ComparedInputs | None = None
        self._missing_since_ms: dict[VmId, float] = {}
        # VMs counted as failed when a comparison last found no difference
        self._converged_missing: frozenset[VmId] | None = None

    def steps(
        self,
        snapshot: Snapshot,
        listed: list[ListedVm],
        versions: Mapping[str, int],
        now_ms: float,
        wall_ms: int,
    ) -> list[SiteStep]:
        """Return the record changes that are needed to match the list.

        ``versions`` are the versions of the rows that hold the records. A VM
        that has been absent from the list for ``MISSING_TIMEOUT_MS`` counts as
        failed.
        """
        inputs = _ComparedInputs(listed, versions)
        if inputs != self._last_inputs:
            self._last_inputs = inputs
            self._update_missing(snapshot, listed, now_ms)
            self._converged_missing = None
        long_missing = frozenset(
            vm_id
            for vm_id, since_ms in self._missing_since_ms.items()
            if now_ms - since_ms >= MISSING_TIMEOUT_MS
        )
        if long_missing == self._converged_missing:
            return []
        steps = list(reconcile_sites(snapshot, listed, long_missing, wall_ms))
        self._converged_missing = None if steps else long_missing
        return steps

    def _update_missing(
        self, snapshot: Snapshot, listed: list[ListedVm], now_ms: float
    ) -> None:
        listed_ids = {vm.vm_id for vm in listed}
        recorded_ids = {vm_id for _, vm_id, _ in snapshot.records()}
        self._missing_since_ms = {
            vm_id: self._missing_since_ms.get(vm_id, now_ms)
            for vm_id in recorded_ids - listed_ids
        }


def reconcile_sites(
    snapshot: Snapshot,
    listed: Iterable[ListedVm],
    long_missing: frozenset[VmId] = frozenset(),
    wall_ms: int = 0,
) -> Iterator[SiteStep]:
    """Yield the sites whose records must change to match the platform's list.

    A new VM joins the pool that the platform names, or the spare pool if the
    fleet file has no such pool. A VM that the platform reports as failed or
    leaving gets no work until the platform reports it as live again. The record
    of a VM on which an action is running does not change. The list lags behind
    the platform, so a VM that is absent from it counts as failed only once it
    is in ``long_missing``.
    """
    by_site: dict[DataCenterId, dict[VmId, ListedVm]] = {}
    for vm in listed:
        by_site.setdefault(vm.data_center, {})[vm.vm_id] = vm
    for data_center in snapshot.config.sites:
        site = snapshot.sites.get(data_center)
        old = dict(site.fleet.vms) if site else {}
        listed_vms = by_site.get(data_center, {})
        new = _reconciled_vms(snapshot.config, old, listed_vms, long_missing, wall_ms)
        if new != old:
            yield SiteStep(data_center, SiteFleet(new))


def _reconciled_vms(
    config: FleetFile,
    old: dict[VmId, VmRecord],
    listed: dict[VmId, ListedVm],
    long_missing: frozenset[VmId],
    wall_ms: int,
) -> dict[VmId, VmRecord]:
    new = dict(old)
    for vm_id, vm in listed.items():
        record = old.get(vm_id)
        if record is None and vm.status is VmStatus.LIVE:
            pool = vm.pool if vm.pool in config.pools else config.spare_pool()
            if pool is not None:
                new[vm_id] = VmRecord(pool, vm.rack, vm.address, first_seen_ms=wall_ms)
        elif record is not None:
            new[vm_id] = _reconciled_record(record, vm)
    for vm_id in long_missing & old.keys() - listed.keys():
        record = old[vm_id]
        if record.state is VmState.RETIRED:
            del new[vm_id]
        elif record.state is not VmState.STOPPING:
            new[vm_id] = replace(record, state=VmState.FAILED, operation=None)
    return new


def _reconciled_record(record: VmRecord, vm: ListedVm) -> VmRecord:
    """Return the record with its state updated from the listed status."""
    if record.state in (VmState.STOPPING, VmState.RETIRED):
        return record
    if vm.status is VmStatus.FAILED:
        return replace(record, state=VmState.FAILED, operation=None)
    if vm.status is VmStatus.LEAVING and record.state is VmState.ACTIVE:
        return replace(record, state=VmState.LEAVING, operation=None)
    can_recover = record.state in (VmState.FAILED, VmState.LEAVING)
    if vm.status is VmStatus.LIVE and can_recover:
        return replace(record, state=VmState.ACTIVE, address=vm.address)
    return record
