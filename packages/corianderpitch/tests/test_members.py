"""Entries add, replace and remove members by messages of their peers."""

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
REMOTE = MemberInfo("f1", "i", "b", "x:3")


def members_with(own, peer, clock=None):
    network, clock = FakeNetwork(own.entry), clock or ManualClock()
    membership = Membership(own)
    task = MembershipTask(membership, network, clock, random.Random(1))
    task.add_members([peer])
    membership.record_contact(peer.entry, 0.0)
    network.sent.clear()
    return task, network, membership


@pytest.mark.parametrize("message_count", [1, 2])
def test_representative_forwards_a_new_entry_to_its_data_center_once(message_count):
    task, network, _ = members_with(FIRST, SECOND)
    for _ in range(message_count):
        task.add_members([REMOTE])
    assert network.sent == [("e2", Members((REMOTE,)))]


def test_other_entries_do_not_forward_new_entries():
    task, network, _ = members_with(SECOND, FIRST)
    network.handlers[Members]("e1", Members((REMOTE,)))
    assert network.sent == []


def test_query_is_answered_with_all_members():
    _, network, _ = members_with(FIRST, SECOND)
    network.handlers[MembersQuery]("f1", MembersQuery())
    assert network.sent == [("f1", Members((SECOND, FIRST)))]


def test_removing_an_entry_closes_the_links_to_it():
    task, network, membership = members_with(FIRST, SECOND)
    task.remove_member("e2")
    assert membership.member_info("e2") is None
    assert network.closed == [("e2", Lane.CONTROL), ("e2", Lane.BULK)]


def test_older_information_does_not_replace_an_entry_that_was_just_heard():
    """The row of its last incarnation may be read after its Hello message."""
    task, network, membership = members_with(FIRST, SECOND)
    restarted = MemberInfo("e2", "later", "a", "x:9")
    network.on_hello(restarted)
    task.add_members([SECOND])
    assert membership.member_info("e2") == restarted


def test_information_of_others_replaces_an_entry_that_is_silent():
    clock = ManualClock()
    task, _, membership = members_with(FIRST, SECOND, clock)
    restarted = MemberInfo("e2", "later", "a", "x:9")
    task.add_members([restarted])
    assert membership.member_info("e2") == SECOND
    clock.advance(SUSPECT_AFTER_MS)
    task.add_members([restarted])
    assert membership.member_info("e2") == restarted
