"""Which of several entries of different sizes acquire a role, and when one yields."""

import zlib

import msgpack
import pytest
from returns.result import Failure, Success

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.adapters.partedtable import PartitionedTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.candidates import DELETE_AFTER_MS, CandidateTask
from corianderpitch.domain.scheduling.candidates import (
    CANDIDATE_TIMEOUT_MS,
    STANDBY_EXTRA_WAIT_MS,
    Candidate,
    election_priority,
)
from corianderpitch.errors import PlatformUnavailable
from corianderpitch.ids import EntryId
from corianderpitch.ports import Write
from corianderpitch.records import CandidateRecord, RoleHeartbeat, encode_row

LEASE_MS = 2000.0
NOW_MS = 100_000.0


class Cluster:
    """A store and the entries that are candidates in it."""

    def __init__(self):
        self.clock = ManualClock(NOW_MS)
        self.store = MemoryRowStore(self.clock)
        self.table = PartitionedTable(self.store)

    def entry(self, name, processors):
        return CandidateTask(self.table, self.store, EntryId(name), processors, False)

    def run_round(self, task):
        """Run one round of the task and return the entry's election priority."""
        rows = task._read()
        assert task._publish()
        task.compare(rows)
        return task.priority

    def lease(self, name):
        return RoleLease(
            "scheduler",
            EntryId(name),
            self.table,
            self.clock,
            500.0,
            LEASE_MS,
            self.store,
        )


def others(**processors):
    return {EntryId(n): Candidate(p, NOW_MS) for n, p in processors.items()}


def test_entries_of_equal_size_are_all_preferred():
    assert election_priority(1.07, others(e2=1.07, e3=1.07), NOW_MS).is_preferred


def test_a_small_entry_beside_a_large_one_is_not_preferred():
    assert not election_priority(0.52, others(e2=2.15, e3=0.52), NOW_MS).is_preferred
    assert election_priority(2.15, others(e2=2.15, e3=0.52), NOW_MS).is_preferred


def test_a_large_entry_that_no_longer_renews_its_row_does_not_count():
    priority = election_priority(0.52, others(e2=2.15), NOW_MS + CANDIDATE_TIMEOUT_MS)
    assert priority.is_preferred


def test_entries_compare_themselves_through_the_table():
    cluster = Cluster()
    small, large = cluster.entry("e1", 0.5), cluster.entry("e2", 2.0)
    assert cluster.run_round(small).is_preferred
    assert cluster.run_round(large).is_preferred
    assert not cluster.run_round(small).is_preferred


def test_the_election_priority_is_unchanged_while_the_store_does_not_answer():
    cluster = Cluster()
    task = cluster.entry("e1", 0.5)
    before = cluster.run_round(task)
    cluster.table.scan = lambda prefix: Failure(PlatformUnavailable("away"))
    assert task._read() is None
    assert task.priority == before


def test_rows_that_lapsed_long_ago_are_deleted():
    cluster = Cluster()
    cluster.run_round(cluster.entry("e1", 1.0))
    cluster.clock.advance(DELETE_AFTER_MS + 1.0)
    cluster.run_round(cluster.entry("e2", 1.0))
    rows = cluster.table.scan("candidate/").unwrap()
    assert [row.key for row in rows] == ["candidate/e2"]


def test_a_standby_entry_acquires_a_free_role_later_than_a_preferred_entry():
    cluster = Cluster()
    old, standby, preferred = (
        cluster.lease("e1"),
        cluster.lease("e2"),
        cluster.lease("e3"),
    )
    assert old.try_acquire()
    assert old.renew()
    cluster.clock.advance(LEASE_MS + 400.0)
    assert not standby.try_acquire(STANDBY_EXTRA_WAIT_MS)
    assert preferred.try_acquire()


def test_a_standby_entry_acquires_the_role_when_no_preferred_entry_does():
    cluster = Cluster()
    old, standby = cluster.lease("e1"), cluster.lease("e2")
    assert old.try_acquire()
    assert old.renew()
    cluster.clock.advance(LEASE_MS + STANDBY_EXTRA_WAIT_MS + 400.0)
    assert standby.try_acquire(STANDBY_EXTRA_WAIT_MS)


def test_a_standby_entry_also_waits_for_a_role_that_was_released_or_never_held():
    cluster = Cluster()
    standby, old = cluster.lease("e1"), cluster.lease("e2")
    assert not standby.try_acquire(STANDBY_EXTRA_WAIT_MS)
    assert old.try_acquire()
    old.release()
    assert not standby.try_acquire(STANDBY_EXTRA_WAIT_MS)
    cluster.clock.advance(STANDBY_EXTRA_WAIT_MS)
    assert standby.try_acquire(STANDBY_EXTRA_WAIT_MS)


def test_a_holder_yields_only_to_a_larger_entry_seen_since_it_acquired_the_role():
    """Rows of larger entries that are gone must not make a smaller holder yield."""
    cluster = Cluster()
    large, small = cluster.entry("e2", 2.0), cluster.entry("e1", 0.5)
    cluster.run_round(large)
    cluster.clock.advance(5000.0)
    role = cluster.lease("e1")
    assert role.try_acquire()
    assert cluster.run_round(small).larger_candidate_sent_ms < role.acquired_ms
    cluster.clock.advance(1000.0)
    cluster.run_round(large)
    assert cluster.run_round(small).larger_candidate_sent_ms > role.acquired_ms


ODD_ROWS = {
    "empty": b"",
    "not compressed": b"\xff" * 20,
    "not MessagePack": zlib.compress(b"\xc1"),
    "cut off": encode_row(CandidateRecord(4.0, NOW_MS))[:-3],
    "nested": zlib.compress(b"\x91" * 100_000 + b"\x00"),
    "another type": encode_row(RoleHeartbeat(1, 1)),
    "fields of another type": zlib.compress(msgpack.packb({"processors": "many"})),
    "infinite": encode_row(CandidateRecord(float("inf"), NOW_MS)),
    "not a number": zlib.compress(
        msgpack.packb({"processors": float("nan"), "sent_ms": NOW_MS})
    ),
    "in the future": encode_row(CandidateRecord(64.0, 1e300)),
}


@pytest.mark.parametrize("odd", ODD_ROWS)
def test_an_odd_candidate_is_passed_over_and_the_others_hold(odd):
    """No entry sought the role any more, or each deferred to an entry of no size."""
    cluster = Cluster()
    write = Write("candidate/odd", ODD_ROWS[odd])
    assert isinstance(cluster.table.commit((), (write,)), Success)
    large = cluster.entry("e1", 2.0)
    assert cluster.run_round(large).is_preferred
    assert not cluster.run_round(cluster.entry("e2", 0.5)).is_preferred
