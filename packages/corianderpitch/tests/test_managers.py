"""The manager task over an in-memory table."""

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
    SCHEDULE_INTERVAL_MS,
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
    """An entry's manager and what it needs, over a shared table."""

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
        """Let the only entry report that it has closed what is closed."""
        drains = tuple(DrainReport(vm_id, 0) for vm_id in drained)
        report = EntryReport("e1", "a", version, drains, (), frozenset())
        self.network.handlers[Report]("e1", Report(report))


class JumpingClock(ManualClock):
    """A clock whose wall time is set by hand, apart from its monotonic time."""

    def __init__(self):
        super().__init__()
        self.wall = 0

    def wall_ms(self):
        return self.wall


class World:
    def __init__(self):
        self.table = MemoryTable()
        self.clock = JumpingClock()
        self.actions = MemoryVmActions()
        vms = tuple(
            ListedVm(f"vm{n}", "a", "rack", "p", "addr", VmStatus.LIVE)
            for n in range(3)
        )
        self.vm_list = MemoryVmList(vms)
        self.entry = self.new_entry("e1")
        self.apply(0, BASE_FLEET)
        self.entry.manager.act_once()
        self.entry.manager.act_once()

    def new_entry(self, name):
        return Entry(name, self.table, self.vm_list, self.actions, self.clock)

    def apply(self, based_on, text, entry=None):
        change = ConfigChange(based_on, f"op{based_on}", "me", text, {})
        (entry or self.entry).configs.apply_config(change).unwrap()

    def fleet(self):
        row = self.table.read({fleet_key("a"): 0}).unwrap()[fleet_key("a")]
        return row.version, decode_row(SiteFleet, row.value).vms

    def act(self, entry=None, drained=()):
        entry = entry or self.entry
        entry.report(self.fleet()[0], drained)
        entry.manager.act_once()
        self.clock.advance(300.0)


@pytest.fixture
def world():
    return World()


def test_listed_vms_are_adopted(world):
    world.act()
    assert set(world.fleet()[1]) == {"vm0", "vm1", "vm2"}


def test_budget_raised_elsewhere_is_obeyed_before_it_is_in_force_here(world):
    """Another entry accepts the change; this one has not heard of it."""
    world.act()
    other = world.new_entry("e2")
    other.documents.poll()
    raised = BASE_FLEET.replace("min_available = 1", "min_available = 3")
    world.apply(1, raised, other)
    world.entry.operations.request_vm("vm0", REBOOT).unwrap()
    assert world.entry.documents.config_record.revision == 1
    for _ in range(3):
        world.act()
    assert world.fleet()[1]["vm0"].state is VmState.ACTIVE


def test_manager_that_lost_its_role_commits_nothing(world):
    world.act()
    heir = world.new_entry("e2")
    heir.documents.poll()
    heir.manager.act_once()
    world.clock.advance(MANAGER_LEASE_MS)
    heir.manager.act_once()
    assert heir.manager.is_holder
    world.entry.operations.request_vm("vm0", REBOOT).unwrap()
    world.act()
    assert not world.entry.manager.is_holder
    assert world.fleet()[1]["vm0"].state is VmState.ACTIVE


@pytest.mark.parametrize("jump_ms", [365 * 86_400_000, -365 * 86_400_000])
def test_wall_clock_that_jumps_changes_no_decision(world, jump_ms):
    """A reboot goes on, the role stays, and a rival finds no lapsed lease."""
    world.act()
    world.entry.operations.request_vm("vm0", REBOOT).unwrap()
    world.act()
    assert world.fleet()[1]["vm0"].state is VmState.DRAINING
    world.clock.wall += jump_ms
    rival = world.new_entry("e2")
    rival.documents.poll()
    rival.manager.act_once()
    world.act()
    assert world.entry.manager.is_holder
    assert not rival.manager.is_holder
    assert world.fleet()[1]["vm0"].operation == REBOOT
    assert world.entry.documents.config_record.revision == 1


def test_manager_asks_for_reports_only_when_there_is_something_to_decide(world):
    world.entry.members.add_members([MemberInfo("e2", "i", "a", "x:2")])
    world.act()
    assert not asked_reports(world)
    world.entry.operations.request_vm("vm0", REBOOT).unwrap()
    world.act()
    assert asked_reports(world) == ["e2"]


def test_drained_vm_is_at_rest_until_it_is_returned(world):
    own = world.entry.own
    lease = Write(member_key(own), encode_row(MemberRecord(own, 1)))
    world.table.commit((), (lease,))
    world.clock.advance(MEMBER_SCAN_INTERVAL_MS)
    drain = VmOperation("op", OperationKind.DRAIN)
    world.entry.operations.request_vm("vm0", drain).unwrap()
    for _ in range(3):
        world.act(drained=["vm0"])
    assert world.fleet()[1]["vm0"].state is VmState.DRAINED
    world.entry.members.add_members([MemberInfo("e2", "i", "a", "x:2")])
    world.entry.network.sent.clear()
    world.act()
    assert not asked_reports(world)
    world.entry.operations.return_vm("vm0").unwrap()
    world.act()
    assert world.fleet()[1]["vm0"].state is VmState.ACTIVE


def asked_reports(world):
    sent = world.entry.network.sent
    return [entry for entry, message in sent if isinstance(message, ReportQuery)]


def test_planned_wave_is_started_once_whoever_holds_the_role(world):
    """One manager starts a wave, the next one does not start it again."""
    world.act()
    plan = '[waves.upkeep]\nkind = "reboot"\nperiod_days = 42\n'
    world.apply(1, BASE_FLEET + plan)
    world.clock.wall = 50 * DAY_MS
    world.act()
    [wave] = world.entry.operations.waves().unwrap()
    assert (wave.plan, len(wave.steps)) == ("upkeep", 3)
    heir = world.new_entry("e2")
    heir.documents.poll()
    heir.manager.act_once()
    world.clock.advance(MANAGER_LEASE_MS)
    for _ in range(3):
        world.clock.advance(SCHEDULE_INTERVAL_MS)
        heir.manager.act_once()
    assert heir.manager.is_holder
    assert [w.name for w in heir.operations.waves().unwrap()] == [wave.name]
