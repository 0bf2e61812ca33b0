"""Roles whose table has a clock: restarts, and beats of an earlier tenure."""

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.adapters.partedtable import PartedTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.ids import EntryId

LEASE_MS = 2000.0


def make_leases(*entries):
    """Make leases of entries that share a table and its clock."""
    clock = ManualClock(1000.0)
    store = MemoryRowStore(clock)
    table = PartedTable(store)
    leases = [
        RoleLease(
            "scheduler", EntryId(entry), table, clock, 500.0, LEASE_MS, store.time_ms
        )
        for entry in entries
    ]
    return clock, leases


def test_an_entry_that_starts_after_the_holders_lease_takes_the_role_at_once():
    """All entries lose power; the first to be back need not watch the old beats."""
    clock, (old, restarted) = make_leases("e1", "e2")
    assert old.seek()
    assert old.renew()
    clock.advance(LEASE_MS + 500.0)
    assert restarted.seek()


def test_a_holder_that_never_beat_is_replaced_by_the_time_of_its_taking():
    clock, (old, restarted) = make_leases("e1", "e2")
    assert old.seek()
    clock.advance(LEASE_MS + 500.0)
    assert restarted.seek()


def test_a_renewed_role_is_not_taken_by_an_entry_that_has_just_started():
    clock, (holder, started) = make_leases("e1", "e2")
    assert holder.seek()
    for _ in range(8):
        clock.advance(500.0)
        assert holder.renew()
    assert not started.seek()
