"""Acquisition of roles by entries that have just started, in a table with a clock."""

import random

import pytest
from fakes import DeferringStore, LaggingStore, RacingStore
from returns.result import Success

from corianderpitch.adapters.partedtable import PartitionedTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.ids import EntryId
from corianderpitch.ports import Write
from corianderpitch.records import CandidateRecord, encode_row

LEASE_MS = 2000.0


class LateTable(PartitionedTable):
    """A table that calls a function once, before its caller reads an answer."""

    before_answer = None

    def read(self, known):
        rows = super().read(known)
        call, self.before_answer = self.before_answer, None
        if call is not None:
            call()
        return rows


def make_leases(*entries, store=None):
    """Return a clock and the entries' leases of one role, in a shared table."""
    clock = store.clock if store else ManualClock(1000.0)
    store = store or DeferringStore(clock)
    table = PartitionedTable(store)
    leases = [
        RoleLease("scheduler", EntryId(entry), table, clock, 500.0, LEASE_MS, store)
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


def test_a_renewal_applied_late_does_not_make_the_lease_look_lapsed():
    """A renewal without an answer was applied after newer ones, with its old time.

    An entry that has just started then acquired the role of a live holder, and both
    started the tasks of a job that was accepted in between.
    """
    store = DeferringStore(ManualClock(1000.0))
    clock, (holder, started) = make_leases("e1", "e2", store=store)
    assert holder.try_acquire()
    store.is_deferring = True
    assert not holder.renew()
    store.is_deferring = False
    for _ in range(6):
        clock.advance(500.0)
        assert holder.renew()
    store.apply_deferred()
    assert holder.has_valid_lease
    assert not started.try_acquire()


def test_a_renewal_without_an_answer_that_was_applied_is_followed_by_the_next():
    store = DeferringStore(ManualClock(1000.0))
    clock, (holder,) = make_leases("e1", store=store)
    assert holder.try_acquire()
    assert holder.renew()
    clock.advance(500.0)
    store.is_deferring = True
    holder.renew()
    store.is_deferring = False
    store.apply_deferred()
    holder.renew()
    assert holder.renew()
    assert holder.renewal_age_ms == 0.0


def test_the_role_of_a_holder_that_reads_the_store_late_is_not_acquired():
    # Its renewals carried a time in the past, so that its lease looked lapsed.
    clock, (holder, started) = make_leases("e1", "e2")
    holder._table_clock = LaggingStore(holder._table_clock, 2500.0)
    assert holder.try_acquire()
    assert not started.try_acquire()
    clock.advance(500.0)
    assert holder.renew()
    assert not started.try_acquire()


def test_an_acquired_lease_counts_from_before_the_store_was_asked():
    store = DeferringStore(ManualClock(1000.0))
    clock, (holder,) = make_leases("e1", store=store)
    store.commit_ms = 700.0
    assert holder.try_acquire()
    assert holder.renewal_age_ms == 700.0


def test_a_role_that_is_renewed_after_the_rows_were_read_is_not_acquired():
    """A store that comes back is asked by the holder and by another entry at once.

    The holder's renewal was applied between the other entry's read and its
    acquisition. Both succeeded, and the holder took in new jobs for as long as its
    renewed lease seemed valid, while the other entry started the same jobs.
    """
    store = RacingStore(ManualClock(1000.0))
    clock, (holder, other) = make_leases("e1", "e2", store=store)
    assert holder.try_acquire()
    assert holder.renew()
    clock.advance(LEASE_MS + 500.0)
    store.before_commit = holder.renew
    assert not other.try_acquire()
    assert holder.has_valid_lease
    clock.advance(500.0)
    assert holder.renew()


def test_the_role_of_a_live_holder_is_not_acquired_by_an_entry_that_reads_late():
    """An entry without processor time read rows that were true seconds before.

    They looked unchanged for the duration of the lease, though the holder had renewed
    it all the while.
    """
    store = DeferringStore(ManualClock(1000.0))
    clock, (holder, other) = make_leases("e1", "e2", store=store)
    other._table = late_table = LateTable(store)

    def renew_for_a_while():
        for _ in range(6):
            clock.advance(500.0)
            assert holder.renew()

    assert holder.try_acquire()
    assert holder.renew()
    assert not other.try_acquire()
    late_table.before_answer = renew_for_a_while
    assert not other.try_acquire()
    assert holder.has_valid_lease
    clock.advance(500.0)
    assert holder.renew()


def test_a_renewed_lease_counts_from_before_the_store_was_asked():
    store = DeferringStore(ManualClock(1000.0))
    clock, (holder,) = make_leases("e1", store=store)
    assert holder.try_acquire()
    store.commit_ms = 700.0
    assert holder.renew()
    assert holder.renewal_age_ms == 700.0


def test_a_live_lease_does_not_look_lapsed_if_the_time_may_be_much_later():
    clock, (holder, started) = make_leases("e1", "e2")
    started._table_clock = LaggingStore(started._table_clock, 0.0, lead_ms=2500.0)
    assert holder.try_acquire()
    assert holder.renew()
    assert not started.try_acquire()


def test_the_role_of_a_holder_of_an_earlier_version_is_not_acquired():
    # It renews with the time of the answer read last, which lags.
    clock, (holder, started) = make_leases("e1", "e2")
    holder._table_clock = LaggingStore(holder._table_clock, 0.0, lead_ms=-299.0)
    assert holder.try_acquire()
    assert holder.renew()
    clock.advance(LEASE_MS - 1.0)
    assert holder.has_valid_lease
    assert not started.try_acquire()


def test_an_acquisition_applied_late_does_not_end_a_lease_that_was_renewed_since():
    store = DeferringStore(ManualClock(1000.0))
    clock, (holder, other) = make_leases("e1", "e2", store=store)
    assert holder.try_acquire()
    assert holder.renew()
    clock.advance(LEASE_MS + 500.0)
    store.is_deferring = True
    assert not other.try_acquire()
    store.is_deferring = False
    assert holder.renew()
    store.apply_deferred()
    clock.advance(500.0)
    assert holder.renew()


ODD_VALUES = [b"", b"\xff" * 20, encode_row(CandidateRecord(1.0, 1.0))]
ROWS = ["role/scheduler/epoch", "role/scheduler/beat"]


def put(lease, key, value):
    assert isinstance(lease._table.commit((), (Write(key, value),)), Success)


@pytest.mark.parametrize("key", ROWS)
@pytest.mark.parametrize("value", ODD_VALUES, ids=("empty", "bytes", "another"))
def test_a_role_with_an_odd_row_is_acquired_after_the_duration_of_a_lease(key, value):
    """Each attempt failed on the row, and the role stayed without a holder."""
    clock, (first, second) = make_leases("e1", "e2")
    for _ in range(3):
        assert first.try_acquire()
        first.release()
    put(second, key, value)
    assert not second.try_acquire()
    clock.advance(LEASE_MS + 1.0)
    assert second.try_acquire()
    assert second.renew()
    assert second.epoch > first.epoch
    assert not first.try_acquire()


@pytest.mark.parametrize("value", ODD_VALUES, ids=("empty", "bytes", "another"))
def test_an_odd_heartbeat_does_not_make_the_lease_of_a_live_holder_look_lapsed(value):
    clock, (holder, started) = make_leases("e1", "e2")
    assert holder.try_acquire()
    for _ in range(8):
        clock.advance(500.0)
        assert holder.renew()
    put(started, ROWS[1], value)
    assert not started.try_acquire()
    clock.advance(500.0)
    holder.renew()
    assert holder.renew()
    assert holder.has_valid_lease
    clock.advance(LEASE_MS - 1.0)
    assert not started.try_acquire()


class InterleavingStore(DeferringStore):
    """A store between whose calls other entries act, and that may apply writes late."""

    def __init__(self, clock, rng):
        super().__init__(clock)
        self._rng = rng
        self._is_busy = False
        self.others_act = lambda: None

    def _pause(self):
        """Let time pass, and other entries act, before a call takes effect."""
        self.clock.advance(self._rng.choice((0.0, 5.0, 50.0)))
        if not self._is_busy:
            self._is_busy = True
            self.others_act()
            self._is_busy = False

    def read(self, table, part, first="", end=""):
        self._pause()
        return super().read(table, part, first, end)

    def commit(self, checks, writes):
        self._pause()
        self.is_deferring = self._rng.random() < 0.15
        return super().commit(checks, writes)


@pytest.mark.parametrize("seed", range(200))
def test_no_two_entries_have_a_valid_lease_at_the_same_time(seed):
    """Entries renew and acquire between each other's reads and commits."""
    rng = random.Random(seed)
    store = InterleavingStore(ManualClock(1000.0), rng)
    clock, leases = make_leases("e1", "e2", "e3", store=store)

    def act():
        lease = rng.choice(leases)
        if lease.is_held:
            lease.renew()
        else:
            lease.try_acquire()

    store.others_act = act
    for _ in range(150):
        act()
        assert sum(lease.has_valid_lease for lease in leases) <= 1
        if rng.random() < 0.2:
            store.apply_deferred()
        clock.advance(rng.choice((10.0, 100.0, 400.0, LEASE_MS + 500.0)))
