"""Budgets, pool membership and drains hold despite races and failures."""

from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Success

from corianderpitch.adapters.memory import MemoryTable
from corianderpitch.domain.fleetsections import FleetFile
from corianderpitch.domain.manager import (
    DrainReport,
    EntryReport,
    SiteSnapshot,
    Snapshot,
    VmStep,
    WaitReason,
    drain_wait_reason,
    plan_step,
)
from corianderpitch.domain.platform import (
    VmActionState,
)
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
from corianderpitch.domain.waves import Wave, WaveState, WaveVmState
from corianderpitch.ports import Check, Write
from corianderpitch.records import decode_row, encode_row

SITES = ("a", "b")
VMS_PER_SITE = 3
MIN_AVAILABLE = 4
CONFIG = FleetFile.model_validate(
    {
        "name": "test",
        "sites": {site: {"region": "r"} for site in SITES},
        "pools": {
            "p": {"vm_processors": 1, "vm_memory_mb": 1},
            "spare": {"vm_processors": 1, "vm_memory_mb": 1, "is_spare": True},
        },
        "services": {
            "s": {
                "pool": "p",
                "instance_slots": 8,
                "instance_connections": 64,
                "budget": {"min_available": MIN_AVAILABLE},
            }
        },
    }
)
ENTRIES = {"a": ("a1", "a2"), "b": ("b1",)}
OUT_OF_SERVICE = (VmState.DRAINING, VmState.DRAINED, VmState.STOPPING)


def site_of(vm_id):
    return vm_id[0]


class Manager:
    """A manager that plans from the rows it last read, which may be stale."""

    def __init__(self, table):
        self.table = table
        self.epoch_version = 0
        self.rows = {}

    def take_role(self):
        row = self.table.read({"epoch": 0}).unwrap().get("epoch")
        version = row.version if row else 0
        result = self.table.commit((Check("epoch", version),), (Write("epoch", b""),))
        self.epoch_version = result.unwrap()["epoch"]

    def refresh(self):
        keys = {f"fleet/{site}": 0 for site in SITES} | {"wave": 0}
        self.rows = self.table.read(keys).unwrap()


class FleetMachine(RuleBasedStateMachine):
    """Two managers, operators, entries with stale views, and failures of VMs."""

    def __init__(self):
        super().__init__()
        self.table = MemoryTable()
        for site in SITES:
            vms = {
                f"{site}{n}": VmRecord("p", f"rack-{site}{n % 2}", "addr")
                for n in range(VMS_PER_SITE)
            }
            self.table.commit((), (Write(f"fleet/{site}", encode_row(SiteFleet(vms))),))
        self.managers = [Manager(self.table), Manager(self.table)]
        self.holder = 0
        self.managers[0].take_role()
        self.reports = {}
        self.views = {}
        self.in_flight = {}
        self.unavailable = set()
        self.actions = {}
        self.cut_off = set()
        self.operations = 0
        for site in SITES:
            for entry in ENTRIES[site]:
                self.update_view(entry)
                self.report(entry)

    def fleet(self, site):
        row = self.table.read({f"fleet/{site}": 0}).unwrap()[f"fleet/{site}"]
        return row, decode_row(SiteFleet, row.value)

    def records(self):
        return {v: r for s in SITES for v, r in self.fleet(s)[1].vms.items()}

    def update_view(self, entry):
        row, fleet = self.fleet(entry[0])
        self.views[entry] = (row.version, fleet)

    def report(self, entry):
        version, _ = self.views[entry]
        drains = tuple(
            DrainReport(vm, self.in_flight.get((entry, vm), 0))
            for vm in self.records()
            if site_of(vm) == entry[0]
        )
        self.reports[entry] = EntryReport(
            entry,
            entry[0],
            version,
            drains,
            tuple(sorted(self.unavailable)),
            frozenset(ENTRIES[entry[0]]),
        )

    any_entry = st.sampled_from([e for site in SITES for e in ENTRIES[site]])
    any_vm = st.sampled_from([f"{s}{n}" for s in SITES for n in range(VMS_PER_SITE)])

    @rule(entry=any_entry)
    def entry_updates_view(self, entry):
        if entry[0] not in self.cut_off:
            self.update_view(entry)

    @rule(entry=any_entry)
    def entry_reports(self, entry):
        if entry[0] not in self.cut_off:
            self.report(entry)

    @rule(entry=any_entry, vm=any_vm)
    def work_starts(self, entry, vm):
        view = self.views[entry][1].vms.get(vm)
        if view is not None and view.is_schedulable:
            key = (entry, vm)
            self.in_flight[key] = self.in_flight.get(key, 0) + 1

    @rule(entry=any_entry, vm=any_vm)
    def work_ends(self, entry, vm):
        self.in_flight.pop((entry, vm), None)

    @rule(vm=any_vm, kind=st.sampled_from(OperationKind))
    def operator_adds_operation(self, vm, kind):
        self.operations += 1
        pool = "spare" if kind is OperationKind.MOVE else None
        operation = VmOperation(f"op{self.operations}", kind, pool)
        self._apply_operator_change(vm, lambda r: request_operation(r, operation))

    @rule(vm=any_vm)
    def operator_cancels_operation(self, vm):
        self._apply_operator_change(vm, cancel_operation)

    def _apply_operator_change(self, vm, change):
        row, fleet = self.fleet(site_of(vm))
        changed = change(fleet.vms[vm])
        if isinstance(changed, VmRefusal):
            return
        value = encode_row(fleet.with_vm(vm, changed))
        self.table.commit((Check(row.key, row.version),), (Write(row.key, value),))

    @rule(concurrent=st.integers(1, 4))
    def operator_starts_wave(self, concurrent):
        steps = {vm: WaveVmState.PENDING for vm in self.records()}
        wave = Wave("w", OperationKind.REBOOT, concurrent, steps)
        self.table.commit((Check("wave", 0),), (Write("wave", encode_row(wave)),))

    @rule(vm=any_vm)
    def vm_fails_or_recovers(self, vm):
        self.unavailable ^= {vm}

    @rule(site=st.sampled_from(SITES))
    def site_is_cut_off_or_reconnected(self, site):
        self.cut_off ^= {site}
        for entry in ENTRIES[site]:
            self.reports.pop(entry, None)

    @rule()
    def action_ends(self):
        for operation_id, state in self.actions.items():
            if state is VmActionState.RUNNING:
                self.actions[operation_id] = VmActionState.DONE
                return

    @rule()
    def all_entries_report_and_manager_acts(self):
        """All connected entries report before the manager plans, without races."""
        for site in set(SITES) - self.cut_off:
            for entry in ENTRIES[site]:
                self.update_view(entry)
                self.report(entry)
        self.managers[self.holder].refresh()
        self.manager_acts(self.holder, 3)

    @rule(which=st.integers(0, 1))
    def manager_reads(self, which):
        self.managers[which].refresh()

    @rule(which=st.integers(0, 1))
    def role_moves(self, which):
        self.holder = which
        self.managers[which].take_role()
        self.managers[which].refresh()

    @rule(which=st.integers(0, 1), steps=st.integers(1, 3))
    def a_manager_acts(self, which, steps):
        self.manager_acts(which, steps)

    def manager_acts(self, which, steps):
        """Plan and commit, also for a manager that has lost the role."""
        manager = self.managers[which]
        for _ in range(steps):
            snapshot = self._snapshot(manager)
            if snapshot is None:
                return
            plan = plan_step(snapshot, 1)
            if isinstance(plan.step, VmStep):
                self._commit(which, manager, snapshot, plan.step)
                manager.refresh()

    def _snapshot(self, manager):
        if not all(f"fleet/{site}" in manager.rows for site in SITES):
            return None
        sites = {}
        for site in SITES:
            row = manager.rows[f"fleet/{site}"]
            fleet = decode_row(SiteFleet, row.value)
            sites[site] = SiteSnapshot(fleet, row.version, frozenset(ENTRIES[site]))
        wave_row = manager.rows.get("wave")
        waves = {"w": decode_row(Wave, wave_row.value)} if wave_row else {}
        return Snapshot(CONFIG, sites, waves, dict(self.reports), dict(self.actions))

    def _commit(self, which, manager, snapshot, step):
        key = f"fleet/{step.data_center}"
        fleet = snapshot.sites[step.data_center].fleet
        writes = [Write(key, encode_row(fleet.with_vm(step.vm_id, step.record)))]
        if step.wave is not None:
            writes.append(Write("wave", encode_row(step.wave)))
        checks = [Check(r.key, r.version) for r in manager.rows.values()]
        checks.append(Check("epoch", manager.epoch_version))
        before = self.records()
        match self.table.commit(tuple(checks), tuple(writes)):
            case Success(_):
                assert which == self.holder, "a manager without the role committed"
                self._check_step(before, step)
                if step.action is not None:
                    state = VmActionState.RUNNING
                    self.actions.setdefault(step.action.operation_id, state)

    def _check_step(self, before, step):
        old = before[step.vm_id]
        if old.state is VmState.ACTIVE and step.record.state is VmState.DRAINING:
            active = [
                vm
                for vm, record in self.records().items()
                if record.pool == old.pool
                and record.is_schedulable
                and any(entry[0] == site_of(vm) for entry in self.reports)
            ]
            required = MIN_AVAILABLE if old.pool == "p" else 0
            assert len(active) >= required, "a drain broke the budget"
        if step.record.state is VmState.STOPPING:
            interrupted = [
                key
                for key, count in self.in_flight.items()
                if key[1] == step.vm_id and count and key[0][0] == site_of(step.vm_id)
            ]
            assert not interrupted, "a stop interrupted work in flight"

    @invariant()
    def every_vm_is_in_one_pool(self):
        vm_ids = [vm for site in SITES for vm in self.fleet(site)[1].vms]
        assert len(vm_ids) == len(set(vm_ids)) == VMS_PER_SITE * len(SITES)
        assert {r.pool for r in self.records().values()} <= {"p", "spare"}

    @invariant()
    def out_of_service_requires_an_operation(self):
        for record in self.records().values():
            if record.state in OUT_OF_SERVICE:
                assert record.operation is not None


TestFleet = FleetMachine.TestCase


def snapshot_of(vms, reports, waves=(), actions=None, members=("a1",)):
    site = SiteSnapshot(SiteFleet(vms), 5, frozenset(members))
    by_name = {wave.name: wave for wave in waves}
    by_entry = {r.entry: r for r in reports}
    return Snapshot(CONFIG, {"a": site}, by_name, by_entry, actions or {})


def report(entry="a1", version=5, drains=(), unavailable=(), live=("a1",)):
    return EntryReport(entry, "a", version, drains, unavailable, frozenset(live))


def four_vms(**changes):
    vms = {f"a{n}": VmRecord("p", f"rack{n}", "addr") for n in range(4)}
    return {vm: replace(r, **changes.get(vm, {})) for vm, r in vms.items()}


REBOOT = VmOperation("op", OperationKind.REBOOT, wave="w")


def test_wave_cancels_a_drain_when_another_vm_fails():
    vms = four_vms(a0={"state": VmState.DRAINED, "operation": REBOOT})
    wave = Wave("w", OperationKind.REBOOT, 1, {"a0": WaveVmState.STARTED})
    failed = report(unavailable=("a1",))
    step = plan_step(snapshot_of(vms, [failed], [wave]), 0).step
    assert step.record.state is VmState.ACTIVE
    assert step.record.operation is None
    assert step.wave.steps["a0"] is WaveVmState.PENDING


def test_budget_counts_only_vms_that_are_certain_to_accept_work():
    vms = four_vms()
    extra = {"a4": VmRecord("p", "rack4", "addr", operation=REBOOT)}
    plan_above_budget = plan_step(snapshot_of(vms | extra, [report(version=4)]), 0)
    assert plan_above_budget.step.vm_id == "a4"
    report_with_failure = report(version=4, unavailable=("a0",))
    plan = plan_step(snapshot_of(vms | extra, [report_with_failure]), 0)
    assert plan.step is None
    assert plan.waits["a4"] is WaitReason.BUDGET


def test_vm_of_a_site_without_reports_counts_as_unavailable():
    vms = four_vms(a0={"operation": REBOOT})
    plan = plan_step(snapshot_of(vms, []), 0)
    assert plan.step is None
    assert plan.waits["a0"] is WaitReason.CUT_OFF


def test_drain_waits_for_an_entry_whose_lease_is_valid():
    site = SiteSnapshot(SiteFleet({}), 5, frozenset({"a1", "a2"}))
    report_a1 = report(drains=(DrainReport("a0", 0),))
    assert drain_wait_reason(site, {"a1": report_a1}, "a0") is WaitReason.CUT_OFF


def test_drain_waits_for_an_entry_whose_heartbeats_only_peers_receive():
    site = SiteSnapshot(SiteFleet({}), 5, frozenset({"a1"}))
    report_a1 = report(drains=(DrainReport("a0", 0),), live=("a1", "a2"))
    assert drain_wait_reason(site, {"a1": report_a1}, "a0") is WaitReason.CUT_OFF


def test_drain_waits_for_an_entry_with_an_outdated_record():
    site = SiteSnapshot(SiteFleet({}), 5, frozenset({"a1"}))
    report_a1 = report(version=4, drains=(DrainReport("a0", 0),))
    assert drain_wait_reason(site, {"a1": report_a1}, "a0") is WaitReason.IN_FLIGHT


def test_drain_waits_for_a_report_that_lists_the_vm():
    site = SiteSnapshot(SiteFleet({}), 5, frozenset({"a1"}))
    assert drain_wait_reason(site, {"a1": report()}, "a0") is WaitReason.IN_FLIGHT


def test_wave_drains_one_rack_at_a_time():
    vms = {f"a{n}": VmRecord("spare", f"rack{n % 2}", "addr") for n in range(4)}
    steps = {vm: WaveVmState.PENDING for vm in vms}
    wave = Wave("w", OperationKind.REBOOT, 4, steps)
    started = []
    while True:
        snapshot = snapshot_of(vms, [report(version=4)], [wave])
        step = plan_step(snapshot, 0).step
        if step is None:
            break
        vms[step.vm_id], wave = step.record, step.wave
        started.append(step.vm_id)
    assert started == ["a0", "a2"]


def test_wave_skips_an_unknown_vm_and_ends():
    wave = Wave("w", OperationKind.REBOOT, 1, {"gone": WaveVmState.PENDING})
    step = plan_step(snapshot_of(four_vms(), [report()], [wave]), 0).step
    assert step.wave.steps["gone"] is WaveVmState.SKIPPED
    assert step.wave.state is WaveState.DONE
