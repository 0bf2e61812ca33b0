"""Leases of entries in the table, seen from a representative."""

import random

from fakes import FakeNetwork

from corianderpitch.adapters.memory import MemoryTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.leases import LeaseTask
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.domain.leases import ABANDONED_MS
from corianderpitch.domain.membership import MemberInfo, Membership

OWN = MemberInfo("e1", "i1", "a", "x:1")
PEER = MemberInfo("e2", "i2", "a", "x:2")


def lease_task(own, table, clock):
    membership = Membership(own)
    members = MembershipTask(membership, FakeNetwork(own.entry), clock, random.Random())
    return LeaseTask(membership, members, table, clock), membership


def abandoned_peer(hears_it):
    """Let a peer's lease lapse while its heartbeats arrive, or not."""
    table, clock = MemoryTable(), ManualClock()
    peer, _ = lease_task(PEER, table, clock)
    peer.renew()
    own, membership = lease_task(OWN, table, clock)
    own.scan()
    clock.advance(ABANDONED_MS)
    if hears_it:
        membership.heard("e2", clock.now_ms())
    own.scan()
    return membership, peer, table


def test_entries_find_each_other_through_the_table():
    membership, _, _ = abandoned_peer(hears_it=True)
    assert membership.info("e2") == PEER


def test_entry_gone_for_long_is_forgotten():
    membership, _, table = abandoned_peer(hears_it=False)
    assert membership.info("e2") is None
    assert [row.key for row in table.scan("member/").unwrap()] == []


def test_entry_that_is_only_cut_off_from_the_platform_stays_a_member():
    membership, _, table = abandoned_peer(hears_it=True)
    assert membership.info("e2") == PEER
    assert [row.key for row in table.scan("member/").unwrap()] == ["member/a/e2"]


def test_renewal_goes_on_after_the_row_was_deleted_or_changed():
    _, peer, table = abandoned_peer(hears_it=False)
    peer.renew()
    peer.renew()
    assert [row.key for row in table.scan("member/").unwrap()] == ["member/a/e2"]
    peer.give_up()
    assert table.scan("member/").unwrap() == []
