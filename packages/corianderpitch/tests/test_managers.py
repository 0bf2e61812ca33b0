"""The manager task with an in-memory table."""

import random

import pytest
from fakes import BASE_FLEET, FakeNetwork

from corianderpitch.adapters.memory import MemoryTable, MemoryVmActions, MemoryVmList
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.configoperations import ConfigChange, ConfigOperations
from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.daemon.fleetoperations import FleetOperations
from corianderpitch.daemon.managers import (
    MANAGER_LEASE_MS,
    WAVE_SCHEDULE_INTERVAL_MS,
    ManagerTask,
)
from corianderpitch.daemon.managerview import MEMBER_SCAN_INTERVAL_MS
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.domain.manager import DrainReport, EntryReport
from corianderpitch.domain.membership import SETTLE_MS, MemberInfo, Membership
from corianderpitch.domain.platform import ListedVm, VmStatus
from corianderpitch.domain.schedules import DAY_MS
from corianderpitch.domain.vms import (
    OperationKind,
    SiteFleet,
    VmOperation,
    VmState,
)
from corianderpitch.messages import Report, ReportQuery
from corianderpitch.ports import Write
from corianderpitch.records import (
    MemberRecord,
    decode_row,
    encode_row,
    fleet_key,
    member_key,
)

REBOOT = VmOperation("op", OperationKind.REBOOT)


class Entry:
    """The manager of one entry and the parts it uses, with a shared table."""

    def __init__(self, name, table, vm_list, actions, clock):
        self.clock = clock
        self.own = own = MemberInfo(name, "i", "a", "x:1")
        membership = Membership(own, -SETTLE_MS)
        self.network = FakeNetwork(name)
        rng = random.Random(1)
        self.members = members = MembershipTask(membership, self.network, clock, rng)
        self.documents = DocumentTask(membership, self.network, members, table, clock)
        self.operations = FleetOperations(table, self.documents, clock)
        self.configs = ConfigOperations(table, self.documents, self.operations, clock)
        self.manager = ManagerTask(
            membership,
            members,
            self.network,
            self.documents,
            table,
            vm_list,
            actions,
            clock,
            rng,
        )

    def report(self, version, drained=()):
        """Deliver the report of entry ``e1``, the only one.

        It has applied ``version`` of the fleet and has no requests in flight on the
        VMs in ``drained``.
        """
        drains = tuple(DrainReport(vm_id, 0) for vm_id in drained)
        report = EntryReport("e1", "a", version, drains, (), frozenset())
        self.network.handlers[Report]("e1", Report(report))


class AdjustableWallClock(ManualClock):
    """A clock whose wall time is set independently of its monotonic time."""

    def __init__(self):
        super().__init__()
        self.wall = 0

    def wall_ms(self):
        return self.wall


class Cluster:
    def __init__(self):
        self.table = MemoryTable()
        self.clock = AdjustableWallClock()
        self.actions = MemoryVmActions()
        vms = tuple(
            ListedVm(f"vm{n}", "a", "rack", "p", "addr", VmStatus.LIVE)
            for n in range(3)
        )
        self.vm_list = MemoryVmList(vms)
        self.entry = self.new_entry("e1")
        self.change_config(0, BASE_FLEET)
        self.entry.manager.run_round()
        self.entry.manager.run_round()

    def new_entry(self, name):
        return Entry(name, self.table, self.vm_list, self.actions, self.clock)

    def change_config(self, based_on, text, entry=None):
        change = ConfigChange(based_on, f"op{based_on}", "me", text, {})
        (entry or self.entry).configs.apply_config(change).unwrap()

    def fleet(self):
        row = self.table.read({fleet_key("a"): 0}).unwrap()[fleet_key("a")]
        return row.version, decode_row(SiteFleet, row.value).vms

    def run_next_round(self, entry=None, drained=()):
        entry = entry or self.entry
        entry.report(self.fleet()[0], drained)
        entry.manager.run_round()
        self.clock.advance(300.0)


@pytest.fixture
def cluster():
    return Cluster()


def test_vms_in_the_platform_list_get_records(cluster):
    cluster.run_next_round()
    assert set(cluster.fleet()[1]) == {"vm0", "vm1", "vm2"}


def test_budget_raised_at_another_entry_holds_before_it_is_in_force_here(cluster):
    """Another entry accepts the change, which this one has not received yet."""
    cluster.run_next_round()
    other = cluster.new_entry("e2")
    other.documents.poll()
    raised = BASE_FLEET.replace("min_available = 1", "min_available = 3")
    cluster.change_config(1, raised, other)
    cluster.entry.operations.request_vm_operation("vm0", REBOOT).unwrap()
    assert cluster.entry.documents.config_record.revision == 1
    for _ in range(3):
        cluster.run_next_round()
    assert cluster.fleet()[1]["vm0"].state is VmState.ACTIVE


def test_manager_that_lost_its_role_commits_nothing(cluster):
    cluster.run_next_round()
    successor = cluster.new_entry("e2")
    successor.documents.poll()
    successor.manager.run_round()
    cluster.clock.advance(MANAGER_LEASE_MS)
    successor.manager.run_round()
    assert successor.manager.is_holder
    cluster.entry.operations.request_vm_operation("vm0", REBOOT).unwrap()
    cluster.run_next_round()
    assert not cluster.entry.manager.is_holder
    assert cluster.fleet()[1]["vm0"].state is VmState.ACTIVE


@pytest.mark.parametrize("jump_ms", [365 * 86_400_000, -365 * 86_400_000])
def test_jump_of_the_wall_clock_changes_no_decision(cluster, jump_ms):
    """A reboot continues, the role is kept, and no other entry can acquire it."""
    cluster.run_next_round()
    cluster.entry.operations.request_vm_operation("vm0", REBOOT).unwrap()
    cluster.run_next_round()
    assert cluster.fleet()[1]["vm0"].state is VmState.DRAINING
    cluster.clock.wall += jump_ms
    candidate = cluster.new_entry("e2")
    candidate.documents.poll()
    candidate.manager.run_round()
    cluster.run_next_round()
    assert cluster.entry.manager.is_holder
    assert not candidate.manager.is_holder
    assert cluster.fleet()[1]["vm0"].operation == REBOOT
    assert cluster.entry.documents.config_record.revision == 1


def test_manager_queries_reports_only_when_there_is_something_to_plan(cluster):
    cluster.entry.members.add_members([MemberInfo("e2", "i", "a", "x:2")])
    cluster.run_next_round()
    assert not queried_entries(cluster)
    cluster.entry.operations.request_vm_operation("vm0", REBOOT).unwrap()
    cluster.run_next_round()
    assert queried_entries(cluster) == ["e2"]


def test_drained_vm_causes_no_report_queries_until_it_is_returned(cluster):
    own = cluster.entry.own
    lease = Write(member_key(own), encode_row(MemberRecord(own, 1)))
    cluster.table.commit((), (lease,))
    cluster.clock.advance(MEMBER_SCAN_INTERVAL_MS)
    drain = VmOperation("op", OperationKind.DRAIN)
    cluster.entry.operations.request_vm_operation("vm0", drain).unwrap()
    for _ in range(3):
        cluster.run_next_round(drained=["vm0"])
    assert cluster.fleet()[1]["vm0"].state is VmState.DRAINED
    cluster.entry.members.add_members([MemberInfo("e2", "i", "a", "x:2")])
    cluster.entry.network.sent.clear()
    cluster.run_next_round()
    assert not queried_entries(cluster)
    cluster.entry.operations.return_vm("vm0").unwrap()
    cluster.run_next_round()
    assert cluster.fleet()[1]["vm0"].state is VmState.ACTIVE


def queried_entries(cluster):
    sent = cluster.entry.network.sent
    return [entry for entry, message in sent if isinstance(message, ReportQuery)]


def test_scheduled_wave_is_not_started_again_by_the_next_manager(cluster):
    """The second manager finds the wave of the first one in the table."""
    cluster.run_next_round()
    plan = '[waves.upkeep]\nkind = "reboot"\nperiod_days = 42\n'
    cluster.change_config(1, BASE_FLEET + plan)
    cluster.clock.wall = 50 * DAY_MS
    cluster.run_next_round()
    [wave] = cluster.entry.operations.waves().unwrap()
    assert (wave.plan, len(wave.steps)) == ("upkeep", 3)
    successor = cluster.new_entry("e2")
    successor.documents.poll()
    successor.manager.run_round()
    cluster.clock.advance(MANAGER_LEASE_MS)
    for _ in range(3):
        cluster.clock.advance(WAVE_SCHEDULE_INTERVAL_MS)
        successor.manager.run_round()
    assert successor.manager.is_holder
    assert [w.name for w in successor.operations.waves().unwrap()] == [wave.name]
