"""The owner task takes over services and resigns, also after a pause of the process."""

import random

import pytest
from fakes import FakeNetwork

from corianderpitch.adapters.memory import MemoryEndpoint
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.owners import PAUSE_THRESHOLD_MS, OwnerTask, ServiceView
from corianderpitch.daemon.permits import PermitClient
from corianderpitch.domain.dispatch import DispatchPolicy
from corianderpitch.domain.membership import SETTLE_MS, MemberInfo, Membership
from corianderpitch.domain.slots import InstanceSpec
from corianderpitch.messages import NotOwner, PermitGrant, PermitRequest, SlotRequest


class OwnerFixture:
    def __init__(self):
        own = MemberInfo("e1", "i1", "a", "x:1")
        self.clock = ManualClock()
        self.membership = Membership(own, -SETTLE_MS)
        self.membership.add_members([MemberInfo("e2", "i2", "a", "x:2")])
        self.network = FakeNetwork("e1")
        permits = PermitClient(self.membership, self.network, self.clock)
        self.task = OwnerTask(
            self.membership,
            self.network,
            permits,
            MemoryEndpoint(),
            self.clock,
            random.Random(1),
        )
        instances = (InstanceSpec("vm", "a:1", 8, True),)
        self.task.set_views(
            [ServiceView("s", DispatchPolicy(), instances)], frozenset(), 7
        )
        self.settle()

    def settle(self):
        """Advance the clock and tick, as the task's loop does."""
        for _ in range(20):
            self.task.tick()
            self.clock.advance(20.0)
            self.task.probe_pool.waitall()

    def request_permit(self, number):
        request = PermitRequest("s", f"r{number}", "t", "c", 1000.0, frozenset())
        self.network.handlers[PermitRequest]("e2", request)

    def replies(self, message_type):
        return [m for _, m in self.network.sent if isinstance(m, message_type)]


@pytest.fixture
def owner():
    return OwnerFixture()


def test_owner_grants_a_permit_after_it_has_probed_the_instance(owner):
    owner.request_permit(1)
    owner.settle()
    assert [g.request_id for g in owner.replies(PermitGrant)] == ["r1"]
    assert owner.task.fleet_version() == 7


def test_entry_grants_no_permits_after_a_pause_until_it_has_settled(owner):
    owner.clock.advance(10 * PAUSE_THRESHOLD_MS)
    owner.request_permit(1)
    assert owner.replies(PermitGrant) == []
    assert [r.request_id for r in owner.replies(NotOwner)] == ["r1"]
    owner.settle()
    owner.request_permit(2)
    assert owner.replies(PermitGrant) == []
    owner.settle()
    owner.request_permit(2)
    owner.settle()
    assert [g.request_id for g in owner.replies(PermitGrant)] == ["r2"]


def test_entry_that_resigns_owns_no_services(owner):
    owner.task.resign_all()
    owner.settle()
    owner.request_permit(1)
    owner.settle()
    assert owner.task.owned_dispatchers() == {}
    assert owner.replies(PermitGrant) == []


def test_request_for_slots_is_forwarded_once_to_the_owner(owner):
    owner.membership.record_contact("e2", owner.clock.now_ms())
    service = next(
        name
        for name in (f"s{n}" for n in range(50))
        if owner.membership.owner(name, owner.clock.now_ms()) == "e2"
    )
    views = [ServiceView(service, DispatchPolicy(), ())]
    owner.task.set_views(views, frozenset(), 8)
    slot_request = SlotRequest(service, "far", 1, 4, 100.0)
    owner.network.handlers[SlotRequest]("far", slot_request)
    owner.network.handlers[SlotRequest]("e3", slot_request)
    assert owner.replies(SlotRequest) == [slot_request]
