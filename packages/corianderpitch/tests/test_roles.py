"""Acquisition of roles by entries that have just started, in a table with a clock."""

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.adapters.partedtable import PartitionedTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.ids import EntryId

LEASE_MS = 2000.0


def make_leases(*entries):
    """Return a clock and the entries' leases of one role, in a shared table."""
    clock = ManualClock(1000.0)
    store = MemoryRowStore(clock)
    table = PartitionedTable(store)
    leases = [
        RoleLease(
            "scheduler", EntryId(entry), table, clock, 500.0, LEASE_MS, store.time_ms
        )
        for entry in entries
    ]
    return clock, leases


def test_an_entry_that_starts_after_the_lease_has_lapsed_acquires_the_role_at_once():
    """After a power failure of all entries, the first one back does not wait.

    The table's time shows that the old lease has lapsed, so the entry need not
    observe the heartbeat row for the duration of a lease.
    """
    clock, (first, restarted) = make_leases("e1", "e2")
    assert first.try_acquire()
    assert first.renew()
    clock.advance(LEASE_MS + 500.0)
    assert restarted.try_acquire()


def test_the_lease_of_a_holder_without_heartbeats_counts_from_its_acquisition():
    clock, (first, restarted) = make_leases("e1", "e2")
    assert first.try_acquire()
    clock.advance(LEASE_MS + 500.0)
    assert restarted.try_acquire()


def test_a_renewed_role_is_not_acquired_by_an_entry_that_has_just_started():
    clock, (holder, started) = make_leases("e1", "e2")
    assert holder.try_acquire()
    for _ in range(8):
        clock.advance(500.0)
        assert holder.renew()
    assert not started.try_acquire()
