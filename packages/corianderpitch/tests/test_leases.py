"""Leases of entries in the table, seen from a representative."""

import random

from fakes import FakeNetwork

from corianderpitch.adapters.memory import MemoryTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.leases import (
    FOLLOWER_SCAN_INTERVAL_MS,
    RENEW_INTERVAL_MS,
    LeaseTask,
)
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.domain.leases import ABANDONED_MS, SILENT_SITE_MS
from corianderpitch.domain.membership import MemberInfo, Membership

OWN = MemberInfo("e1", "i1", "a", "x:1")
PEER = MemberInfo("e2", "i2", "a", "x:2")
FAR = MemberInfo("f1", "i3", "b", "x:3")


def lease_task(own, table, clock):
    membership = Membership(own)
    members = MembershipTask(membership, FakeNetwork(own.entry), clock, random.Random())
    return LeaseTask(membership, members, table, clock), membership


def renewed(info, table, clock):
    task, _ = lease_task(info, table, clock)
    task.renew()
    return task


def scanned(table, clock):
    own, membership = lease_task(OWN, table, clock)
    own.scan()
    return own, membership


def abandoned_peer(hears_it):
    """Let a peer's lease lapse while its heartbeats arrive, or not."""
    table, clock = MemoryTable(), ManualClock()
    peer = renewed(PEER, table, clock)
    own, membership = scanned(table, clock)
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


def lapsed_far_entry(silent_ms):
    """Let the lease of another data centre's entry lapse, heard of for a while."""
    table, clock = MemoryTable(), ManualClock()
    renewed(FAR, table, clock)
    own, membership = scanned(table, clock)
    membership.heard("f1", clock.now_ms())
    clock.advance(silent_ms)
    own.scan()
    return membership, table


def test_data_center_that_is_only_cut_off_from_the_platform_stays_known():
    """It can still be told of a configuration, and lend slots."""
    membership, table = lapsed_far_entry(ABANDONED_MS)
    assert membership.info("f1") == FAR
    assert len(table.scan("member/").unwrap()) == 1


def test_entries_of_a_data_center_that_is_gone_are_forgotten():
    membership, table = lapsed_far_entry(SILENT_SITE_MS)
    assert membership.info("f1") is None
    assert table.scan("member/").unwrap() == []


def test_entry_without_a_row_is_forgotten_by_those_that_did_not_delete_it():
    table, clock = MemoryTable(), ManualClock()
    far = renewed(FAR, table, clock)
    own, membership = scanned(table, clock)
    far.give_up()
    own.scan()
    clock.advance(ABANDONED_MS - 1)
    own.scan()
    assert membership.info("f1") == FAR
    clock.advance(1)
    own.scan()
    assert membership.info("f1") is None


def test_entry_without_a_row_that_is_heard_stays_known():
    """It joined through its peers while the platform was away."""
    table, clock = MemoryTable(), ManualClock()
    own, membership = lease_task(OWN, table, clock)
    membership.learn([FAR])
    for _ in range(3):
        own.scan()
        clock.advance(ABANDONED_MS)
        membership.heard("f1", clock.now_ms())
    own.scan()
    assert membership.info("f1") == FAR


def test_every_entry_scans_now_and_then_and_a_representative_often():
    table, clock = MemoryTable(), ManualClock()
    task, membership = lease_task(PEER, table, clock)
    task.scan_if_due()
    membership.learn([OWN])
    membership.heard("e1", clock.now_ms())
    renewed(FAR, table, clock)
    clock.advance(RENEW_INTERVAL_MS)
    membership.heard("e1", clock.now_ms())
    task.scan_if_due()
    assert membership.info("f1") is None
    clock.advance(FOLLOWER_SCAN_INTERVAL_MS)
    membership.heard("e1", clock.now_ms())
    task.scan_if_due()
    assert membership.info("f1") == FAR


def test_entry_started_anew_replaces_its_old_row_at_once():
    """Others would otherwise read the old incarnation until the next renewal."""
    table, clock = MemoryTable(), ManualClock()
    renewed(PEER, table, clock)
    anew = MemberInfo("e2", "later", "a", "x:9")
    renewed(anew, table, clock)
    _, membership = scanned(table, clock)
    assert membership.info("e2") == anew
