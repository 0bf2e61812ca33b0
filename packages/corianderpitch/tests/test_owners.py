"""The owner task takes over, hands over, and distrusts itself after a pause."""

import random

import pytest
from fakes import FakeNetwork

from corianderpitch.adapters.memory import MemoryEndpoint
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.owners import PAUSE_MS, OwnerTask, ServiceView
from corianderpitch.daemon.permits import PermitClient
from corianderpitch.domain.dispatch import DispatchPolicy
from corianderpitch.domain.membership import SETTLE_MS, MemberInfo, Membership
from corianderpitch.domain.slots import InstanceSpec
from corianderpitch.messages import NotOwner, PermitGrant, PermitRequest, SlotAsk


class Fixture:
    def __init__(self):
        own = MemberInfo("e1", "i1", "a", "x:1")
        self.clock = ManualClock()
        self.membership = Membership(own, -SETTLE_MS)
        self.membership.learn([MemberInfo("e2", "i2", "a", "x:2")])
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
        """Let time pass, as the task's loop would."""
        for _ in range(20):
            self.task.tick()
            self.clock.advance(20.0)
            self.task.probe_pool.waitall()

    def ask(self, number):
        request = PermitRequest("s", f"r{number}", "t", "c", 1000.0, frozenset())
        self.network.handlers[PermitRequest]("e2", request)

    def replies(self, kind):
        return [m for _, m in self.network.sent if isinstance(m, kind)]


@pytest.fixture
def owner():
    return Fixture()


def test_owner_grants_after_it_has_asked_the_instance(owner):
    owner.ask(1)
    owner.settle()
    assert [g.request_id for g in owner.replies(PermitGrant)] == ["r1"]
    assert owner.task.fleet_version() == 7


def test_entry_that_slept_grants_nothing_until_it_has_settled(owner):
    owner.clock.advance(10 * PAUSE_MS)
    owner.ask(1)
    assert owner.replies(PermitGrant) == []
    assert [r.request_id for r in owner.replies(NotOwner)] == ["r1"]
    owner.settle()
    owner.ask(2)
    assert owner.replies(PermitGrant) == []
    owner.settle()
    owner.ask(2)
    owner.settle()
    assert [g.request_id for g in owner.replies(PermitGrant)] == ["r2"]


def test_entry_that_is_leaving_gives_its_services_up(owner):
    owner.task.give_up()
    owner.settle()
    owner.ask(1)
    owner.settle()
    assert owner.task.owned() == {}
    assert owner.replies(PermitGrant) == []


def test_ask_for_slots_is_passed_on_once_to_the_owner(owner):
    owner.membership.heard("e2", owner.clock.now_ms())
    moved = next(
        name
        for name in (f"s{n}" for n in range(50))
        if owner.membership.owner(name, owner.clock.now_ms()) == "e2"
    )
    views = [ServiceView(moved, DispatchPolicy(), ())]
    owner.task.set_views(views, frozenset(), 8)
    ask = SlotAsk(moved, "far", 1, 4, 100.0)
    owner.network.handlers[SlotAsk]("far", ask)
    owner.network.handlers[SlotAsk]("e3", ask)
    assert owner.replies(SlotAsk) == [ask]
