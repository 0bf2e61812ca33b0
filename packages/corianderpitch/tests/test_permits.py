"""The permit client uses or releases every permit, however the wait for it ends."""

import eventlet
import pytest
from fakes import FakeNetwork

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.permits import PermitClient, PermitDemand
from corianderpitch.domain.effects import Offer
from corianderpitch.domain.membership import MemberInfo, Membership
from corianderpitch.domain.outcomes import NotRun
from corianderpitch.domain.slots import RunResult
from corianderpitch.messages import PermitCancel, PermitGrant, PermitRelease

DEMAND = PermitDemand("r1", "s1", "t", "c", 1000.0)


@pytest.fixture
def network():
    return FakeNetwork("a0")


@pytest.fixture
def client(network):
    membership = Membership(MemberInfo("a0", "i0", "a", "127.0.0.1:1"))
    membership.add_members([MemberInfo("a1", "i1", "a", "127.0.0.1:2")])
    client = PermitClient(membership, network, ManualClock())
    client.set_owner("s1", "a1")
    network.sent.clear()
    return client


def grant(network):
    offer = Offer("p1", "vm1", "127.0.0.1:3", "a1")
    network.handlers[PermitGrant]("a1", PermitGrant("s1", "r1", offer))


def last_message(network):
    return network.sent[-1][1]


def test_granted_permit_is_counted_until_its_release(client, network):
    acquisition = eventlet.spawn(client.acquire, DEMAND)
    eventlet.sleep(0)
    grant(network)
    offer = acquisition.wait()
    assert client.in_flight("vm1") == 1
    client.release(offer, RunResult.COMPLETED, 5.0)
    assert client.in_flight("vm1") == 0


def test_permit_is_released_if_the_wait_is_killed_just_after_its_grant(client, network):
    acquisition = eventlet.spawn(client.acquire, DEMAND)
    eventlet.sleep(0)
    grant(network)
    acquisition.kill()
    assert client.in_flight("vm1") == 0
    assert last_message(network) == PermitRelease("s1", "p1", RunResult.UNUSED, 0.0)


def test_request_is_cancelled_if_the_wait_is_killed(client, network):
    acquisition = eventlet.spawn(client.acquire, DEMAND)
    eventlet.sleep(0)
    acquisition.kill()
    assert last_message(network) == PermitCancel("s1", "r1")


def test_wait_ends_at_the_deadline_and_a_late_grant_is_returned(client, network):
    outcome = client.acquire(PermitDemand("r1", "s1", "t", "c", 1.0))
    assert isinstance(outcome, NotRun)
    assert last_message(network) == PermitCancel("s1", "r1")
    grant(network)
    assert client.in_flight("vm1") == 0
    assert last_message(network) == PermitRelease("s1", "p1", RunResult.UNUSED, 0.0)
