"""Which of several unlike entries seek a role, and when one yields it."""

from returns.result import Failure

from corianderpitch.adapters.memorystore import MemoryRowStore
from corianderpitch.adapters.partedtable import PartedTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.candidates import DROP_AFTER_MS, CandidateTask
from corianderpitch.domain.scheduling.candidates import (
    LIVE_MS,
    RESERVE_PATIENCE_MS,
    Candidate,
    standing_of,
)
from corianderpitch.errors import PlatformUnavailable
from corianderpitch.ids import EntryId

LEASE_MS = 2000.0
NOW_MS = 100_000.0


class Place:
    """A store, and entries that are candidates in it."""

    def __init__(self):
        self.clock = ManualClock(NOW_MS)
        self.store = MemoryRowStore(self.clock)
        self.table = PartedTable(self.store)

    def entry(self, name, processors):
        return CandidateTask(self.table, self.store, EntryId(name), processors, False)

    def look(self, task):
        """Do what a round of the task does."""
        rows = task._read()
        assert task._tell()
        task.compare(rows)
        return task.standing

    def lease(self, name):
        return RoleLease(
            "scheduler",
            EntryId(name),
            self.table,
            self.clock,
            500.0,
            LEASE_MS,
            self.store.time_ms,
        )


def others(**processors):
    return {EntryId(n): Candidate(p, NOW_MS) for n, p in processors.items()}


def test_entries_of_one_size_are_all_eager():
    assert standing_of(1.07, others(e2=1.07, e3=1.07), NOW_MS).is_eager


def test_a_small_entry_beside_a_large_one_is_not():
    assert not standing_of(0.52, others(e2=2.15, e3=0.52), NOW_MS).is_eager
    assert standing_of(2.15, others(e2=2.15, e3=0.52), NOW_MS).is_eager


def test_a_large_entry_that_is_gone_no_longer_counts():
    standing = standing_of(0.52, others(e2=2.15), NOW_MS + LIVE_MS)
    assert standing.is_eager


def test_entries_learn_of_each_other_through_the_table():
    place = Place()
    small, large = place.entry("e1", 0.5), place.entry("e2", 2.0)
    assert place.look(small).is_eager
    assert place.look(large).is_eager
    assert not place.look(small).is_eager


def test_without_the_store_the_standing_stays_as_it_was():
    place = Place()
    task = place.entry("e1", 0.5)
    before = place.look(task)
    place.table.scan = lambda prefix: Failure(PlatformUnavailable("away"))
    assert task._read() is None
    assert task.standing == before


def test_rows_of_entries_long_gone_are_dropped():
    place = Place()
    place.look(place.entry("e1", 1.0))
    place.clock.advance(DROP_AFTER_MS + 1.0)
    place.look(place.entry("e2", 1.0))
    rows = place.table.scan("candidate/").unwrap()
    assert [row.key for row in rows] == ["candidate/e2"]


def test_a_reserve_takes_a_free_role_later_than_an_eager_entry():
    place = Place()
    old, reserve, eager = place.lease("e1"), place.lease("e2"), place.lease("e3")
    assert old.seek()
    assert old.renew()
    place.clock.advance(LEASE_MS + 400.0)
    assert not reserve.seek(RESERVE_PATIENCE_MS)
    assert eager.seek()


def test_a_reserve_takes_the_role_when_no_eager_entry_comes():
    place = Place()
    old, reserve = place.lease("e1"), place.lease("e2")
    assert old.seek()
    assert old.renew()
    place.clock.advance(LEASE_MS + RESERVE_PATIENCE_MS + 400.0)
    assert reserve.seek(RESERVE_PATIENCE_MS)


def test_a_reserve_waits_also_for_a_role_that_was_given_up_or_never_held():
    place = Place()
    reserve, old = place.lease("e1"), place.lease("e2")
    assert not reserve.seek(RESERVE_PATIENCE_MS)
    assert old.seek()
    old.release()
    assert not reserve.seek(RESERVE_PATIENCE_MS)
    place.clock.advance(RESERVE_PATIENCE_MS)
    assert reserve.seek(RESERVE_PATIENCE_MS)


def test_a_holder_is_outclassed_only_by_an_entry_heard_of_since_it_took_the_role():
    """The rows of larger entries that are gone must not make a reserve yield."""
    place = Place()
    large, small = place.entry("e2", 2.0), place.entry("e1", 0.5)
    place.look(large)
    place.clock.advance(5000.0)
    role = place.lease("e1")
    assert role.seek()
    assert place.look(small).larger_sent_ms < role.taken_ms
    place.clock.advance(1000.0)
    place.look(large)
    assert place.look(small).larger_sent_ms > role.taken_ms
