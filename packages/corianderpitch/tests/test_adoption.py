"""The fleet's records are reconciled with the platform's lagging list."""

import pytest
from fakes import BASE_FLEET

from corianderpitch.domain.adoption import (
    MISSING_TIMEOUT_MS,
    VmListReconciler,
    reconcile_sites,
)
from corianderpitch.domain.fleetfile import check_fleet
from corianderpitch.domain.manager import SiteSnapshot, SiteStep, Snapshot
from corianderpitch.domain.platform import ListedVm, VmStatus
from corianderpitch.domain.vms import (
    OperationKind,
    SiteFleet,
    VmOperation,
    VmRecord,
    VmState,
)

REBOOT = VmOperation("op", OperationKind.REBOOT)
SPARE = """
[pools.spare]
vm_processors = 1
vm_memory_mb = 1
is_spare = true
"""
CONFIG = check_fleet(BASE_FLEET + SPARE, {}).base


def listed(vm_id, status, pool="p"):
    return ListedVm(vm_id, "a", "rack", pool, "addr", status)


def reconciled_vms(vms, *items, missing=()):
    site = SiteSnapshot(SiteFleet(vms), 1, frozenset())
    snapshot = Snapshot(CONFIG, {"a": site}, {}, {})
    steps = list(reconcile_sites(snapshot, items, frozenset(missing)))
    return dict(steps[0].fleet.vms) if steps else vms


def test_new_vms_join_their_pool_or_the_spare_pool():
    vms = reconciled_vms(
        {}, listed("x", VmStatus.LIVE), listed("y", VmStatus.LIVE, "none")
    )
    assert vms["x"].pool == "p"
    assert vms["y"].pool == "spare"


def test_listed_failure_and_recovery():
    failed = reconciled_vms(
        {"x": VmRecord("p", "r", "addr")}, listed("x", VmStatus.FAILED)
    )
    assert failed["x"].state is VmState.FAILED
    recovered = reconciled_vms(failed, listed("x", VmStatus.LIVE))
    assert recovered["x"].state is VmState.ACTIVE


def test_lagging_list_does_not_change_a_stopping_vm():
    record = VmRecord("p", "r", "addr", VmState.STOPPING, REBOOT)
    assert reconciled_vms({"x": record}, listed("x", VmStatus.LIVE)) == {"x": record}
    assert reconciled_vms({"x": record}) == {"x": record}
    assert reconciled_vms({"x": record}, missing={"x"}) == {"x": record}


def test_vm_missing_from_the_list_fails_only_after_the_timeout():
    """A list that is empty by mistake must not take the fleet out of service."""
    record = VmRecord("p", "r", "addr")
    assert reconciled_vms({"x": record}) == {"x": record}
    failed = reconciled_vms({"x": record}, missing={"x"})
    assert failed["x"].state is VmState.FAILED


def test_vm_listed_as_leaving_gets_no_work_until_it_is_live_again():
    leaving = reconciled_vms(
        {"x": VmRecord("p", "r", "a")}, listed("x", VmStatus.LEAVING)
    )
    assert leaving["x"].state is VmState.LEAVING
    assert not leaving["x"].is_schedulable
    recovered = reconciled_vms(leaving, listed("x", VmStatus.LIVE))
    assert recovered["x"].is_schedulable


def test_matching_records_need_no_site_step():
    record = VmRecord("p", "rack", "addr")
    site = SiteSnapshot(SiteFleet({"x": record}), 1, frozenset())
    snapshot = Snapshot(CONFIG, {"a": site}, {}, {})
    steps = list(reconcile_sites(snapshot, [listed("x", VmStatus.LIVE)]))
    assert not any(isinstance(step, SiteStep) for step in steps)


class ReconcilerHarness:
    """Runs the reconciler repeatedly on the record of one VM."""

    def __init__(self):
        self.reconciler = VmListReconciler()
        self.vms = {"x": VmRecord("p", "rack", "addr")}
        self.version = 1

    def reconcile(self, items, now_ms, is_committed=True):
        site = SiteSnapshot(SiteFleet(self.vms), self.version, frozenset())
        snapshot = Snapshot(CONFIG, {"a": site}, {}, {})
        versions = {"fleet/a": self.version}
        steps = self.reconciler.steps(snapshot, items, versions, now_ms, 0)
        if steps and is_committed:
            self.vms = dict(steps[0].fleet.vms)
            self.version += 1
        return steps


@pytest.fixture
def harness():
    return ReconcilerHarness()


def test_uncommitted_step_is_planned_again(harness):
    failed = [listed("x", VmStatus.FAILED)]
    assert harness.reconcile(failed, 0.0, is_committed=False)
    assert harness.reconcile(failed, 2000.0)
    assert harness.vms["x"].state is VmState.FAILED
    assert harness.reconcile(failed, 4000.0) == []


def test_every_change_of_the_list_is_compared(harness):
    live, failed = [listed("x", VmStatus.LIVE)], [listed("x", VmStatus.FAILED)]
    states = []
    for number, items in enumerate([live, failed, failed, live, failed]):
        harness.reconcile(items, 2000.0 * number)
        states.append(harness.vms["x"].state)
    expected = [VmState.ACTIVE, VmState.FAILED, VmState.FAILED]
    assert states == [*expected, VmState.ACTIVE, VmState.FAILED]


def test_record_changed_elsewhere_is_compared_with_an_unchanged_list(harness):
    leaving = [listed("x", VmStatus.LEAVING)]
    harness.reconcile(leaving, 0.0)
    harness.vms = {"x": VmRecord("p", "rack", "addr")}
    harness.version += 1
    harness.reconcile(leaving, 2000.0)
    assert harness.vms["x"].state is VmState.LEAVING


def test_missing_vm_fails_although_no_input_changes(harness):
    times = [2000.0 * n for n in range(int(MISSING_TIMEOUT_MS / 2000.0) + 1)]
    for now_ms in times[:-1]:
        assert harness.reconcile([], now_ms) == []
    assert harness.reconcile([], times[-1])
    assert harness.vms["x"].state is VmState.FAILED


def test_missing_timeout_restarts_after_the_vm_was_listed(harness):
    live = [listed("x", VmStatus.LIVE)]
    harness.reconcile([], 0.0)
    harness.reconcile(live, MISSING_TIMEOUT_MS - 1.0)
    assert harness.reconcile([], MISSING_TIMEOUT_MS + 1.0) == []
