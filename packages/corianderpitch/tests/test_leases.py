"""Leases of entries in the table, as a representative and others treat them."""

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
from corianderpitch.domain.leases import ABANDONED_AFTER_MS, SILENT_DATA_CENTER_AFTER_MS
from corianderpitch.domain.membership import MemberInfo, Membership

OWN = MemberInfo("e1", "i1", "a", "x:1")
PEER = MemberInfo("e2", "i2", "a", "x:2")
REMOTE = MemberInfo("f1", "i3", "b", "x:3")


def lease_task(own, table, clock):
    membership = Membership(own)
    members = MembershipTask(membership, FakeNetwork(own.entry), clock, random.Random())
    return LeaseTask(membership, members, table, clock), membership


def renewed_lease(info, table, clock):
    task, _ = lease_task(info, table, clock)
    task.renew()
    return task


def task_after_scan(table, clock):
    own, membership = lease_task(OWN, table, clock)
    own.scan()
    return own, membership


def peer_with_abandoned_lease(is_heard):
    """Let a peer's lease lapse, with or without heartbeats from it."""
    table, clock = MemoryTable(), ManualClock()
    peer = renewed_lease(PEER, table, clock)
    own, membership = task_after_scan(table, clock)
    clock.advance(ABANDONED_AFTER_MS)
    if is_heard:
        membership.record_contact("e2", clock.now_ms())
    own.scan()
    return membership, peer, table


def test_entry_in_the_table_becomes_a_member():
    membership, _, _ = peer_with_abandoned_lease(is_heard=True)
    assert membership.member_info("e2") == PEER


def test_entry_with_an_abandoned_lease_is_removed():
    membership, _, table = peer_with_abandoned_lease(is_heard=False)
    assert membership.member_info("e2") is None
    assert [row.key for row in table.scan("member/").unwrap()] == []


def test_entry_that_is_only_cut_off_from_the_platform_stays_a_member():
    membership, _, table = peer_with_abandoned_lease(is_heard=True)
    assert membership.member_info("e2") == PEER
    assert [row.key for row in table.scan("member/").unwrap()] == ["member/a/e2"]


def test_lease_is_renewed_after_its_row_was_deleted_or_changed():
    _, peer, table = peer_with_abandoned_lease(is_heard=False)
    peer.renew()
    peer.renew()
    assert [row.key for row in table.scan("member/").unwrap()] == ["member/a/e2"]
    peer.release()
    assert table.scan("member/").unwrap() == []


def remote_entry_with_lapsed_lease(silent_ms):
    """Let the lease of an entry of another data centre lapse.

    ``silent_ms`` is the time since its last heartbeat.
    """
    table, clock = MemoryTable(), ManualClock()
    renewed_lease(REMOTE, table, clock)
    own, membership = task_after_scan(table, clock)
    membership.record_contact("f1", clock.now_ms())
    clock.advance(silent_ms)
    own.scan()
    return membership, table


def test_data_center_that_is_only_cut_off_from_the_platform_stays_a_member():
    """Its entries can still receive a configuration and lend slots."""
    membership, table = remote_entry_with_lapsed_lease(ABANDONED_AFTER_MS)
    assert membership.member_info("f1") == REMOTE
    assert len(table.scan("member/").unwrap()) == 1


def test_entries_of_a_silent_data_center_are_removed():
    membership, table = remote_entry_with_lapsed_lease(SILENT_DATA_CENTER_AFTER_MS)
    assert membership.member_info("f1") is None
    assert table.scan("member/").unwrap() == []


def test_entry_whose_row_another_entry_deleted_is_removed():
    table, clock = MemoryTable(), ManualClock()
    remote = renewed_lease(REMOTE, table, clock)
    own, membership = task_after_scan(table, clock)
    remote.release()
    own.scan()
    clock.advance(ABANDONED_AFTER_MS - 1)
    own.scan()
    assert membership.member_info("f1") == REMOTE
    clock.advance(1)
    own.scan()
    assert membership.member_info("f1") is None


def test_entry_without_a_row_that_sends_heartbeats_stays_a_member():
    """It joined through its peers while the platform was unavailable."""
    table, clock = MemoryTable(), ManualClock()
    own, membership = lease_task(OWN, table, clock)
    membership.add_members([REMOTE])
    for _ in range(3):
        own.scan()
        clock.advance(ABANDONED_AFTER_MS)
        membership.record_contact("f1", clock.now_ms())
    own.scan()
    assert membership.member_info("f1") == REMOTE


def test_representative_scans_at_every_renewal_and_others_less_often():
    table, clock = MemoryTable(), ManualClock()
    task, membership = lease_task(PEER, table, clock)
    task.scan_if_due()
    membership.add_members([OWN])
    membership.record_contact("e1", clock.now_ms())
    renewed_lease(REMOTE, table, clock)
    clock.advance(RENEW_INTERVAL_MS)
    membership.record_contact("e1", clock.now_ms())
    task.scan_if_due()
    assert membership.member_info("f1") is None
    clock.advance(FOLLOWER_SCAN_INTERVAL_MS)
    membership.record_contact("e1", clock.now_ms())
    task.scan_if_due()
    assert membership.member_info("f1") == REMOTE


def test_restarted_entry_replaces_its_old_row_at_once():
    """Other entries would otherwise read the old incarnation until the next renewal."""
    table, clock = MemoryTable(), ManualClock()
    renewed_lease(PEER, table, clock)
    restarted = MemberInfo("e2", "later", "a", "x:9")
    renewed_lease(restarted, table, clock)
    _, membership = task_after_scan(table, clock)
    assert membership.member_info("e2") == restarted
