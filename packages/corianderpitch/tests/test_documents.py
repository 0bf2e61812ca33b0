"""Documents come from the table or from peers, and never go back."""

import random

import pytest
from fakes import BASE_FLEET, FakeNetwork
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from corianderpitch.adapters.memory import MemoryTable
from corianderpitch.clock import ManualClock
from corianderpitch.daemon.documents import DocumentTask
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.domain.membership import MemberInfo, Membership
from corianderpitch.domain.vms import SiteFleet, VmRecord, VmState
from corianderpitch.errors import PlatformUnavailable
from corianderpitch.messages import Document, DocumentQuery, Heartbeat, VmChange
from corianderpitch.ports import Row
from corianderpitch.records import (
    CONFIG_HEAD_KEY,
    ConfigRecord,
    decode_row,
    encode_row,
    fleet_key,
)


class CutOffTable(MemoryTable):
    def read(self, known):
        return Failure(PlatformUnavailable("cut off"))


def config_row(revision, text=BASE_FLEET):
    record = ConfigRecord(revision, revision - 1, f"op{revision}", "me", 0, text, {})
    return Row(CONFIG_HEAD_KEY, revision, encode_row(record))


class Entry:
    def __init__(self, table=None):
        clock = ManualClock()
        membership = Membership(MemberInfo("e1", "i", "a", "x:1"))
        membership.learn([MemberInfo("f1", "i", "b", "x:2")])
        self.network = FakeNetwork("e1")
        members = MembershipTask(membership, self.network, clock, random.Random(1))
        self.task = DocumentTask(
            membership, self.network, members, table or CutOffTable(), clock
        )

    def receive(self, message):
        self.network.handlers[type(message)]("f1", message)

    def sent(self, kind):
        return [m for _, m in self.network.sent if isinstance(m, kind)]

    @property
    def revision(self):
        record = self.task.config_record
        return record.revision if record else 0


@pytest.fixture
def entry():
    return Entry()


@given(st.lists(st.integers(1, 9), max_size=12))
def test_a_lower_version_is_never_put_in_force(revisions):
    entry = Entry()
    highest = 0
    for revision in revisions:
        row = config_row(revision)
        entry.receive(Document(row.key, row.version, row.value))
        highest = max(highest, revision)
        assert entry.revision == highest


def test_entry_without_platform_fetches_what_a_peer_has_newer(entry):
    entry.task.poll()
    assert not entry.task.is_ready
    entry.receive(Heartbeat(1, 0, 7, 3, (), ()))
    assert entry.sent(DocumentQuery) == [DocumentQuery(CONFIG_HEAD_KEY, 0)]
    row = config_row(7)
    entry.receive(Document(row.key, row.version, row.value))
    assert entry.task.is_ready
    entry.receive(Heartbeat(2, 0, 7, 3, (), ()))
    assert len(entry.sent(DocumentQuery)) == 1


def test_peer_that_is_behind_gets_the_document(entry):
    entry.task.offer({CONFIG_HEAD_KEY: config_row(5)})
    entry.receive(DocumentQuery(CONFIG_HEAD_KEY, 5))
    assert entry.sent(Document) == []
    entry.receive(DocumentQuery(CONFIG_HEAD_KEY, 4))
    [document] = entry.sent(Document)
    assert document.version == 5


def test_new_version_is_announced_to_other_sites_at_once(entry):
    entry.task.offer({CONFIG_HEAD_KEY: config_row(5)})
    assert {beat.config_version for beat in entry.sent(Heartbeat)} == {5}


def test_invalid_document_keeps_the_one_in_force(entry):
    entry.task.offer({CONFIG_HEAD_KEY: config_row(1)})
    entry.task.offer({CONFIG_HEAD_KEY: config_row(2, "name = 1")})
    assert entry.revision == 1


@given(st.lists(st.integers(0, 4), max_size=12), st.randoms(use_true_random=False))
def test_changes_of_vms_in_any_order_give_a_committed_row_or_none(picks, rng):
    """Lost, repeated and swapped changes never make up a row of their own."""
    committed = [SiteFleet({f"vm{n}": VmRecord("p", "rack", "x:1") for n in range(5)})]
    changes = []
    for version, pick in enumerate(picks, start=1):
        record = VmRecord("p", "rack", f"x:{version}", VmState.DRAINING)
        committed.append(committed[-1].with_vm(f"vm{pick}", record))
        changes.append(VmChange("a", version, version + 1, f"vm{pick}", record))
    entry = Entry()
    key = fleet_key("a")
    entry.receive(Document(key, 1, encode_row(committed[0])))
    for change in rng.sample(changes, len(changes)) + changes:
        before = entry.task.versions()[1]
        entry.receive(change)
        version = entry.task.versions()[1]
        assert version >= before
        assert entry.task.fleet == committed[version - 1]
    assert entry.task.versions()[1] == len(committed)


def test_row_made_from_a_change_is_handed_on_to_peers():
    entry = Entry()
    key, old = fleet_key("a"), VmRecord("p", "rack", "x:1")
    entry.receive(Document(key, 1, encode_row(SiteFleet({"vm": old}))))
    new = VmRecord("p", "rack", "x:1", VmState.DRAINED)
    entry.receive(VmChange("a", 1, 2, "vm", new))
    entry.receive(DocumentQuery(key, 1))
    document = entry.sent(Document)[-1]
    assert document.version == 2
    assert decode_row(SiteFleet, document.value) == SiteFleet({"vm": new})


def test_change_of_another_data_centre_is_ignored():
    entry = Entry()
    entry.receive(VmChange("b", 0, 2, "vm", VmRecord("p", "rack", "x:1")))
    assert entry.task.fleet == SiteFleet({})
