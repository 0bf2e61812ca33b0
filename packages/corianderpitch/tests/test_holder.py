"""The task that acquires the scheduler's role and serves it."""

from fakes import RacingStore

from corianderpitch.adapters.partedtable import PartitionedTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.holder import SchedulerTask
from corianderpitch.domain.scheduling.candidates import ElectionPriority
from corianderpitch.ids import EntryId

LEASE_MS = 2000.0


def test_an_entry_that_resigns_while_it_acquires_the_role_releases_it():
    """It began a term and ended without a release, so that its successor waited."""
    store = RacingStore(ManualClock(1000.0))
    role, other = (
        RoleLease(
            "s",
            EntryId(name),
            PartitionedTable(store),
            store.clock,
            500.0,
            LEASE_MS,
            store,
        )
        for name in ("e1", "e2")
    )
    terms = []
    priority = ElectionPriority(True)
    task = SchedulerTask(role, terms.append, store.clock, lambda: priority)
    store.before_commit = task.resign
    task.run()
    assert terms == []
    assert other.try_acquire()
