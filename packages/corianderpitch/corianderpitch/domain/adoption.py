"""Bringing the fleet's records into line with the platform's list of VMs."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from corianderpitch.domain.fleetsections import FleetFile
from corianderpitch.domain.manager import SiteStep, Snapshot
from corianderpitch.domain.platform import ListedVm, VmStatus
from corianderpitch.domain.vms import SiteFleet, VmRecord, VmState
from corianderpitch.ids import DataCenterId, VmId

MISSING_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class _Basis:
    listed: list[ListedVm]
    versions: Mapping[str, int]


class ListAdopter:
    """Compares the platform's list with the records when either has changed.

    At 5,500 VMs a comparison takes some 25 ms, and the list is read every few
    seconds.
    """

    def __init__(self):
        self._basis: _Basis | None = None
        self._missing_since_ms: dict[VmId, float] = {}
        self._settled_for: frozenset[VmId] | None = None

    def steps(
        self,
        snapshot: Snapshot,
        listed: list[ListedVm],
        versions: Mapping[str, int],
        now_ms: float,
        wall_ms: int,
    ) -> list[SiteStep]:
        """Return what must change; ``versions`` are those of the records' rows.

        A VM that the list has left out for ``MISSING_MS`` counts as failed.
        """
        basis = _Basis(listed, versions)
        if basis != self._basis:
            self._basis = basis
            self._note_missing(snapshot, listed, now_ms)
            self._settled_for = None
        long_missing = frozenset(
            vm_id
            for vm_id, since_ms in self._missing_since_ms.items()
            if now_ms - since_ms >= MISSING_MS
        )
        if long_missing == self._settled_for:
            return []
        steps = list(adopt_listed(snapshot, listed, long_missing, wall_ms))
        self._settled_for = None if steps else long_missing
        return steps

    def _note_missing(
        self, snapshot: Snapshot, listed: list[ListedVm], now_ms: float
    ) -> None:
        here = {vm.vm_id for vm in listed}
        known = {vm_id for _, vm_id, _ in snapshot.records()}
        self._missing_since_ms = {
            vm_id: self._missing_since_ms.get(vm_id, now_ms) for vm_id in known - here
        }


def adopt_listed(
    snapshot: Snapshot,
    listed: Iterable[ListedVm],
    long_missing: frozenset[VmId] = frozenset(),
    wall_ms: int = 0,
) -> Iterator[SiteStep]:
    """Return the sites whose records must change to match the platform's list.

    New VMs enter the pool the platform names, or the spare pool. A VM that the
    platform reports as failed or leaving gets no work until it is live again. A
    VM on which an action is running is left alone. The list lags, so a VM that
    it leaves out counts as failed only once it is among ``long_missing``.
    """
    by_site: dict[DataCenterId, dict[VmId, ListedVm]] = {}
    for vm in listed:
        by_site.setdefault(vm.data_center, {})[vm.vm_id] = vm
    for data_center in snapshot.config.sites:
        site = snapshot.sites.get(data_center)
        old = dict(site.fleet.vms) if site else {}
        found = by_site.get(data_center, {})
        new = _adopted(snapshot.config, old, found, long_missing, wall_ms)
        if new != old:
            yield SiteStep(data_center, SiteFleet(new))


def _adopted(
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
            new[vm_id] = _matched(record, vm)
    for vm_id in long_missing & old.keys() - listed.keys():
        record = old[vm_id]
        if record.state is VmState.RETIRED:
            del new[vm_id]
        elif record.state is not VmState.STOPPING:
            new[vm_id] = replace(record, state=VmState.FAILED, operation=None)
    return new


def _matched(record: VmRecord, vm: ListedVm) -> VmRecord:
    """Return a record as the list's status wants it."""
    if record.state in (VmState.STOPPING, VmState.RETIRED):
        return record
    if vm.status is VmStatus.FAILED:
        return replace(record, state=VmState.FAILED, operation=None)
    if vm.status is VmStatus.LEAVING and record.state is VmState.ACTIVE:
        return replace(record, state=VmState.LEAVING, operation=None)
    is_back = record.state in (VmState.FAILED, VmState.LEAVING)
    if vm.status is VmStatus.LIVE and is_back:
        return replace(record, state=VmState.ACTIVE, address=vm.address)
    return record
