"""Reports on waves, of which a late one must not replace a newer one."""

from fakes import DeferringStore

from corianderpitch.adapters.partedtable import PartitionedTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.roles import RoleLease
from corianderpitch.daemon.scheduling.wavereports import WaveReports
from corianderpitch.ids import EntryId
from corianderpitch.ports import PartitionedKey, Write

KEY = PartitionedKey("status", "", "wave/1")
LEASE_MS = 2000.0


class Operators:
    """Encodes the status of a wave as plain text."""

    def wave_status(self, number, is_completed):
        return Write(KEY, b"completed" if is_completed else b"running")


def make_reports(store, name):
    table = PartitionedTable(store)
    role = RoleLease("s", EntryId(name), table, store.clock, 500.0, LEASE_MS, store)
    while not role.try_acquire():
        store.clock.advance(500.0)
    return WaveReports(store, role, Operators())


def reported(store):
    (row,) = store.read(KEY.table, KEY.part).unwrap().rows
    return row.value


def test_a_report_applied_late_does_not_replace_that_the_wave_is_completed():
    store = DeferringStore(ManualClock(1000.0))
    reports = make_reports(store, "e1")
    store.is_deferring = True
    assert not reports.report(1, False)
    store.is_deferring = False
    assert reports.report(1, True)
    store.apply_deferred()
    assert reported(store) == b"completed"


def test_a_former_holder_does_not_replace_its_successors_report():
    store = DeferringStore(ManualClock(1000.0))
    first = make_reports(store, "e1")
    assert make_reports(store, "e2").report(1, True)
    assert not first.report(1, False)
    assert reported(store) == b"completed"


def test_a_report_that_the_store_did_not_take_is_sent_again():
    store = DeferringStore(ManualClock(1000.0))
    reports = make_reports(store, "e1")
    store.is_deferring = True
    assert not reports.report(1, False)
    store.is_deferring = False
    assert reports.report(1, False)
    assert reported(store) == b"running"
