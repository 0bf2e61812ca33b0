"""How entries learn of each other through their peers."""

import random

import pytest
from fakes import FakeNetwork

from corianderpitch.clock import ManualClock
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.daemon.network import Lane
from corianderpitch.domain.membership import (
    SUSPECT_AFTER_MS,
    MemberInfo,
    Membership,
)
from corianderpitch.messages import Members, MembersQuery

FIRST = MemberInfo("e1", "i", "a", "x:1")
SECOND = MemberInfo("e2", "i", "a", "x:2")
FAR = MemberInfo("f1", "i", "b", "x:3")


def members_of(own, neighbour, clock=None):
    network, clock = FakeNetwork(own.entry), clock or ManualClock()
    membership = Membership(own)
    task = MembershipTask(membership, network, clock, random.Random(1))
    task.learn([neighbour])
    membership.heard(neighbour.entry, 0.0)
    network.sent.clear()
    return task, network, membership


@pytest.mark.parametrize("message_count", [1, 2])
def test_representative_passes_a_new_entry_on_to_its_data_center_once(message_count):
    task, network, _ = members_of(FIRST, SECOND)
    for _ in range(message_count):
        task.learn([FAR])
    assert network.sent == [("e2", Members((FAR,)))]


def test_other_entries_pass_nothing_on():
    task, network, _ = members_of(SECOND, FIRST)
    network.handlers[Members]("e1", Members((FAR,)))
    assert network.sent == []


def test_query_is_answered_with_everybody():
    _, network, _ = members_of(FIRST, SECOND)
    network.handlers[MembersQuery]("f1", MembersQuery())
    assert network.sent == [("f1", Members((SECOND, FIRST)))]


def test_forgetting_an_entry_closes_the_links_to_it():
    task, network, membership = members_of(FIRST, SECOND)
    task.forget("e2")
    assert membership.info("e2") is None
    assert network.closed == [("e2", Lane.CONTROL), ("e2", Lane.BULK)]


def test_hearsay_does_not_replace_an_entry_that_has_just_spoken():
    """A row of its last incarnation may be read after its greeting."""
    task, network, membership = members_of(FIRST, SECOND)
    anew = MemberInfo("e2", "later", "a", "x:9")
    network.on_hello(anew)
    task.learn([SECOND])
    assert membership.info("e2") == anew


def test_hearsay_replaces_an_entry_that_is_silent():
    clock = ManualClock()
    task, _, membership = members_of(FIRST, SECOND, clock)
    anew = MemberInfo("e2", "later", "a", "x:9")
    task.learn([anew])
    assert membership.info("e2") == SECOND
    clock.advance(SUSPECT_AFTER_MS)
    task.learn([anew])
    assert membership.info("e2") == anew
